/** Cache events of the stand-in engine: published late and with gaps. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CacheObserver } from "./engine_prefix_cache.ts";

/** One change of the cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly chat: string;
  readonly tokens: number;
}

/** What `GET /v1/cache-events` answers, but for the incarnation. */
export interface CacheEventPage {
  /** Oldest sequence number that is still kept; gaps aside. */
  readonly first: number;
  /** Newest sequence number that is published. */
  readonly last: number;
  readonly events: readonly CacheEvent[];
}

/** Options of the event log. */
export interface CacheEventsOptions {
  seed?: number;
  /** Delay from a change to its publication, in milliseconds. */
  delayMs?: number;
  /** Share of the events that are lost, in percent. */
  lossPercent?: number;
  /** Events that are kept. */
  limit?: number;
  /** Monotonic clock in milliseconds. */
  clock: () => number;
}

interface Entry {
  readonly event: CacheEvent;
  readonly publishedAt: number;
  readonly lost: boolean;
}

const PAGE_SIZE = 512;
const PERCENT = 100;

/** Bounded log of cache events. */
export class CacheEvents implements CacheObserver {
  readonly #options: Required<CacheEventsOptions>;
  readonly #random;
  #entries: Entry[] = [];
  #next = 1;

  constructor(
    { seed = 1, delayMs = 300, lossPercent = 5, limit = 4_096, clock }:
      CacheEventsOptions,
  ) {
    this.#options = { seed, delayMs, lossPercent, limit, clock };
    this.#random = xoroshiro128plus(seed);
  }

  onStored(chat: string, tokens: number): void {
    this.#append({ sequence: this.#next++, kind: "stored", chat, tokens });
  }

  onEvicted(chat: string, tokens: number): void {
    this.#append({ sequence: this.#next++, kind: "evicted", chat, tokens });
  }

  /** Starts over with sequence number 1. */
  clear(): void {
    this.#entries = [];
    this.#next = 1;
  }

  /** The published events after sequence number `after`, at most one page. */
  getPage(after: number): CacheEventPage {
    const now = this.#options.clock();
    const due = this.#entries.filter((entry) => entry.publishedAt <= now);
    const newer = due.filter((entry) => entry.event.sequence > after);
    const page = newer.slice(0, PAGE_SIZE);
    const last = page.at(-1) ?? due.at(-1);
    return {
      first: due[0]?.event.sequence ?? 0,
      last: last?.event.sequence ?? 0,
      events: page.filter((entry) => !entry.lost).map((entry) => entry.event),
    };
  }

  #append(event: CacheEvent): void {
    const { clock, delayMs, lossPercent, limit } = this.#options;
    const lost = uniformInt(this.#random, 0, PERCENT - 1) < lossPercent;
    this.#entries.push({ event, publishedAt: clock() + delayMs, lost });
    if (this.#entries.length > limit) this.#entries.shift();
  }
}
