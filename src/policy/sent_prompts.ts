/**
 * Remembers which prompt parts this router has sent to which upstream lately,
 * since an upstream that has read a part keeps it in its cache for a while.
 *
 * Load pattern: long prompts of which most is shared with earlier requests. To
 * an upstream that has read the shared parts such a request is a small one, to
 * all others a large one. The number of parts and of upstreams of each is
 * bounded, since callers choose the ids.
 */
import type { PromptPart } from "../routing/types.ts";

/** Options of `SentPrompts`. */
export interface SentPromptsOptions {
  /** Most parts that are remembered; those that were sent last stay. */
  readonly maxParts?: number;
  /** Time after which a part counts as evicted, in milliseconds. */
  readonly lifetimeMs?: number;
}

/** One minute of the requests of a router with three parts each. */
const MAX_PARTS = 2_048;
/** A part that all requests share is read by all upstreams of a service. */
const MAX_UPSTREAMS_PER_PART = 128;
/** Time in which an engine's memory is filled by other prompts. */
const LIFETIME_MS = 60_000;

/** Parts of prompts by the upstreams that they were sent to. */
export class SentPrompts {
  readonly #maxParts: number;
  readonly #lifetimeMs: number;
  /** Times of the last request by part and upstream; the latest part last. */
  readonly #sentAt = new Map<string, Map<string, number>>();

  constructor(
    { maxParts = MAX_PARTS, lifetimeMs = LIFETIME_MS }: SentPromptsOptions = {},
  ) {
    this.#maxParts = maxParts;
    this.#lifetimeMs = lifetimeMs;
  }

  /** Records that `upstream` has read the shared parts of a prompt. */
  recordSent(
    upstream: string,
    { parts, now }: { parts: readonly PromptPart[]; now: number },
  ): void {
    for (const { id } of getSharedParts(parts)) {
      const upstreams = this.#sentAt.get(id) ?? new Map<string, number>();
      this.#sentAt.delete(id);
      this.#sentAt.set(id, upstreams);
      upstreams.delete(upstream);
      upstreams.set(upstream, now);
      if (upstreams.size > MAX_UPSTREAMS_PER_PART) deleteFirst(upstreams);
      if (this.#sentAt.size > this.#maxParts) deleteFirst(this.#sentAt);
    }
  }

  /** Returns the tokens of the shared parts that were sent to `upstream`. */
  countRead(
    upstream: string,
    { parts, now }: { parts: readonly PromptPart[]; now: number },
  ): number {
    let tokens = 0;
    for (const part of getSharedParts(parts)) {
      const sentAt = this.#sentAt.get(part.id)?.get(upstream);
      const isRead = sentAt !== undefined && now - sentAt <= this.#lifetimeMs;
      if (!isRead) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Drops what was sent to an upstream whose process is new. */
  forget(upstream: string): void {
    for (const upstreams of this.#sentAt.values()) upstreams.delete(upstream);
  }

  /** Drops the parts that were last sent too long ago. */
  prune(now: number): void {
    for (const [part, upstreams] of this.#sentAt) {
      for (const [upstream, sentAt] of upstreams) {
        if (now - sentAt > this.#lifetimeMs) upstreams.delete(upstream);
      }
      if (upstreams.size === 0) this.#sentAt.delete(part);
    }
  }
}

/**
 * Returns the parts that other requests may share: all but the last, which is
 * specific to the request.
 */
export function getSharedParts(
  parts: readonly PromptPart[],
): readonly PromptPart[] {
  return parts.slice(0, -1);
}

function deleteFirst(map: Map<string, unknown>): void {
  for (const key of map.keys()) {
    map.delete(key);
    return;
  }
}
