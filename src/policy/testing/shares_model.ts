/**
 * Model of routers that share one upstream, for tests of the capacity shares.
 *
 * Real time runs in one event queue. Each router process has a clock of its own
 * offset and rate, and each message a delay of its own. The upstream counts the
 * in-flight work truly, and its reports lag. Every admission is checked
 * against the true count over all processes, dead ones included.
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

/** Kinds of trouble that a run may bring. */
export const TROUBLES = [
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

/** One trouble: what happens, when, to whom and for how long. */
export interface Trouble {
  readonly kind: typeof TROUBLES[number];
  readonly at: number;
  readonly router: number;
  readonly peer: number;
  readonly durationMs: number;
}

/** What sets up a run. */
export interface Scenario {
  readonly seed: number;
  readonly routerCount: number;
  readonly replicaCount: number;
  readonly limit: number;
  /** Whether routers use limits below `limit` at times. */
  readonly limitVaries: boolean;
  readonly troubles: readonly Trouble[];
}

/** What a run saw. */
export interface Outcome {
  readonly admissions: number;
  /** Admissions beside in-flight work of another process. */
  readonly sharedAdmissions: number;
  /** Admissions that passed the limit, and ranks with two holders. */
  readonly violations: readonly string[];
  /** Largest in-flight work as a multiple of the limit. */
  readonly peak: number;
  /** Room of the sole owner once all has healed and all work is done. */
  readonly healedRoom: number;
}

/** Whether a run kept to the limit and healed to the whole of it. */
export function isSound(outcome: Outcome, { limit }: Scenario): boolean {
  return outcome.violations.length === 0 && outcome.healedRoom === limit;
}

/** End of the troubles and of the admissions, in milliseconds. */
export const TROUBLE_END_MS = 1_000;

const RUN_END_MS = 1_800;
const START_MS = -250;
const LOAN_MS = 180;
const DRIFT_MS = 3;
const TRANSIT_MS = 15;
const HOLD_DOWN_MS = 130;
const CONFIRM_MS = 120;
const RATE_ERROR_PER_MILLE = 8;
const BEAT_MS = 45;
const POLL_MS = 35;
const ADMIT_MS = 25;
const READING_MS = 40;
const UPSTREAM = "upstream";

interface Work {
  readonly owner: Process;
  readonly beganAt: number;
  ended: boolean;
}

/** One process of a router. */
class Process {
  readonly loans: Loans;
  readonly shares: CapacityShares;
  readonly startedAt: number;
  alive = true;
  paused = false;
  /** What waits for the end of a pause. */
  inbox: (() => void)[] = [];
  version = -1;
  adoptedAt = 0;
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
      confirmMs: CONFIRM_MS,
    });
  }
}

/** Runs a scenario to its end. */
export function runScenario(scenario: Scenario, hash: Hash): Outcome {
  return new World(scenario, hash).run();
}

