/**
 * Load, limits and life of a stand-in upstream, engine or plain service.
 *
 * It enforces nothing kindly: an upstream that gets more than it can bear falls
 * over, drops all its work and comes back cold.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import type { LoadReport } from "../src/types.ts";
import { ColdStart } from "./upstream_cold_start.ts";

/** Options of an upstream's state. */
export interface UpstreamStateOptions {
  name: string;
  hardLimit?: number;
  coldLimit?: number;
  /** How long a cold start lasts, in milliseconds. */
  coldMs?: number;
  /** Completions that end a cold start early; 0 for never. */
  coldCompletions?: number;
  /** Time that work in flight gets to drain when told to turn cold. */
  coldGraceMs?: number;
  /** How long an upstream that fell over refuses everything. */
  fallMs?: number;
  /** Age of a load report, in milliseconds. */
  reportLagMs?: number;
  /** Called when the upstream falls over, before it takes new work. */
  onFall?: () => void;
  /** Monotonic clock in milliseconds. */
  clock?: () => number;
}

/** What became of a request for new work. */
export type Admission = "started" | "leaving" | "down" | "fell";

/** Why an upstream fell over. */
export type FallReason = "hard-limit" | "cold-limit" | "ordered";

/** One fall, for the record. */
export interface Fall {
  readonly reason: FallReason;
  readonly inFlight: number;
  /** Time since the cold start began; absent on a warm upstream. */
  readonly coldForMs?: number;
}

/** What an upstream has seen since its process started. */
export interface UpstreamRecord {
  readonly incarnation: string;
  readonly inFlight: number;
  readonly maxInFlight: number;
  /** Largest number in flight at an admission while the cold limit was due. */
  readonly maxInFlightCold: number;
  readonly falls: number;
  readonly fallLog: readonly Fall[];
  /** Requests for new work that came after leaving began; all refused. */
  readonly startedAfterLeaving: number;
  /** Time from the start of leaving to the last such request. */
  readonly lastAfterLeavingMs: number;
}

interface Reading {
  readonly at: number;
  readonly inFlight: number;
  readonly cold: boolean;
}

const MAX_READINGS = 4_096;

/** State of one stand-in upstream. */
export class UpstreamState {
  readonly #name: string;
  readonly #hardLimit: number;
  readonly #coldLimit: number;
  readonly #fallMs: number;
  readonly #reportLagMs: number;
  readonly #onFall: () => void;
  readonly #clock: () => number;
  readonly #coldStart: ColdStart;
  readonly #fallLog: Fall[] = [];
  #readings: Reading[] = [];
  #generation = 0;
  #inFlight = 0;
  #maxInFlight = 0;
  #maxInFlightCold = 0;
  #downUntil = -Infinity;
  #leavingSince: number | undefined;
  #startedAfterLeaving = 0;
  #lastAfterLeavingMs = 0;

  constructor({
    name,
    hardLimit = 16,
    coldLimit = 2,
    coldMs = 2_000,
    coldCompletions = 0,
    coldGraceMs = 1_000,
    fallMs = 1_000,
    reportLagMs = 200,
    onFall = () => {},
    clock = () => performance.now(),
  }: UpstreamStateOptions) {
    this.#name = name;
    this.#hardLimit = hardLimit;
    this.#coldLimit = coldLimit;
    this.#fallMs = fallMs;
    this.#reportLagMs = reportLagMs;
    this.#onFall = onFall;
    this.#clock = clock;
    this.#coldStart = new ColdStart({ coldMs, coldCompletions, coldGraceMs });
    this.#coldStart.begin(clock());
    this.#note();
  }

  /** Changes when the process starts or falls over. */
  get incarnation(): string {
    return `${this.#name}-${process.pid}-${this.#generation}`;
  }

  /** Requests accepted and not yet finished. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** True from a fall until the upstream answers again. */
  get isDown(): boolean {
    return this.#clock() < this.#downUntil;
  }

  /** Takes one more request, refuses it, or falls over under it. */
  tryStart(): Admission {
    const now = this.#clock();
    if (now < this.#downUntil) return "down";
    if (this.#leavingSince !== undefined) {
      this.#startedAfterLeaving++;
      this.#lastAfterLeavingMs = now - this.#leavingSince;
      return "leaving";
    }
    const next = this.#inFlight + 1;
    this.#maxInFlight = Math.max(this.#maxInFlight, next);
    const bindsCold = this.#coldStart.isBinding(now);
    if (bindsCold) {
      this.#maxInFlightCold = Math.max(this.#maxInFlightCold, next);
    }
    if (next > this.#hardLimit) return this.fall("hard-limit");
    if (bindsCold && next > this.#coldLimit) return this.fall("cold-limit");
    this.#inFlight = next;
    this.#note();
    return "started";
  }

  /** Ends one request; `incarnation` is the one that it started under. */
  finish(incarnation: string): void {
    if (incarnation !== this.incarnation) return;
    this.#inFlight--;
    this.#coldStart.noteCompletion();
    this.#note();
  }

  /** Drops everything, and comes back cold under a new incarnation. */
  fall(reason: FallReason): "fell" {
    const now = this.#clock();
    const coldForMs = this.#coldStart.getAge(now);
    this.#fallLog.push({ reason, inFlight: this.#inFlight, coldForMs });
    this.#generation++;
    this.#inFlight = 0;
    this.#downUntil = now + this.#fallMs;
    this.#coldStart.begin(this.#downUntil);
    this.#readings = [];
    this.#note();
    this.#onFall();
    return "fell";
  }

  /** Turns cold without a new incarnation. */
  turnCold(): void {
    this.#coldStart.begin(this.#clock(), { withGrace: true });
    this.#note();
  }

  /** Begins to leave, or takes it back. */
  setLeaving(leaving: boolean): void {
    this.#leavingSince = leaving ? this.#clock() : undefined;
  }

  /** The load as it was one report lag ago; leaving is always current. */
  getReport(): LoadReport {
    const now = this.#clock();
    this.#note();
    const due = now - this.#reportLagMs;
    const old = this.#readings.findLast((reading) => reading.at <= due);
    const reading = old ?? this.#readings[0];
    return {
      incarnation: this.incarnation,
      inFlight: reading?.inFlight ?? this.#inFlight,
      cold: reading?.cold ?? true,
      leaving: this.#leavingSince !== undefined,
      ageMs: Math.ceil(old ? this.#reportLagMs : now - (reading?.at ?? now)),
    };
  }

  /** Everything seen since the process started. */
  getRecord(): UpstreamRecord {
    return {
      incarnation: this.incarnation,
      inFlight: this.#inFlight,
      maxInFlight: this.#maxInFlight,
      maxInFlightCold: this.#maxInFlightCold,
      falls: this.#fallLog.length,
      fallLog: this.#fallLog,
      startedAfterLeaving: this.#startedAfterLeaving,
      lastAfterLeavingMs: this.#lastAfterLeavingMs,
    };
  }

  #note(): void {
    const at = this.#clock();
    const cold = this.#coldStart.isCold(at);
    this.#readings.push({ at, inFlight: this.#inFlight, cold });
    if (this.#readings.length <= MAX_READINGS) return;
    this.#readings.splice(0, MAX_READINGS / 2);
  }
}
