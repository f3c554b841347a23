/**
 * Model of a fleet whose routers exchange what began streams: a store with the
 * upstreams of one service, routers whose views of it are behind, cut off or
 * restarted, and datagrams that are late or lost. It runs in simulated time.
 */
import { Buffer } from "node:buffer";
import { Err, Ok } from "ts-results/result";
import type { Hash } from "../../policy/rendezvous.ts";
import { VersionHistory } from "../../policy/version_history.ts";
import type { VersionRecord } from "../../routing/types.ts";
import { PlatformFailure } from "../../store/key_value.ts";
import { parsePeerMessage } from "../peer_messages.ts";
import { type InquiryReport, StreamExchange } from "../stream_exchange.ts";
import { ViewConfirmation } from "../view_confirmation.ts";

/** Options of a `StreamFleet`. */
export interface StreamFleetOptions {
  readonly routers: number;
  readonly hash: Hash;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Share of the datagrams that are lost. */
  readonly lossRate: number;
}

interface Stream {
  readonly key: string;
  readonly version: string;
  readonly begunAt: number;
}

interface StoreState {
  readonly revision: number;
  /** Versions by upstream. */
  readonly upstreams: ReadonlyMap<string, string>;
}

const SERVICE = "engine";
/** Time for which a stream may be resumed, in milliseconds. */
export const SPAN_MS = 5_000;
const MAX_POLL_PAUSE_MS = 900;
const MAX_LATENCY_MS = 30;
const MAX_READ_MS = 300;
/** Time from the first event until a caller may come back, in milliseconds. */
const MIN_BREAK_MS = 40;
/** Time for which an upstream stays at least, in milliseconds. */
const MIN_STAY_MS = 3_600;
/** Time after which a change is in the record of versions, in milliseconds. */
const RECORD_DELAY_MS = 2_000;

/** The store, in the states that it had. */
class Store {
  readonly states: StoreState[] = [{ revision: 1, upstreams: new Map() }];
  readonly #goneAt = new Map<string, number>();
  readonly #joinedAt = new Map<string, number>();
  #record: VersionRecord = { service: SERVICE, versions: [] };

  get latest(): StoreState {
    return this.states.at(-1)!;
  }

  get record(): VersionRecord {
    return this.#record;
  }

  join(id: string, version: string): void {
    this.#joinedAt.set(id, performance.now());
    this.#write(new Map(this.latest.upstreams).set(id, version));
  }

  leave(id: string): void {
    const stayedMs = performance.now() - (this.#joinedAt.get(id) ?? Infinity);
    const upstreams = new Map(this.latest.upstreams);
    if (stayedMs < MIN_STAY_MS || upstreams.size < 2) return;
    if (upstreams.delete(id)) this.#write(upstreams);
  }

  #write(upstreams: ReadonlyMap<string, string>): void {
    const wall = performance.now();
    for (const version of this.latest.upstreams.values()) {
      this.#goneAt.set(version, wall);
    }
    this.states.push({ revision: this.latest.revision + 1, upstreams });
    setTimeout(() => this.#updateRecord(), RECORD_DELAY_MS);
  }

  #updateRecord(): void {
    const present = new Set(this.latest.upstreams.values());
    const versions = new Set([...this.#goneAt.keys(), ...present]);
    this.#record = {
      service: SERVICE,
      versions: [...versions].map((version) => ({
        version,
        goneAt: present.has(version) ? undefined : this.#goneAt.get(version),
      })),
    };
  }
}

/** One router, from its start to its end. */
export class Router {
  readonly exchange: StreamExchange;
  readonly #fleet: StreamFleet;
  readonly #history = new VersionHistory();
  readonly #confirmation: ViewConfirmation;
  #view: StoreState;
  #confirmedAt = performance.now();
  #timer: NodeJS.Timeout | undefined;
  /** Whether its watch returns nothing and seems complete. */
  isDeaf = false;
  isCutFromStore = false;
  isCutFromRouters = false;

  constructor(readonly name: string, fleet: StreamFleet) {
    this.#fleet = fleet;
    const { store, options } = fleet;
    this.#view = { revision: 0, upstreams: new Map() };
    this.#history.recordVersions(store.record, readInstant());
    this.#apply(store.latest);
    this.#confirmation = new ViewConfirmation({
      store: { readVersions: () => this.#readVersions() },
      clock: () => performance.now(),
      hasRevision: (revision) => this.#view.revision >= revision,
      onBehind: () => this.#poll(),
      onVersions: (record) =>
        this.#history.recordVersions(record, readInstant()),
    });
    this.exchange = new StreamExchange({
      self: name,
      hash: options.hash,
      clock: () => performance.now(),
      listRouters: () => fleet.names,
      send: (message, to) => fleet.send(message, { from: name, to }),
      findVersions: (_, spanMs) =>
        this.#history.find(SERVICE, {
          registered: [...this.#view.upstreams.values()],
          now: performance.now(),
          spanMs,
        }),
      getViewAgeMs: () => performance.now() - this.#confirmedAt,
      confirmView: () => this.#confirmation.confirm(),
      onInquiryEnd: ({ outcome }) => fleet.countOutcome(outcome),
    });
    this.exchange.open();
    this.#schedule();
  }

  /** Upstreams that are in its view and run. */
  listUsable(): string[] {
    return [...this.#view.upstreams.keys()]
      .filter((id) => this.#fleet.store.latest.upstreams.has(id));
  }

  close(): void {
    clearTimeout(this.#timer);
    this.exchange.close();
    this.#confirmation.close();
  }

  #schedule(): void {
    const pauseMs = this.#fleet.options.random() * MAX_POLL_PAUSE_MS;
    this.#timer = setTimeout(() => {
      this.#poll();
      this.#schedule();
    }, pauseMs);
  }

  #poll(): void {
    if (this.isCutFromStore) return;
    this.#confirmedAt = performance.now();
    if (this.isDeaf) return;
    for (const state of this.#fleet.store.states) {
      if (state.revision > this.#view.revision) this.#apply(state);
    }
    this.#confirmation.recordAdvance();
  }

  #apply(state: StoreState): void {
    const now = performance.now();
    const versions = [
      ...this.#view.upstreams.values(),
      ...state.upstreams.values(),
    ];
    for (const version of versions) {
      this.#history.recordSeen(SERVICE, version, now);
    }
    this.#view = state;
  }

  async #readVersions() {
    const { store, options: { random } } = this.#fleet;
    await wait(random() * MAX_READ_MS / 2);
    const value = {
      records: [store.record],
      revision: store.latest.revision,
      era: 0,
    };
    await wait(random() * MAX_READ_MS / 2);
    return this.isCutFromStore
      ? Err(new PlatformFailure("unavailable", "cut"))
      : Ok(value);
  }
}

