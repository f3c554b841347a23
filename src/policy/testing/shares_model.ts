/**
 * Simulation of routers that share one upstream, for tests of the capacity
 * shares.
 *
 * One queue orders all events by real time. Each router process has a clock
 * with its own offset and rate, and each message has its own delay. The
 * upstream's count of in-flight work is exact, but its reports lag. Every
 * admission is checked against the true count over all processes, including
 * terminated ones.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type CapacityShares,
  createCapacityShares,
} from "../capacity_shares.ts";
import { createLoans, type Loans } from "../loans.ts";
import type { Hash } from "../rendezvous.ts";
import { EventQueue } from "./event_queue.ts";

/**
 * Kinds of faults that a run may inject: partitions (`cut`, `cut-one-way`, and
 * `silence` of the upstream), pauses, restarts and planned stops of a router, a
 * new owner (`owner`; `owner-of-one` as seen by one router only), a new replica
 * set and a restart of the upstream.
 */
export const FAULT_KINDS = [
  "cut",
  "cut-one-way",
  "pause",
  "restart",
  "stop",
  "owner",
  "owner-of-one",
  "replicas",
  "silence",
  "upstream-restart",
] as const;

/** A fault to inject. */
export interface Fault {
  readonly kind: typeof FAULT_KINDS[number];
  /** Time of the fault, in milliseconds. */
  readonly at: number;
  /** Index of the affected router, modulo the number of routers. */
  readonly router: number;
  /** Index of the other router, modulo the number of routers. */
  readonly peer: number;
  readonly durationMs: number;
}

/** Parameters of a run. */
export interface Scenario {
  readonly seed: number;
  readonly routerCount: number;
  /** Number of routers in the first replica set. */
  readonly replicaCount: number;
  /** Limit of the upstream's in-flight work. */
  readonly limit: number;
  /** Whether routers sometimes use limits below `limit`. */
  readonly limitVaries: boolean;
  readonly injectedFaults: readonly Fault[];
}

/** Results of a run. */
export interface Outcome {
  readonly admissions: number;
  /** Admissions while work of another process was in flight. */
  readonly sharedAdmissions: number;
  /** Admissions that exceeded the limit, and ranks with two holders. */
  readonly violations: readonly string[];
  /** Maximum in-flight work as a multiple of the limit. */
  readonly peak: number;
  /** Room of the owner after all faults have ended and all work is done. */
  readonly finalRoom: number;
}

/**
 * Whether a run never exceeded the limit and its owner had the whole limit at
 * the end.
 */
export function isOutcomeCorrect(
  outcome: Outcome,
  { limit }: Scenario,
): boolean {
  return outcome.violations.length === 0 && outcome.finalRoom === limit;
}

/** Time at which faults and admissions end, in milliseconds. */
export const FAULTS_END_MS = 1_000;

const RUN_END_MS = 1_800;
const START_MS = -250;
const LOAN_MS = 180;
const DRIFT_MS = 3;
const TRANSIT_MS = 15;
const HOLD_DOWN_MS = 130;
const CONFIRM_MS = 120;
const CLOCK_RATE_ERROR_PER_MILLE = 8;
const HEARTBEAT_INTERVAL_MS = 45;
const POLL_INTERVAL_MS = 35;
const ADMISSION_INTERVAL_MS = 25;
const MAX_READING_INTERVAL_MS = 40;
const UPSTREAM = "upstream";

/** A request from its admission until its end. */
interface Work {
  readonly owner: Process;
  readonly beganAt: number;
  /** Whether the owner counts it no longer. */
  ended: boolean;
}

/** One process of a router. */
class Process {
  readonly loans: Loans;
  readonly shares: CapacityShares;
  readonly startedAt: number;
  alive = true;
  paused = false;
  /** Actions deferred until the end of a pause. */
  inbox: (() => void)[] = [];
  /** Index of the applied replica set; -1 before the first. */
  version = -1;
  /**
   * Time, on its own clock, of the last change of `version` after the first.
   */
  appliedAt = 0;
  lastLimit = 0;

