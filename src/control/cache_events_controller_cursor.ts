/**
 * Decides which cache events of an engine to read, and what follows from them.
 *
 * Events come late and with gaps, so they only ever take something back that
 * the directory holds, and only for chats that were surely not used since. An
 * event that was not published at the last read happened after it, less the
 * time by which events are late. A chat that was used before that was thus
 * evicted after its last use, whatever events are missing. A chat used later
 * may be cached again, and is left alone.
 */
import { type Static, Type } from "@sinclair/typebox";

const CacheEventSchema = Type.Object({
  sequence: Type.Integer(),
  kind: Type.Union([Type.Literal("stored"), Type.Literal("evicted")]),
  chat: Type.String(),
});

/** Shape of what an engine answers to a read of its events. */
export const CacheEventPageSchema = Type.Object({
  incarnation: Type.String(),
  /** Oldest sequence number that is still kept; 0 if there is none. */
  first: Type.Integer(),
  /** Newest sequence number of the page, or that is published. */
  last: Type.Integer(),
  events: Type.Array(CacheEventSchema),
});

/** One page of an engine's events. */
export type CacheEventPage = Readonly<Static<typeof CacheEventPageSchema>>;

/** How far an engine's events are read. */
export interface EventCursor {
  readonly incarnation: string;
  readonly last: number;
  /** Monotonic time at which the read that found `last` was started. */
  readonly readAt: number;
  /** Answers of the engine that this router had seen by then. */
  readonly answers: number;
  /** Events that the engine publishes for each answer, estimated. */
  readonly eventsPerAnswer: number;
}

/** A read, as it was asked for. */
export interface EventRead {
  readonly after: number;
  readonly askedAt: number;
  readonly answers: number;
}

/** What a page teaches. */
export interface EventsLearned {
  readonly cursor: EventCursor;
  /** Chats that the engine evicted, and has not stored again since. */
  readonly evicted: readonly string[];
  /** A chat that was used at this time or later is not to be forgotten. */
  readonly usedBefore: number;
  /** Events that were skipped or lost. */
  readonly missing: number;
}

/** Sequence number past all events: the answer names only the newest. */
export const PROBE = Number.MAX_SAFE_INTEGER;

const INITIAL_EVENTS_PER_ANSWER = 1;
/** Longest time from a change of the cache to its event, milliseconds. */
const LATE_MS = 2_000;

/**
 * Chooses where to read on, so that about `maxEvents` come back: the newest,
 * where more have been published.
 */
export function chooseAfter(
  cursor: EventCursor | undefined,
  { answers, maxEvents }: { answers: number; maxEvents: number },
): number {
  if (cursor === undefined) return PROBE;
  const expected = (answers - cursor.answers) * cursor.eventsPerAnswer;
  return cursor.last + Math.max(0, Math.floor(expected) - maxEvents);
}

/** Draws the conclusions from a page. */
export function learnFromPage(
  cursor: EventCursor | undefined,
  page: CacheEventPage,
  read: EventRead,
): EventsLearned {
  const isSame = cursor?.incarnation === page.incarnation &&
    page.last >= cursor.last;
  // Numbers of another incarnation say nothing of what this one has lost.
  if (!isSame) return startOver(page, read);
  const published = page.last - cursor.last;
  const answers = read.answers - cursor.answers;
  const eventsPerAnswer = answers > 0
    ? published / answers
    : cursor.eventsPerAnswer;
  const usedBefore = cursor.readAt - LATE_MS;
  if (page.last < read.after) {
    // Skipped too far: the events are still to be read.
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

function startOver(
  { incarnation, last }: CacheEventPage,
  { askedAt, answers }: EventRead,
): EventsLearned {
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

/** The last event of a chat counts. */
function findEvicted(
  events: CacheEventPage["events"],
  after: number,
): string[] {
  const newer = events.filter(({ sequence }) => sequence > after)
    .sort((a, b) => a.sequence - b.sequence);
  const kinds = new Map(newer.map(({ chat, kind }) => [chat, kind]));
  return [...kinds.keys()].filter((chat) => kinds.get(chat) === "evicted");
}