/** The fleet, its store and the streams that callers have. */
export class StreamFleet {
  readonly store = new Store();
  readonly streams: Stream[] = [];
  readonly names: string[];
  /** Streams that were to go on at another version. */
  readonly violations: string[] = [];
  /** Streams that were refused. */
  readonly refused: string[] = [];
  /** Ends of inquiries, by outcome. */
  readonly outcomes = new Map<InquiryReport["outcome"], number>();
  resumedCount = 0;
  readonly #routers = new Map<string, Router>();
  readonly #questions: Promise<void>[] = [];
  #upstreamCount = 0;

  constructor(readonly options: StreamFleetOptions) {
    this.names = Array.from(
      { length: options.routers },
      (_, each) => `router-${each}`,
    );
    this.join("v0");
    this.join("v0");
    for (const name of this.names) this.start(name);
  }

  start(name: string): void {
    this.#routers.get(name)?.close();
    this.#routers.set(name, new Router(name, this));
  }

  end(name: string): void {
    this.#routers.get(name)?.close();
    this.#routers.delete(name);
  }

  get(name: string): Router | undefined {
    return this.#routers.get(name);
  }

  join(version: string): void {
    this.store.join(`upstream-${++this.#upstreamCount}`, version);
  }

  leave(index: number): void {
    const ids = [...this.store.latest.upstreams.keys()];
    this.store.leave(ids[index % ids.length]!);
  }

  /** Begins a stream at an upstream that the router knows. */
  begin(name: string): void {
    const router = this.get(name);
    const usable = router?.listUsable() ?? [];
    if (router === undefined || usable.length === 0) return;
    const id = usable[Math.floor(this.options.random() * usable.length)]!;
    const key = `stream-${this.streams.length}`;
    const version = this.store.latest.upstreams.get(id)!;
    this.streams.push({ key, version, begunAt: performance.now() });
    this.#run(router, key, version);
  }

  /** Resumes the streams that callers may still resume, at one router. */
  resume(name: string): void {
    const now = performance.now();
    for (const { key, version, begunAt } of this.streams) {
      const router = this.get(name);
      const ageMs = now - begunAt;
      if (router === undefined || ageMs >= SPAN_MS) continue;
      if (ageMs < MIN_BREAK_MS) continue;
      const found = router.exchange
        .find(key, { service: SERVICE, spanMs: SPAN_MS })
        .then((origin) => {
          if (this.get(name) !== router) return;
          if (origin === undefined) this.refused.push(`${key} at ${name}`);
          else if (origin.softwareVersion !== version) {
            this.violations.push(`${key} at ${name}: ${version}`);
          } else this.resumedCount++;
        });
      this.#questions.push(found);
    }
  }

  send(message: object, { from, to }: { from: string; to: string }): void {
    const { random, lossRate } = this.options;
    const sender = this.get(from);
    if (sender?.isCutFromRouters || random() < lossRate) return;
    const bytes = Buffer.from(JSON.stringify(message));
    setTimeout(() => {
      const receiver = this.get(to);
      const parsed = parsePeerMessage(bytes);
      if (receiver === undefined || receiver.isCutFromRouters) return;
      const isOther = parsed?.kind === "ask" || parsed?.kind === "loads" ||
        parsed?.kind === "answer";
      if (parsed !== undefined && !isOther) receiver.exchange.receive(parsed);
    }, random() * MAX_LATENCY_MS);
  }

  countOutcome(outcome: InquiryReport["outcome"]): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }

  async close(): Promise<void> {
    for (const router of this.#routers.values()) router.close();
    await Promise.all(this.#questions);
  }

  #run(router: Router, key: string, softwareVersion: string): void {
    router.exchange.recordStart({
      key,
      service: SERVICE,
      softwareVersion,
      spanMs: SPAN_MS,
    });
    const runMs = this.options.random() * SPAN_MS;
    setTimeout(() => router.exchange.recordEnd(key), runMs);
  }
}

function readInstant() {
  return { steady: performance.now(), wall: performance.now() };
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
