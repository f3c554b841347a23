/**
 * Load, limits and lifecycle of a stand-in upstream, engine or plain service.
 *
 * An upstream does not refuse requests above a limit: it crashes, drops all
 * requests in flight and restarts cold.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import type { LoadReport } from "../src/types.ts";
import { ColdStart } from "./upstream_cold_start.ts";

/** Options of an upstream's state. */
export interface UpstreamStateOptions {
  name: string;
  /** Maximum number of requests in flight; one more crashes the upstream. */
  hardLimit?: number;
  /** Like `hardLimit`, during a cold start. */
  coldLimit?: number;
  /** Duration of a cold start, in milliseconds. */
  coldMs?: number;
  /** Number of completions that end a cold start early; 0 for never. */
  coldCompletions?: number;
  /**
   * Time before the cold limit is enforced when the upstream is turned cold, so
   * that requests in flight can finish; in milliseconds.
   */
  coldGraceMs?: number;
  /** Time that a crashed upstream refuses all requests, in milliseconds. */
  downMs?: number;
  /** Age of a load report, in milliseconds. */
  reportLagMs?: number;
  /** Called when the upstream crashes, before it accepts new requests. */
  onCrash?: () => void;
  /** Monotonic clock in milliseconds. */
  clock?: () => number;
}

/** Result of admitting a request. */
export type Admission = "started" | "leaving" | "down" | "fell";

/** Cause of a crash. */
export type CrashReason = "hard-limit" | "cold-limit" | "ordered";

/** A crash, as listed in the record. */
export interface CrashRecord {
  readonly reason: CrashReason;
  readonly inFlight: number;
  /** Time since the cold start began, in milliseconds; absent when warm. */
  readonly coldForMs?: number;
}

/** Counts and events of an upstream since its process started. */
export interface UpstreamRecord {
  readonly incarnation: string;
  readonly inFlight: number;
  readonly maxInFlight: number;
  /**
   * Maximum number of requests in flight while the cold limit was enforced,
   * including a request that exceeded it.
   */
  readonly maxInFlightCold: number;
  readonly falls: number;
  readonly fallLog: readonly CrashRecord[];
  /** Number of requests received after leaving began; all were refused. */
  readonly startedAfterLeaving: number;
  /** Milliseconds from the start of leaving to the last such request. */
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
  readonly #downMs: number;
  readonly #reportLagMs: number;
  readonly #onCrash: () => void;
  readonly #clock: () => number;
  readonly #coldStart: ColdStart;
  readonly #crashLog: CrashRecord[] = [];
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
    downMs = 1_000,
    reportLagMs = 200,
    onCrash = () => {},
    clock = () => performance.now(),
  }: UpstreamStateOptions) {
    this.#name = name;
    this.#hardLimit = hardLimit;
    this.#coldLimit = coldLimit;
    this.#downMs = downMs;
    this.#reportLagMs = reportLagMs;
    this.#onCrash = onCrash;
    this.#clock = clock;
    this.#coldStart = new ColdStart({ coldMs, coldCompletions, coldGraceMs });
    this.#coldStart.begin(clock());
    this.#recordReading();
  }

  /** Id that changes when the process starts or crashes. */
  get incarnation(): string {
    return `${this.#name}-${process.pid}-${this.#generation}`;
  }

  /** Number of requests accepted and not yet finished. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Whether the upstream has crashed and not yet restarted. */
  get isDown(): boolean {
    return this.#clock() < this.#downUntil;
  }

  /** Accepts or refuses a request, or crashes if it exceeds a limit. */
  tryStart(): Admission {
    const now = this.#clock();
    if (now < this.#downUntil) return "down";
    if (this.#leavingSince !== undefined) {
      this.#startedAfterLeaving++;
      this.#lastAfterLeavingMs = now - this.#leavingSince;
      return "leaving";
    }
    const inFlightAfterStart = this.#inFlight + 1;
    this.#maxInFlight = Math.max(this.#maxInFlight, inFlightAfterStart);
    const isColdLimitEnforced = this.#coldStart.isLimitEnforced(now);
    if (isColdLimitEnforced) {
      this.#maxInFlightCold = Math.max(
        this.#maxInFlightCold,
        inFlightAfterStart,
      );
    }
    if (inFlightAfterStart > this.#hardLimit) return this.crash("hard-limit");
    if (isColdLimitEnforced && inFlightAfterStart > this.#coldLimit) {
      return this.crash("cold-limit");
    }
    this.#inFlight = inFlightAfterStart;
    this.#recordReading();
    return "started";
  }

  /** Finishes a request that was accepted by `incarnation`. */
  finish(incarnation: string): void {
    if (incarnation !== this.incarnation) return;
    this.#inFlight--;
    this.#coldStart.recordCompletion();
    this.#recordReading();
  }

  /** Drops all requests in flight and restarts cold as a new incarnation. */
  crash(reason: CrashReason): "fell" {
    const now = this.#clock();
    const coldForMs = this.#coldStart.getAge(now);
    this.#crashLog.push({ reason, inFlight: this.#inFlight, coldForMs });
    this.#generation++;
    this.#inFlight = 0;
    this.#downUntil = now + this.#downMs;
    this.#coldStart.begin(this.#downUntil);
    this.#readings = [];
    this.#recordReading();
    this.#onCrash();
    return "fell";
  }

  /** Makes the upstream cold without a new incarnation. */
  turnCold(): void {
    this.#coldStart.begin(this.#clock(), { withGrace: true });
    this.#recordReading();
  }

  /** Starts or stops leaving. */
  setLeaving(leaving: boolean): void {
    this.#leavingSince = leaving ? this.#clock() : undefined;
  }

  /** Returns the load as of one report lag ago; `leaving` is current. */
  getReport(): LoadReport {
    const now = this.#clock();
    this.#recordReading();
    const cutoff = now - this.#reportLagMs;
    const old = this.#readings.findLast((reading) => reading.at <= cutoff);
    const reading = old ?? this.#readings[0];
    return {
      incarnation: this.incarnation,
      inFlight: reading?.inFlight ?? this.#inFlight,
      cold: reading?.cold ?? true,
      leaving: this.#leavingSince !== undefined,
      ageMs: Math.ceil(old ? this.#reportLagMs : now - (reading?.at ?? now)),
    };
  }

  /** Returns the counts and events since the process started. */
  getRecord(): UpstreamRecord {
    return {
      incarnation: this.incarnation,
      inFlight: this.#inFlight,
      maxInFlight: this.#maxInFlight,
      maxInFlightCold: this.#maxInFlightCold,
      falls: this.#crashLog.length,
      fallLog: this.#crashLog,
      startedAfterLeaving: this.#startedAfterLeaving,
      lastAfterLeavingMs: this.#lastAfterLeavingMs,
    };
  }

  #recordReading(): void {
    const at = this.#clock();
    const cold = this.#coldStart.isCold(at);
    this.#readings.push({ at, inFlight: this.#inFlight, cold });
    if (this.#readings.length <= MAX_READINGS) return;
    this.#readings.splice(0, MAX_READINGS / 2);
  }
}
