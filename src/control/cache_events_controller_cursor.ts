/**
 * Decides which cache events of an engine to read, and derives from them which
 * chats the engine has evicted.
 *
 * Events are delayed and may be missing, so they only remove entries from the
 * directory, and only those of chats that were certainly not used after the
 * eviction. An event that was not yet published at the last read happened after
 * that read minus the maximum delay of events. A chat whose last use was before
 * that time was therefore evicted after its last use, even if other events are
 * missing. A chat used later may be cached again, and its entry is kept.
 */
import { type Static, Type } from "@sinclair/typebox";

const CacheEventSchema = Type.Object({
  sequence: Type.Integer(),
  kind: Type.Union([Type.Literal("stored"), Type.Literal("evicted")]),
  chat: Type.String(),
});

/** Schema of the response to a read of an engine's cache events. */
export const CacheEventPageSchema = Type.Object({
  incarnation: Type.String(),
  /** Oldest sequence number that the engine retains; 0 if there is none. */
  first: Type.Integer(),
  /** Newest sequence number of the page, or the newest published one. */
  last: Type.Integer(),
  events: Type.Array(CacheEventSchema),
});

/** One page of an engine's events. */
export type CacheEventPage = Readonly<Static<typeof CacheEventPageSchema>>;

/** Position up to which an engine's events have been read. */
export interface EventCursor {
  readonly incarnation: string;
  readonly last: number;
  /** Monotonic time at which the read that returned `last` started. */
  readonly readAt: number;
  /** Answers of the engine that this router had counted by then. */
  readonly answers: number;
  /** Estimated number of events that the engine publishes per answer. */
  readonly eventsPerAnswer: number;
}

/** Parameters of a read: position, monotonic start time, answers so far. */
export interface EventRead {
  readonly after: number;
  readonly askedAt: number;
  readonly answers: number;
}

/** Result of applying a page to a cursor. */
export interface PageResult {
  readonly cursor: EventCursor;
  /** Chats that the engine evicted and has not stored again. */
  readonly evicted: readonly string[];
  /** Monotonic time; chats last used at or after it must be kept. */
  readonly usedBefore: number;
  /** Number of events that were skipped or lost. */
  readonly missing: number;
}

/** Past all sequence numbers: the response contains only the newest number. */
export const PROBE_SEQUENCE = Number.MAX_SAFE_INTEGER;

const INITIAL_EVENTS_PER_ANSWER = 1;
/** Maximum delay from a cache change to the publication of its event. */
const MAX_EVENT_DELAY_MS = 2_000;

/**
 * Returns the sequence number to read after, so that about `maxEvents` events
 * are returned. Skips the oldest unread events where more have been published.
 */
export function chooseReadStart(
  cursor: EventCursor | undefined,
  { answers, maxEvents }: { answers: number; maxEvents: number },
): number {
  if (cursor === undefined) return PROBE_SEQUENCE;
  const expected = (answers - cursor.answers) * cursor.eventsPerAnswer;
  return cursor.last + Math.max(0, Math.floor(expected) - maxEvents);
}

/** Applies a page to `cursor` and returns the evictions that it proves. */
export function applyPage(
  cursor: EventCursor | undefined,
  page: CacheEventPage,
  read: EventRead,
): PageResult {
  const isContinuation = cursor?.incarnation === page.incarnation &&
    page.last >= cursor.last;
  // Sequence numbers of another incarnation can't be compared with these.
  if (!isContinuation) return resetCursor(page, read);
  const published = page.last - cursor.last;
  const answers = read.answers - cursor.answers;
  const eventsPerAnswer = answers > 0
    ? published / answers
    : cursor.eventsPerAnswer;
  const usedBefore = cursor.readAt - MAX_EVENT_DELAY_MS;
  if (page.last < read.after) {
    // The read skipped past the newest event. Keep the position of the cursor,
    // as its events are still unread.
    const kept = { ...cursor, eventsPerAnswer };
    return { cursor: kept, evicted: [], usedBefore, missing: 0 };
  }
  const { incarnation, last, events } = page;
  const { askedAt: readAt } = read;
  return {
    cursor: {
      incarnation,
      last,
      readAt,
      answers: read.answers,
      eventsPerAnswer,
    },
    evicted: findEvicted(events, cursor.last),
    usedBefore,
    missing: Math.max(0, published - events.length),
  };
}

function resetCursor(
  { incarnation, last }: CacheEventPage,
  { askedAt, answers }: EventRead,
): PageResult {
  return {
    cursor: {
      incarnation,
      last,
      readAt: askedAt,
      answers,
      eventsPerAnswer: INITIAL_EVENTS_PER_ANSWER,
    },
    evicted: [],
    usedBefore: -Infinity,
    missing: 0,
  };
}

/** Returns the chats whose newest event after `after` is an eviction. */
function findEvicted(
  events: CacheEventPage["events"],
  after: number,
): string[] {
  const newer = events.filter(({ sequence }) => sequence > after)
    .sort((a, b) => a.sequence - b.sequence);
  const kinds = new Map(newer.map(({ chat, kind }) => [chat, kind]));
  return [...kinds.keys()].filter((chat) => kinds.get(chat) === "evicted");
}