class World {
  readonly #scenario: Scenario;
  readonly #hash: Hash;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #names: string[];
  readonly #processes = new Map<string, Process>();
  readonly #cutUntil = new Map<string, number>();
  readonly #log: string[][];
  readonly #inFlight = new Set<Work>();
  readonly #violations: string[] = [];
  #arrived = new Set<Work>();
  #reading = { inFlight: 0, at: START_MS };
  readonly #queue = new EventQueue();
  #now = START_MS;
  #started = 0;
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
    this.#log = [this.#names.slice(0, replicaCount)];
    this.#owner = this.#names[0]!;
  }

  run(): Outcome {
    for (const name of this.#names) this.#start(name);
    this.#refreshReading();
    for (const trouble of this.#scenario.troubles) {
      this.#at(trouble.at, () => this.#bring(trouble));
    }
    this.#at(TROUBLE_END_MS, () => this.#heal());
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
      healedRoom: owner.shares.roomFor(UPSTREAM, limit, clock),
    };
  }

  #draw(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  #chance(percent: number): boolean {
    return this.#draw(0, 99) < percent;
  }

  #at(at: number, run: () => void): void {
    this.#queue.push(at, run);
  }

  #after(delayMs: number, run: () => void): void {
    this.#at(this.#now + delayMs, run);
  }

  /** Runs `action` on a process; a paused one acts once it goes on. */
  #deliver(process: Process, action: () => void): void {
    if (!process.alive) return;
    if (process.paused) process.inbox.push(action);
    else action();
  }

  #every(process: Process, intervalMs: number, action: () => void): void {
    const tick = () => {
      if (!process.alive) return;
      if (!process.paused) action();
      this.#after(this.#draw(intervalMs >> 1, intervalMs * 3 >> 1), tick);
    };
    this.#after(this.#draw(0, intervalMs), tick);
  }

  #start(name: string): void {
    const offset = this.#draw(-100_000, 100_000);
    const errors = [-RATE_ERROR_PER_MILLE, 0, RATE_ERROR_PER_MILLE];
    const error = errors[this.#draw(0, 2)]!;
    const process = new Process(
      name,
      `${name}-${this.#started++}`,
      (realTime) => offset + realTime * (1 + error / 1_000),
      { hash: this.#hash, realTime: this.#now },
    );
    process.loans.setOwner(this.#owner);
    this.#processes.set(name, process);
    this.#every(process, BEAT_MS, () => this.#beat(process));
    this.#every(process, POLL_MS, () => this.#poll(process));
    this.#every(process, POLL_MS, () => this.#readLog(process));
    this.#every(process, ADMIT_MS, () => this.#admit(process));
  }

  /** Delay of a message: mostly short, now and then very long. */
  #delay(): number {
    const isShort = this.#hasHealed() || this.#chance(90);
    if (!isShort) return this.#draw(0, 300);
    return this.#chance(40) ? 0 : this.#draw(0, 12);
  }

  #hasHealed(): boolean {
    return this.#now >= TROUBLE_END_MS;
  }

  #isCut(from: string, to: string): boolean {
    const until = this.#cutUntil.get(`${from}>${to}`);
    return until !== undefined && until > this.#now;
  }

  #send(from: string, to: string, receive: (process: Process) => void): void {
    if (this.#isCut(from, to)) return;
    const isLost = !this.#hasHealed() && this.#chance(5);
    const copies = isLost ? 0 : this.#chance(3) ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      this.#after(this.#delay(), () => {
        // Old messages reach a new process too.
        const process = this.#processes.get(to)!;
        this.#deliver(process, () => receive(process));
      });
    }
  }

  #beat(process: Process): void {
    const { name, incarnation } = process;
    const at = process.clock(this.#now);
    for (const peer of this.#names) {
      if (peer === name) continue;
      const offer = process.loans.offerFor(peer, at);
      const heartbeat = { sentAt: { incarnation, at }, ...offer };
      this.#send(name, peer, (receiver) => {
        const now = receiver.clock(this.#now);
        receiver.loans.receive(name, heartbeat, now);
      });
    }
  }

  #poll(process: Process): void {
    const askedAt = process.clock(this.#now);
    if (this.#isCut(process.name, UPSTREAM) || this.#chance(5)) return;
    this.#after(this.#delay(), () => {
      const report = this.#report();
      this.#after(this.#delay(), () => {
        this.#deliver(process, () => {
          process.shares.report(UPSTREAM, report, askedAt);
        });
      });
    });
  }

  #report() {
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
    this.#after(this.#draw(1, READING_MS), () => this.#refreshReading());
  }

  /** Reads the configuration log and confirms the newest entry. */
  #readLog(process: Process): void {
    if (this.#isCut(process.name, "log")) return;
    const askedAt = process.clock(this.#now);
    const version = this.#log.length - 1;
    this.#after(this.#draw(0, 30), () => {
      this.#deliver(process, () => this.#adopt(process, version, askedAt));
    });
  }

  #adopt(process: Process, version: number, askedAt: number): void {
    const now = process.clock(this.#now);
    if (process.version < 0) {
      const inForceMs = this.#inForceMs(version);
      process.shares.setReplicas(this.#log[version]!, now, {
        inForceMs,
        afterGap: true,
      });
      process.version = version;
    }
    while (process.version < version) {
      process.version++;
      process.shares.setReplicas(this.#log[process.version]!, now);
      process.adoptedAt = now;
    }
    if (process.version === version) process.shares.confirm(askedAt);
  }

  /** For how long a peer says that it has had the version. */
  #inForceMs(version: number): number {
    if (this.#now < 0) return HOLD_DOWN_MS;
    const times = [...this.#processes.values()]
      .filter((peer) => peer.alive && !peer.paused && peer.version === version)
      .map((peer) => peer.clock(this.#now) - peer.adoptedAt);
    return this.#chance(50) ? Math.max(0, ...times) - DRIFT_MS : 0;
  }

  #admit(process: Process): void {
    if (this.#now < 0 || this.#hasHealed()) return;
    this.#checkRanks();
    if (this.#isCut(process.name, UPSTREAM)) return;
    const { limit, limitVaries } = this.#scenario;
    const used = limitVaries ? this.#draw(Math.ceil(limit / 2), limit) : limit;
    for (let count = this.#draw(0, limit); count > 0; count--) {
      const beganAt = process.clock(this.#now);
      if (!process.shares.tryBegin(UPSTREAM, used, beganAt)) return;
      process.lastLimit = used;
      const work = { owner: process, beganAt, ended: false };
      this.#inFlight.add(work);
      this.#check(process);
      this.#dispatch(work);
    }
  }

  /** Checks that no rank has two holders at this moment. */
  #checkRanks(): void {
    const holders = new Map<string, string>();
    for (const process of this.#processes.values()) {
      const held = process.loans.heldRanks(process.clock(this.#now));
      for (const { replica } of held) {
        const other = holders.get(replica);
        holders.set(replica, process.incarnation);
        if (other === undefined) continue;
        const both = `${other} and ${process.incarnation}`;
        this.#violations.push(`${both} hold ${replica} at ${this.#now}`);
      }
    }
  }

  #check(admitting: Process): void {
    let bound = admitting.lastLimit;
    let isShared = false;
    for (const { owner } of this.#inFlight) {
      // Where limits differ, the largest that running work relied on counts.
      if (owner.lastLimit > bound) bound = owner.lastLimit;
      if (owner !== admitting) isShared = true;
    }
    const total = this.#inFlight.size;
    this.#admissions++;
    if (isShared) this.#sharedAdmissions++;
    this.#peak = Math.max(this.#peak, total / bound);
    if (total <= bound) return;
    const at = `${admitting.incarnation} at ${this.#now}`;
    this.#violations.push(`${total} of ${bound}, ${at}`);
  }

  #dispatch(work: Work): void {
    const isCancelled = this.#chance(4);
    const longest = TRANSIT_MS - 1;
    const transitMs = this.#chance(40) ? longest : this.#draw(0, longest);
    this.#after(transitMs, () => {
      if (!isCancelled) this.#arrive(work);
      else this.#finish(work);
    });
    if (this.#chance(6)) {
      this.#after(this.#draw(0, 300), () => this.#abandon(work));
    }
  }

  #arrive(work: Work): void {
    this.#arrived.add(work);
    const durationMs = this.#chance(80)
      ? this.#draw(1, 120)
      : this.#draw(1, 600);
    this.#after(durationMs, () => this.#finish(work));
  }

  #finish(work: Work): void {
    this.#inFlight.delete(work);
    this.#arrived.delete(work);
    const report = this.#report();
    this.#after(this.#delay(), () => {
      this.#deliver(work.owner, () => {
        const { shares } = work.owner;
        shares.report(UPSTREAM, report, work.beganAt);
        if (!work.ended) shares.end(UPSTREAM, work.beganAt);
        work.ended = true;
      });
    });
  }

  #abandon(work: Work): void {
    this.#deliver(work.owner, () => {
      if (!work.ended) work.owner.shares.abandon(UPSTREAM, work.beganAt);
      work.ended = true;
    });
  }

  #bring({ kind, router, peer, durationMs }: Trouble): void {
    const name = this.#names[router % this.#names.length]!;
    const other = this.#names[peer % this.#names.length]!;
    const until = this.#now + durationMs;
    const process = this.#processes.get(name)!;
    switch (kind) {
      case "cut":
        this.#cutUntil.set(`${other}>${name}`, until);
        this.#cutUntil.set(`${name}>${other}`, until);
        break;
      case "cut-one-way":
        this.#cutUntil.set(`${name}>${other}`, until);
        break;
      case "silence":
        this.#cutUntil.set(`${name}>upstream`, until);
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
        this.#cutUntil.set(`${name}>log`, until);
        this.#log.push(this.#drawReplicas());
        break;
      case "upstream-restart":
        this.#restartUpstream();
    }
  }

  #pause(process: Process, durationMs: number): void {
    process.paused = true;
    this.#after(durationMs, () => this.#resume(process));
  }

  /** Acts on what came in the pause, newest first half of the time. */
  #resume(process: Process): void {
    process.paused = false;
    const inbox = process.inbox;
    process.inbox = [];
    if (this.#chance(50)) inbox.reverse();
    for (const action of inbox) this.#deliver(process, action);
  }

  /** Begins a planned stop; the router goes on with its own rank. */
  #stop(process: Process): void {
    const stamp = process.loans.returnAll(process.clock(this.#now));
    for (const peer of this.#names) {
      if (peer === process.name) continue;
      this.#send(process.name, peer, (receiver) => {
        const now = receiver.clock(this.#now);
        receiver.loans.returned(process.name, stamp, now);
      });
    }
  }

  #setOwner(name: string, withinMs: number): void {
    this.#owner = name;
    for (const router of this.#names) {
      this.#after(this.#draw(0, withinMs), () => {
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

  #heal(): void {
    this.#cutUntil.clear();
    this.#log.push([...this.#names]);
    for (const process of this.#processes.values()) {
      if (process.paused) this.#resume(process);
      process.loans.setOwner(this.#owner);
    }
  }
}