  constructor(
    readonly name: string,
    readonly incarnation: string,
    readonly clock: (realTime: number) => number,
    { hash, realTime }: { hash: Hash; realTime: number },
  ) {
    this.startedAt = clock(realTime);
    this.loans = createLoans({
      self: name,
      incarnation,
      startedAt: this.startedAt,
      loanMs: LOAN_MS,
      driftMs: DRIFT_MS,
    });
    this.shares = createCapacityShares({
      loans: this.loans,
      hash,
      transitMs: TRANSIT_MS,
      driftMs: DRIFT_MS,
      holdDownMs: HOLD_DOWN_MS,
      maxConfirmationAgeMs: CONFIRM_MS,
    });
  }
}

/** Runs a scenario to its end. */
export function runScenario(scenario: Scenario, hash: Hash): Outcome {
  return new Simulation(scenario, hash).run();
}

class Simulation {
  readonly #scenario: Scenario;
  readonly #hash: Hash;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #names: string[];
  readonly #processes = new Map<string, Process>();
  readonly #partitionedUntil = new Map<string, number>();
  readonly #replicaSets: string[][];
  readonly #inFlight = new Set<Work>();
  readonly #violations: string[] = [];
  #arrived = new Set<Work>();
  #reading = { inFlight: 0, at: START_MS };
  readonly #queue = new EventQueue();
  #now = START_MS;
  #processCount = 0;
  #owner: string;
  #admissions = 0;
  #sharedAdmissions = 0;
  #peak = 0;

  constructor(scenario: Scenario, hash: Hash) {
    this.#scenario = scenario;
    this.#hash = hash;
    this.#random = xoroshiro128plus(scenario.seed);
    const { routerCount, replicaCount } = scenario;
    this.#names = Array.from({ length: routerCount }, (_, i) => `r${i}`);
    this.#replicaSets = [this.#names.slice(0, replicaCount)];
    this.#owner = this.#names[0]!;
  }

  run(): Outcome {
    for (const name of this.#names) this.#start(name);
    this.#refreshReading();
    for (const fault of this.#scenario.injectedFaults) {
      this.#scheduleAt(fault.at, () => this.#injectFault(fault));
    }
    this.#scheduleAt(FAULTS_END_MS, () => this.#endFaults());
    for (;;) {
      const event = this.#queue.pop();
      if (event === undefined || event.at > RUN_END_MS) break;
      this.#now = event.at;
      event.run();
    }
    const owner = this.#processes.get(this.#owner)!;
    const { limit } = this.#scenario;
    const clock = owner.clock(this.#now);
    return {
      admissions: this.#admissions,
      sharedAdmissions: this.#sharedAdmissions,
      violations: this.#violations,
      peak: this.#peak,
      finalRoom: owner.shares.roomFor(UPSTREAM, limit, clock),
    };
  }

  #draw(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  #chance(percent: number): boolean {
    return this.#draw(0, 99) < percent;
  }

  #scheduleAt(at: number, run: () => void): void {
    this.#queue.push(at, run);
  }

