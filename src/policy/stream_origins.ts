/**
 * Keeps which software version began each resumable stream, and chooses the
 * routers that are told.
 *
 * Load pattern: upstreams of several versions serve side by side, routers end,
 * and callers resume their streams at routers that have never seen them. A
 * stream may go on only at the version that began it. Each stream is therefore
 * known to a few routers, chosen by rendezvous hashing, so that any router can
 * ask them and none has to hold the streams of the whole fleet.
 */
import type { StreamPosition } from "./event_order.ts";
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** What began a stream, and up to where it was forwarded. */
export interface StreamOrigin {
  readonly service: string;
  /** Version of the upstream's software. */
  readonly softwareVersion: string;
  /** Set while it is not certain which process began the stream. */
  readonly unproven?: UnprovenOrigin;
  /** Set once the router that forwarded it no longer does. */
  readonly position?: StreamPosition;
}

/**
 * What began a stream if the upstream's process was that of its entry, which may
 * not have been known for a process that had just started.
 */
export interface UnprovenOrigin {
  /** Id of the upstream. */
  readonly upstream: string;
  /** Start time of the process in its entry, in Unix milliseconds. */
  readonly bornAt: number;
  readonly softwareVersion: string;
}

/** A stream as routers tell it to each other. */
export interface StreamRecord extends StreamOrigin {
  /** Identifies the stream; see `createStreamKey`. */
  readonly key: string;
  /** Time for which the stream may still be resumed, in milliseconds. */
  readonly remainingMs: number;
}

/** Options of `listHolders`. */
export interface HolderOptions {
  /** Name of this router, which is not listed. */
  readonly self: string;
  readonly routers: readonly string[];
  readonly hash: Hash;
}

/** Longest time for which a stream is remembered, in milliseconds. */
export const MAX_STREAM_MS = 600_000;
/**
 * Routers that are told of a stream. All of them ending at a time would make it
 * unknown; in a fleet of six it is all others.
 */
const HOLDERS = 5;
/** Streams that are remembered; the oldest are dropped. */
const MAX_STREAMS = 20_000;

/** Returns the routers, other than this one, that are told of a stream. */
export function listHolders(
  key: string,
  { self, routers, hash }: HolderOptions,
): string[] {
  const others = routers.filter((name) => name !== self);
  if (others.length <= HOLDERS) return others;
  return rankByRendezvous(key, others, { hash }).slice(0, HOLDERS);
}

interface KnownStream {
  readonly origin: StreamOrigin;
  readonly expiresAt: number;
}

/** Streams that this router has begun or was told of. */
export class StreamOrigins {
  readonly #streams = new Map<string, KnownStream>();

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#streams.size;
  }

  /** Records what began a stream. */
  record(
    { key, service, softwareVersion, unproven, position, remainingMs }:
      StreamRecord,
    now: number,
  ): void {
    const known = this.#streams.get(key);
    const isKnown = known !== undefined && known.expiresAt > now &&
      known.origin.unproven === undefined;
    // A doubt that is told late says less than what is known.
    if (unproven !== undefined && isKnown) return;
    const expiresAt = now + Math.min(remainingMs, MAX_STREAM_MS);
    // Moves the stream to the end, so that the first ones are the oldest.
    this.#streams.delete(key);
    this.#streams.set(key, {
      origin: {
        service,
        softwareVersion,
        ...(unproven !== undefined && { unproven }),
        ...(position !== undefined && { position }),
      },
      expiresAt,
    });
    for (const [oldest, stream] of this.#streams) {
      const isOver = this.#streams.size > MAX_STREAMS;
      if (!isOver && stream.expiresAt > now) break;
      this.#streams.delete(oldest);
    }
  }

  /** Returns a stream; undefined if it is not known. */
  find(key: string, now: number): StreamRecord | undefined {
    const stream = this.#streams.get(key);
    if (stream === undefined || stream.expiresAt <= now) return undefined;
    return { key, ...stream.origin, remainingMs: stream.expiresAt - now };
  }
}
