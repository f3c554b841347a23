/**
 * Chat directory of a pool: the upstream that last served each chat, and the
 * changes that have not been sent to the other replicas yet.
 */
import {
  type ChatDirectory,
  type ChatEntry,
  type ChatHash,
  createChatDirectory,
} from "../policy/chat_directory.ts";
import {
  type ChatChange,
  createDirectoryChanges,
} from "../policy/directory_changes.ts";
import type { Evictions } from "./pool_messages.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Maximum number of changes in one message to another replica. */
const MAX_CHANGES = 500;
const MS_PER_SECOND = 1_000;

/** Directory of the chats of one pool. */
export class PoolChats {
  readonly #upstreams: ReadonlyMap<string, UpstreamState>;
  readonly #directory: ChatDirectory = createChatDirectory();
  readonly #changes = createDirectoryChanges();

  /** `upstreams` is the pool's own map by name, which the pool extends later. */
  constructor(upstreams: ReadonlyMap<string, UpstreamState>) {
    this.#upstreams = upstreams;
  }

  /** Number of chats in the directory. */
  get size(): number {
    return this.#directory.size;
  }

  /** Returns the entry of a chat; undefined if there is none. */
  get(chat: ChatHash): ChatEntry | undefined {
    return this.#directory.get(chat);
  }

  /** Returns the name of the upstream that last served a chat. */
  findHome(chat: ChatHash): string | undefined {
    const entry = this.#directory.get(chat);
    return entry && this.#findName(entry.upstream);
  }

  /**
   * Records that `state` served a chat and has cached `tokens` of its prompt.
   * `now` is in milliseconds.
   */
  recordServedChat(
    chat: ChatHash,
    { state, tokens, now }: {
      state: UpstreamState;
      tokens: number;
      now: number;
    },
  ): void {
    const upstream = state.index;
    if (this.#directory.get(chat)?.upstream !== upstream) {
      this.#changes.recordChange({
        chat,
        upstream: state.upstream.name,
        tokens,
      });
    }
    this.#directory.set(chat, {
      upstream,
      tokens,
      usedAt: now / MS_PER_SECOND,
    });
  }

  /**
   * Removes evicted chats, except those that another upstream has served since
   * and those that may have been used after `usedBefore`.
   */
  removeEvicted(upstream: string, { chats, usedBefore }: Evictions): void {
    const index = this.#upstreams.get(upstream)?.index;
    for (const chat of chats) {
      const home = this.#directory.get(chat);
      if (home === undefined || home.upstream !== index) continue;
      // `usedAt` is rounded down to seconds, so assume the end of the second.
      const usedAt = (home.usedAt + 1) * MS_PER_SECOND;
      if (usedAt <= usedBefore) this.#directory.deleteChat(chat);
    }
  }

  /** Removes every chat of an upstream that has lost its cache. */
  removeUpstream({ index }: UpstreamState): void {
    this.#directory.deleteUpstreamChats(index);
  }

  /** Removes and returns changes to be sent to the other replicas. */
  takeChanges(): ChatChange[] {
    return this.#changes.take(MAX_CHANGES);
  }

  /** Applies changes received from another replica. */
  applyChanges(changes: readonly ChatChange[], now: number): void {
    const usedAt = now / MS_PER_SECOND;
    for (const { chat, upstream: name, tokens } of changes) {
      const state = this.#upstreams.get(name);
      if (state === undefined) continue;
      this.#directory.set(chat, { upstream: state.index, tokens, usedAt });
    }
  }

  /** Marks every chat as changed; returns the number of changes to send. */
  markAllChanged(): number {
    for (
      const [chat, { upstream: index, tokens }] of this.#directory.entries()
    ) {
      const upstream = this.#findName(index);
      if (upstream !== undefined) {
        this.#changes.recordChange({
          chat,
          upstream,
          tokens,
        });
      }
    }
    return this.#changes.size;
  }

  #findName(index: number): string | undefined {
    for (const state of this.#upstreams.values()) {
      if (state.index === index) return state.upstream.name;
    }
    return undefined;
  }
}
