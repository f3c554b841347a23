/**
 * Corrects the directories of the own pools by the cache events of engines, at
 * a bounded cost.
 *
 * Events are a hint beside the headers of answers, never the only source. The
 * reads of a router share one allowance of bytes, so that they cost the same
 * however busy the engines are: the busier, the larger the part that is
 * skipped.
 */
import type { Log } from "../log.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import {
  chooseAfter,
  type EventCursor,
  learnFromPage,
  PROBE,
} from "./cache_events_controller_cursor.ts";
import {
  type CacheEventSource,
  READ_OVERHEAD_BYTES,
} from "./cache_events_controller_source.ts";
import type { PoolController } from "./pool_controller.ts";
import type { UpstreamSummary } from "./pool_summary.ts";
import { isSoleOwner } from "./pools_controller.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { Clock } from "./views.ts";

/** What the controller needs of a pool. */
export type CorrectedPool = Pick<
  PoolController,
  "id" | "summarise" | "noteEvictions"
>;

/** Options of the controller. */
export interface CacheEventsOptions {
  readonly self: string;
  readonly source: CacheEventSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: TaskSystem;
  /** Time between two looks at the pools, in milliseconds. */
  readonly tickMs?: number;
  /** Least time between two reads of an engine, in milliseconds. */
  readonly intervalMs?: number;
  /** Allowance of all reads of this router. */
  readonly bytesPerSecond?: number;
  listPools(): readonly CorrectedPool[];
  isEngine(service: string): boolean;
  hashChat(chat: string): ChatHash;
}

/** Follows the cache events of engines. */
export interface CacheEventsController {
  open(): void;
  close(): void;
}

const TICK_MS = 1_000;
const INTERVAL_MS = 10_000;
const BYTES_PER_SECOND = 300;
/** Allowance that is saved up at most. */
const MAX_SAVED_BYTES = 3_000;
const BYTES_PER_EVENT = 90;
const MIN_EVENTS = 4;
const MAX_EVENTS = 24;
const MAX_PAGE_BYTES = 4_096;
const MIN_READ_BYTES = READ_OVERHEAD_BYTES + MIN_EVENTS * BYTES_PER_EVENT;

/** What the controller keeps of an engine. */
interface Followed {
  cursor: EventCursor | undefined;
  /** Whether only the newest sequence number is to be asked for. */
  mustProbe: boolean;
  triedAt: number;
  /** Answers of the engine at the last read. */
  answers: number;
}

/** An engine that may be read. */
interface Candidate {
  readonly pool: CorrectedPool;
  readonly summary: UpstreamSummary;
  readonly followed: Followed;
}

/** Creates the controller; `open` starts it. */
export function createCacheEventsController(
  options: CacheEventsOptions,
): CacheEventsController {
  return new BoundedCacheEvents(options);
}

class BoundedCacheEvents implements CacheEventsController {
  readonly #options: CacheEventsOptions;
  readonly #followed = new Map<string, Followed>();
  readonly #task: Task<"tick">;
  #timer: NodeJS.Timeout | undefined;
  #savedBytes = MAX_SAVED_BYTES;
  #savedAt: number;

  constructor(options: CacheEventsOptions) {
    this.#options = options;
    this.#savedAt = options.clock();
    this.#task = options.tasks.spawn<"tick">("cache-events", {
      handle: () => this.#tick(),
      onFailure: (cause) => {
        const detail = cause instanceof Error ? cause.stack : String(cause);
        options.log.error("Cache events have failed.", { detail });
      },
    });
  }

  open(): void {
    const { tickMs = TICK_MS } = this.#options;
    this.#timer = setInterval(() => this.#task.send("tick"), tickMs);
  }

  close(): void {
    clearInterval(this.#timer);
    this.#task.stop();
  }

  /** Reads the engine that was not read for the longest time, if affordable. */
  async #tick(): Promise<void> {
    this.#save();
    if (this.#savedBytes < MIN_READ_BYTES) return;
    const [next] = this.#findCandidates()
      .sort((a, b) => a.followed.triedAt - b.followed.triedAt);
    if (next !== undefined) await this.#read(next);
  }

  #save(): void {
    const { clock, bytesPerSecond = BYTES_PER_SECOND } = this.#options;
    const now = clock();
    const gained = (now - this.#savedAt) * bytesPerSecond / 1_000;
    this.#savedBytes = Math.min(MAX_SAVED_BYTES, this.#savedBytes + gained);
    this.#savedAt = now;
  }

  /** Engines of own pools that have answered since they were last read. */
  #findCandidates(): Candidate[] {
    const { listPools, isEngine, self, clock } = this.#options;
    const { intervalMs = INTERVAL_MS } = this.#options;
    const due = clock() - intervalMs;
    return listPools().flatMap((pool) => {
      const summary = pool.summarise();
      if (!isEngine(summary.service) || !isSoleOwner(summary, self)) return [];
      return summary.upstreams.map((each) => ({
        pool,
        summary: each,
        followed: this.#follow(pool.id, each),
      }));
    }).filter(({ followed, summary }) =>
      summary.answers !== followed.answers && followed.triedAt <= due
    );
  }

  #follow(pool: string, { upstream }: UpstreamSummary): Followed {
    const key = `${pool} ${upstream.name}`;
    let followed = this.#followed.get(key);
    if (followed === undefined) {
      followed = {
        cursor: undefined,
        mustProbe: true,
        triedAt: -Infinity,
        answers: 0,
      };
      this.#followed.set(key, followed);
    }
    return followed;
  }

  async #read({ pool, summary, followed }: Candidate): Promise<void> {
    const { source, clock, hashChat, log } = this.#options;
    const { upstream, answers } = summary;
    const { cursor } = followed;
    const eventBytes = this.#savedBytes - READ_OVERHEAD_BYTES;
    const affordable = Math.floor(eventBytes / BYTES_PER_EVENT);
    const maxEvents = Math.min(MAX_EVENTS, affordable);
    const after = followed.mustProbe
      ? PROBE
      : chooseAfter(cursor, { answers, maxEvents });
    const askedAt = clock();
    followed.triedAt = askedAt;
    const { page, bytes } = await source.read(upstream, after, {
      maxBytes: MAX_PAGE_BYTES,
    });
    this.#savedBytes -= bytes;
    // A page that was too long shows that the estimate is far off.
    followed.mustProbe = page === undefined;
    if (page === undefined) return;
    followed.answers = answers;
    const learned = learnFromPage(cursor, page, { after, askedAt, answers });
    followed.cursor = learned.cursor;
    const { evicted, usedBefore, missing } = learned;
    if (evicted.length === 0) return;
    const chats = evicted.map((chat) => hashChat(chat));
    pool.noteEvictions(upstream.name, { chats, usedBefore });
    log.debug("An engine has evicted chats.", {
      upstream: upstream.name,
      chats: chats.length,
      missing,
    });
  }
}
