/**
 * Removes evicted chats from the directories of the pools that this router
 * owns. The evictions are read from the cache events of engines.
 *
 * Events supplement the headers of responses and are never the only source. All
 * reads of a router share one byte budget, so their cost doesn't grow with the
 * load of the engines: the busier the engines, the more events are skipped.
 */
import type { Log } from "../log.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import {
  applyPage,
  chooseReadStart,
  type EventCursor,
  PROBE_SEQUENCE,
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

/** The part of a pool controller that is used here. */
export type CorrectedPool = Pick<
  PoolController,
  "id" | "summarise" | "noteEvictions"
>;

/** Options of `createCacheEventsController`. */
export interface CacheEventsOptions {
  readonly self: string;
  readonly source: CacheEventSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: TaskSystem;
  /** Time between two checks for a due read, in milliseconds. */
  readonly tickMs?: number;
  /** Minimum time between two reads of an engine, in milliseconds. */
  readonly intervalMs?: number;
  /** Byte budget per second that all reads of this router share. */
  readonly bytesPerSecond?: number;
  listPools(): readonly CorrectedPool[];
  isEngine(service: string): boolean;
  hashChat(chat: string): ChatHash;
}

/** Reads the cache events of engines. */
export interface CacheEventsController {
  open(): void;
  close(): void;
}

const TICK_MS = 1_000;
const INTERVAL_MS = 10_000;
const BYTES_PER_SECOND = 300;
/** Maximum unused budget that is carried over. */
const MAX_BUDGET_BYTES = 3_000;
const BYTES_PER_EVENT = 90;
const MIN_EVENTS = 4;
const MAX_EVENTS = 24;
const MAX_PAGE_BYTES = 4_096;
const MIN_READ_BYTES = READ_OVERHEAD_BYTES + MIN_EVENTS * BYTES_PER_EVENT;

/** State of the reads of one engine. */
interface EngineReadState {
  cursor: EventCursor | undefined;
  /** Whether the next read requests only the newest sequence number. */
  mustProbe: boolean;
  /** Monotonic time at which the last read started. */
  lastReadAt: number;
  /** `UpstreamSummary.answers` at the last successful read. */
  answers: number;
}

/** An engine that may be read. */
interface Candidate {
  readonly pool: CorrectedPool;
  readonly summary: UpstreamSummary;
  readonly readState: EngineReadState;
}

/** Creates the controller; `open` starts its timer. */
export function createCacheEventsController(
  options: CacheEventsOptions,
): CacheEventsController {
  return new BudgetedCacheEventsController(options);
}

class BudgetedCacheEventsController implements CacheEventsController {
  readonly #options: CacheEventsOptions;
  readonly #readStates = new Map<string, EngineReadState>();
  readonly #task: Task<"tick">;
  #timer: NodeJS.Timeout | undefined;
  #budgetBytes = MAX_BUDGET_BYTES;
  #budgetAt: number;

  constructor(options: CacheEventsOptions) {
    this.#options = options;
    this.#budgetAt = options.clock();
    this.#task = options.tasks.spawn<"tick">("cache-events", {
      handle: () => this.#tick(),
      onFailure: (cause) => {
        const detail = cause instanceof Error ? cause.stack : String(cause);
        options.log.error("Reading cache events failed.", { detail });
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

  /** Reads the least recently read engine if the budget allows it. */
  async #tick(): Promise<void> {
    this.#refillBudget();
    if (this.#budgetBytes < MIN_READ_BYTES) return;
    const [next] = this.#findCandidates()
      .sort((a, b) => a.readState.lastReadAt - b.readState.lastReadAt);
    if (next !== undefined) await this.#read(next);
  }

  #refillBudget(): void {
    const { clock, bytesPerSecond = BYTES_PER_SECOND } = this.#options;
    const now = clock();
    const refillBytes = (now - this.#budgetAt) * bytesPerSecond / 1_000;
    this.#budgetBytes = Math.min(
      MAX_BUDGET_BYTES,
      this.#budgetBytes + refillBytes,
    );
    this.#budgetAt = now;
  }

  /** Returns engines of owned pools that are due and have new answers. */
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
        readState: this.#getReadState(pool.id, each),
      }));
    }).filter(({ readState, summary }) =>
      summary.answers !== readState.answers && readState.lastReadAt <= due
    );
  }

  #getReadState(pool: string, { upstream }: UpstreamSummary): EngineReadState {
    const key = `${pool} ${upstream.name}`;
    let readState = this.#readStates.get(key);
    if (readState === undefined) {
      readState = {
        cursor: undefined,
        mustProbe: true,
        lastReadAt: -Infinity,
        answers: 0,
      };
      this.#readStates.set(key, readState);
    }
    return readState;
  }

  async #read({ pool, summary, readState }: Candidate): Promise<void> {
    const { source, clock, hashChat, log } = this.#options;
    const { upstream, answers } = summary;
    const { cursor } = readState;
    const eventBytes = this.#budgetBytes - READ_OVERHEAD_BYTES;
    const affordableEvents = Math.floor(eventBytes / BYTES_PER_EVENT);
    const maxEvents = Math.min(MAX_EVENTS, affordableEvents);
    const after = readState.mustProbe
      ? PROBE_SEQUENCE
      : chooseReadStart(cursor, { answers, maxEvents });
    const askedAt = clock();
    readState.lastReadAt = askedAt;
    const { page, bytes } = await source.read(upstream, after, {
      maxBytes: MAX_PAGE_BYTES,
    });
    this.#budgetBytes -= bytes;
    // A page over the size limit means that the estimated number of events is
    // far off.
    readState.mustProbe = page === undefined;
    if (page === undefined) return;
    readState.answers = answers;
    const update = applyPage(cursor, page, { after, askedAt, answers });
    readState.cursor = update.cursor;
    const { evicted, usedBefore, missing } = update;
    if (evicted.length === 0) return;
    const chats = evicted.map((chat) => hashChat(chat));
    pool.noteEvictions(upstream.name, { chats, usedBefore });
    log.debug("An engine reported evicted chats.", {
      upstream: upstream.name,
      chats: chats.length,
      missing,
    });
  }
}
