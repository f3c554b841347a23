/** Cache events of the stand-in engine, published late and with gaps. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CacheObserver } from "./engine_prefix_cache.ts";

/** A change of the cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly chat: string;
  readonly tokens: number;
}

/** Answer to `GET /v1/cache-events` without the incarnation. */
export interface CacheEventPage {
  /** Oldest published sequence number in the log, even if its event is lost. */
  readonly first: number;
  /** Newest sequence number that the page covers, even if its event is lost. */
  readonly last: number;
  readonly events: readonly CacheEvent[];
}

/** Options of the event log. */
export interface CacheEventsOptions {
  /** Seed that selects the events that are lost. */
  seed?: number;
  /** Delay from a change to its publication, in milliseconds. */
  delayMs?: number;
  /** Share of the events that are lost, in percent. */
  lossPercent?: number;
  /** Maximum number of events in the log. */
  limit?: number;
  /** Monotonic clock in milliseconds. */
  clock: () => number;
}

interface Entry {
  readonly event: CacheEvent;
  readonly publishedAt: number;
  readonly isLost: boolean;
}

const PAGE_SIZE = 512;
const PERCENT = 100;

/** Bounded log of cache events; the oldest are removed first. */
export class CacheEvents implements CacheObserver {
  readonly #options: Required<CacheEventsOptions>;
  readonly #random;
  #entries: Entry[] = [];
  #nextSequence = 1;

  constructor(
    { seed = 1, delayMs = 300, lossPercent = 5, limit = 4_096, clock }:
      CacheEventsOptions,
  ) {
    this.#options = { seed, delayMs, lossPercent, limit, clock };
    this.#random = xoroshiro128plus(seed);
  }

  onStored(chat: string, tokens: number): void {
    this.#append({
      sequence: this.#nextSequence++,
      kind: "stored",
      chat,
      tokens,
    });
  }

  onEvicted(chat: string, tokens: number): void {
    this.#append({
      sequence: this.#nextSequence++,
      kind: "evicted",
      chat,
      tokens,
    });
  }

  /** Removes all events and restarts at sequence number 1. */
  clear(): void {
    this.#entries = [];
    this.#nextSequence = 1;
  }

  /** Returns up to a page of the published events after sequence `after`. */
  getPage(after: number): CacheEventPage {
    const now = this.#options.clock();
    const published = this.#entries.filter((entry) => entry.publishedAt <= now);
    const newer = published.filter((entry) => entry.event.sequence > after);
    const page = newer.slice(0, PAGE_SIZE);
    const last = page.at(-1) ?? published.at(-1);
    return {
      first: published[0]?.event.sequence ?? 0,
      last: last?.event.sequence ?? 0,
      events: page.filter((entry) => !entry.isLost).map((entry) => entry.event),
    };
  }

  #append(event: CacheEvent): void {
    const { clock, delayMs, lossPercent, limit } = this.#options;
    const lost = uniformInt(this.#random, 0, PERCENT - 1) < lossPercent;
    this.#entries.push({ event, publishedAt: clock() + delayMs, isLost: lost });
    if (this.#entries.length > limit) this.#entries.shift();
  }
}