  #scheduleAfter(delayMs: number, run: () => void): void {
    this.#scheduleAt(this.#now + delayMs, run);
  }

  /** Runs `action` on a process, or after its pause if it is paused. */
  #deliver(process: Process, action: () => void): void {
    if (!process.alive) return;
    if (process.paused) process.inbox.push(action);
    else action();
  }

  #scheduleEvery(
    process: Process,
    intervalMs: number,
    action: () => void,
  ): void {
    const tick = () => {
      if (!process.alive) return;
      if (!process.paused) action();
      this.#scheduleAfter(
        this.#draw(intervalMs >> 1, intervalMs * 3 >> 1),
        tick,
      );
    };
    this.#scheduleAfter(this.#draw(0, intervalMs), tick);
  }

  #start(name: string): void {
    const offset = this.#draw(-100_000, 100_000);
    const rateErrors = [
      -CLOCK_RATE_ERROR_PER_MILLE,
      0,
      CLOCK_RATE_ERROR_PER_MILLE,
    ];
    const rateError = rateErrors[this.#draw(0, 2)]!;
    const process = new Process(
      name,
      `${name}-${this.#processCount++}`,
      (realTime) => offset + realTime * (1 + rateError / 1_000),
      { hash: this.#hash, realTime: this.#now },
    );
    process.loans.setOwner(this.#owner);
    this.#processes.set(name, process);
    this.#scheduleEvery(
      process,
      HEARTBEAT_INTERVAL_MS,
      () => this.#sendHeartbeats(process),
    );
    this.#scheduleEvery(
      process,
      POLL_INTERVAL_MS,
      () => this.#pollUpstream(process),
    );
    this.#scheduleEvery(
      process,
      POLL_INTERVAL_MS,
      () => this.#readReplicaSets(process),
    );
    this.#scheduleEvery(
      process,
      ADMISSION_INTERVAL_MS,
      () => this.#admit(process),
    );
  }

  /** Draws the delay of a message: usually short, occasionally very long. */
  #drawDelayMs(): number {
    const isShort = this.#haveFaultsEnded() || this.#chance(90);
    if (!isShort) return this.#draw(0, 300);
    return this.#chance(40) ? 0 : this.#draw(0, 12);
  }

  #haveFaultsEnded(): boolean {
    return this.#now >= FAULTS_END_MS;
  }

  #isPartitioned(from: string, to: string): boolean {
    const until = this.#partitionedUntil.get(`${from}>${to}`);
    return until !== undefined && until > this.#now;
  }

  #send(from: string, to: string, receive: (process: Process) => void): void {
    if (this.#isPartitioned(from, to)) return;
    const isLost = !this.#haveFaultsEnded() && this.#chance(5);
    const copies = isLost ? 0 : this.#chance(3) ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      this.#scheduleAfter(this.#drawDelayMs(), () => {
        // Messages sent before a restart also reach the new process.
        const process = this.#processes.get(to)!;
        this.#deliver(process, () => receive(process));
      });
    }
  }

  #sendHeartbeats(process: Process): void {
    const { name, incarnation } = process;
    const at = process.clock(this.#now);
    for (const peer of this.#names) {
      if (peer === name) continue;
      const offer = process.loans.createOffer(peer, at);
      const heartbeat = { sentAt: { incarnation, at }, ...offer };
      this.#send(name, peer, (receiver) => {
        const now = receiver.clock(this.#now);
        receiver.loans.receive(name, heartbeat, now);
      });
    }
  }

  #pollUpstream(process: Process): void {
    const askedAt = process.clock(this.#now);
    if (this.#isPartitioned(process.name, UPSTREAM) || this.#chance(5)) return;
    this.#scheduleAfter(this.#drawDelayMs(), () => {
      const report = this.#createReport();
      this.#scheduleAfter(this.#drawDelayMs(), () => {
        this.#deliver(process, () => {
          process.shares.recordReport(UPSTREAM, report, askedAt);
        });
      });
    });
  }

  #createReport() {
    return {
      incarnation: "any",
      inFlight: this.#reading.inFlight,
      cold: false,
      leaving: false,
      ageMs: this.#now - this.#reading.at,
    };
  }

  #refreshReading(): void {
    this.#reading = { inFlight: this.#arrived.size, at: this.#now };
    this.#scheduleAfter(
      this.#draw(1, MAX_READING_INTERVAL_MS),
      () => this.#refreshReading(),
    );
  }

  /** Reads the log of replica sets and confirms the newest entry. */
  #readReplicaSets(process: Process): void {
    if (this.#isPartitioned(process.name, "log")) return;
    const askedAt = process.clock(this.#now);
    const version = this.#replicaSets.length - 1;
    this.#scheduleAfter(this.#draw(0, 30), () => {
      this.#deliver(
        process,
        () => this.#applyVersion(process, version, askedAt),
      );
    });
  }

  #applyVersion(process: Process, version: number, askedAt: number): void {
    const now = process.clock(this.#now);
    if (process.version < 0) {
      const inForceMs = this.#estimateInForceMs(version);
      process.shares.setReplicas(this.#replicaSets[version]!, now, {
        inForceMs,
        afterGap: true,
      });
      process.version = version;
    }
    while (process.version < version) {
      process.version++;
      process.shares.setReplicas(this.#replicaSets[process.version]!, now);
      process.appliedAt = now;
    }
    if (process.version === version) process.shares.confirm(askedAt);
  }

  /** Estimates from the peers how long a version has been in force. */
  #estimateInForceMs(version: number): number {
    if (this.#now < 0) return HOLD_DOWN_MS;
    const times = [...this.#processes.values()]
      .filter((peer) => peer.alive && !peer.paused && peer.version === version)
      .map((peer) => peer.clock(this.#now) - peer.appliedAt);
    return this.#chance(50) ? Math.max(0, ...times) - DRIFT_MS : 0;
  }

  #admit(process: Process): void {
    if (this.#now < 0 || this.#haveFaultsEnded()) return;
    this.#checkRanks();
    if (this.#isPartitioned(process.name, UPSTREAM)) return;
    const { limit, limitVaries } = this.#scenario;
    const used = limitVaries ? this.#draw(Math.ceil(limit / 2), limit) : limit;
    for (let count = this.#draw(0, limit); count > 0; count--) {
      const beganAt = process.clock(this.#now);
      if (!process.shares.tryBegin(UPSTREAM, used, beganAt)) return;
      process.lastLimit = used;
      const work = { owner: process, beganAt, ended: false };
      this.#inFlight.add(work);
      this.#checkLimit(process);
      this.#dispatch(work);
    }
  }

  /** Checks that no rank has two holders at present. */
  #checkRanks(): void {
    const holders = new Map<string, string>();
    for (const process of this.#processes.values()) {
      const held = process.loans.getHeldRanks(process.clock(this.#now));
      for (const { replica } of held) {
        const other = holders.get(replica);
        holders.set(replica, process.incarnation);
        if (other === undefined) continue;
        const pair = `${other} and ${process.incarnation}`;
        this.#violations.push(`${pair} hold ${replica} at ${this.#now}`);
      }
    }
  }

  #checkLimit(admitting: Process): void {
    let bound = admitting.lastLimit;
    let isShared = false;
    for (const { owner } of this.#inFlight) {
      // If limits differ, the bound is the largest limit used by a process that
      // has work in flight.
      if (owner.lastLimit > bound) bound = owner.lastLimit;
      if (owner !== admitting) isShared = true;
    }
    const total = this.#inFlight.size;
    this.#admissions++;
    if (isShared) this.#sharedAdmissions++;
    this.#peak = Math.max(this.#peak, total / bound);
    if (total <= bound) return;
    const at = `${admitting.incarnation} at ${this.#now}`;
    this.#violations.push(
      `${total} in flight exceed the limit ${bound}: ${at}`,
    );
  }

  #dispatch(work: Work): void {
    const isCancelled = this.#chance(4);
    const maxTransitMs = TRANSIT_MS - 1;
    const transitMs = this.#chance(40)
      ? maxTransitMs
      : this.#draw(0, maxTransitMs);
    this.#scheduleAfter(transitMs, () => {
      if (!isCancelled) this.#arrive(work);
      else this.#finish(work);
    });
    if (this.#chance(6)) {
      this.#scheduleAfter(this.#draw(0, 300), () => this.#abandon(work));
    }
  }

  #arrive(work: Work): void {
    this.#arrived.add(work);
    const durationMs = this.#chance(80)
      ? this.#draw(1, 120)
      : this.#draw(1, 600);
    this.#scheduleAfter(durationMs, () => this.#finish(work));
  }

  #finish(work: Work): void {
    this.#inFlight.delete(work);
    this.#arrived.delete(work);
    const report = this.#createReport();
    this.#scheduleAfter(this.#drawDelayMs(), () => {
      this.#deliver(work.owner, () => {
        const { shares } = work.owner;
        shares.recordReport(UPSTREAM, report, work.beganAt);
        if (!work.ended) shares.recordEnd(UPSTREAM, work.beganAt);
        work.ended = true;
      });
    });
  }

  #abandon(work: Work): void {
    this.#deliver(work.owner, () => {
      if (!work.ended) {
        work.owner.shares.recordAbandoned(UPSTREAM, work.beganAt);
      }
      work.ended = true;
    });
  }

  #injectFault({ kind, router, peer, durationMs }: Fault): void {
    const name = this.#names[router % this.#names.length]!;
    const other = this.#names[peer % this.#names.length]!;
    const until = this.#now + durationMs;
    const process = this.#processes.get(name)!;
    switch (kind) {
      case "cut":
        this.#partitionedUntil.set(`${other}>${name}`, until);
        this.#partitionedUntil.set(`${name}>${other}`, until);
        break;
      case "cut-one-way":
        this.#partitionedUntil.set(`${name}>${other}`, until);
        break;
      case "silence":
        this.#partitionedUntil.set(`${name}>upstream`, until);
        break;
      case "pause":
        this.#pause(process, durationMs);
        break;
      case "restart":
        process.alive = false;
        this.#start(name);
        break;
      case "stop":
        this.#deliver(process, () => this.#stop(process));
        break;
      case "owner":
        this.#setOwner(other, durationMs);
        break;
      case "owner-of-one":
        process.loans.setOwner(other);
        break;
      case "replicas":
        this.#partitionedUntil.set(`${name}>log`, until);
        this.#replicaSets.push(this.#drawReplicas());
        break;
      case "upstream-restart":
        this.#restartUpstream();
    }
  }

  #pause(process: Process, durationMs: number): void {
    process.paused = true;
    this.#scheduleAfter(durationMs, () => this.#resume(process));
  }

  /** Runs the actions deferred by a pause, half of the time newest first. */
  #resume(process: Process): void {
    process.paused = false;
    const inbox = process.inbox;
    process.inbox = [];
    if (this.#chance(50)) inbox.reverse();
    for (const action of inbox) this.#deliver(process, action);
  }

  /** Begins a planned stop; the router continues to use its own rank. */
  #stop(process: Process): void {
    const stamp = process.loans.returnAll(process.clock(this.#now));
    for (const peer of this.#names) {
      if (peer === process.name) continue;
      this.#send(process.name, peer, (receiver) => {
        const now = receiver.clock(this.#now);
        receiver.loans.recordReturn(process.name, stamp, now);
      });
    }
  }

  #setOwner(name: string, withinMs: number): void {
    this.#owner = name;
    for (const router of this.#names) {
      this.#scheduleAfter(this.#draw(0, withinMs), () => {
        const process = this.#processes.get(router)!;
        this.#deliver(process, () => process.loans.setOwner(this.#owner));
      });
    }
  }

  #drawReplicas(): string[] {
    const rest = [...this.#names];
    const size = this.#draw(1, rest.length);
    while (rest.length > size) rest.splice(this.#draw(0, rest.length - 1), 1);
    return rest;
  }

  #restartUpstream(): void {
    for (const work of [...this.#arrived]) this.#finish(work);
  }

  #endFaults(): void {
    this.#partitionedUntil.clear();
    this.#replicaSets.push([...this.#names]);
    for (const process of this.#processes.values()) {
      if (process.paused) this.#resume(process);
      process.loans.setOwner(this.#owner);
    }
  }
}
