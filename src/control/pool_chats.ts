/**
 * Where the chats of a pool were last served, and what of it the other replicas
 * do not know yet.
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

/** Most changes that are sent at a time. */
const MAX_CHANGES = 500;
const MS_PER_SECOND = 1_000;

/** The chats of one pool. */
export class PoolChats {
  readonly #upstreams: ReadonlyMap<string, UpstreamState>;
  readonly #directory: ChatDirectory = createChatDirectory();
  readonly #changes = createDirectoryChanges();

  /** `upstreams` are the pool's, by name; the pool goes on filling them. */
  constructor(upstreams: ReadonlyMap<string, UpstreamState>) {
    this.#upstreams = upstreams;
  }

  /** Number of chats that are known. */
  get size(): number {
    return this.#directory.size;
  }

  /** Looks a chat up. */
  get(chat: ChatHash): ChatEntry | undefined {
    return this.#directory.get(chat);
  }

  /** Name of the upstream that a chat was last served by. */
  findHome(chat: ChatHash): string | undefined {
    const entry = this.#directory.get(chat);
    return entry && this.#findName(entry.upstream);
  }

  /** Notes that a chat was served; `tokens` of its prompt are cached now. */
  learn(
    chat: ChatHash,
    { state, tokens, now }: {
      state: UpstreamState;
      tokens: number;
      now: number;
    },
  ): void {
    const upstream = state.index;
    if (this.#directory.get(chat)?.upstream !== upstream) {
      this.#changes.note({ chat, upstream: state.upstream.name, tokens });
    }
    this.#directory.set(chat, {
      upstream,
      tokens,
      usedAt: now / MS_PER_SECOND,
    });
  }

  /** Drops chats only where the directory still names the upstream. */
  forget(upstream: string, { chats, usedBefore }: Evictions): void {
    const index = this.#upstreams.get(upstream)?.index;
    for (const chat of chats) {
      const home = this.#directory.get(chat);
      if (home === undefined || home.upstream !== index) continue;
      // The time of the last use is rounded down to whole seconds.
      const usedAt = (home.usedAt + 1) * MS_PER_SECOND;
      if (usedAt <= usedBefore) this.#directory.forget(chat);
    }
  }

  /** Drops every chat of an upstream that has lost its cache. */
  forgetUpstream({ index }: UpstreamState): void {
    this.#directory.forgetUpstream(index);
  }

  /** Takes changes that the other replicas lack. */
  takeChanges(): ChatChange[] {
    return this.#changes.take(MAX_CHANGES);
  }

  /** Takes over changes of another replica. */
  noteChanges(changes: readonly ChatChange[], now: number): void {
    const usedAt = now / MS_PER_SECOND;
    for (const { chat, upstream: name, tokens } of changes) {
      const state = this.#upstreams.get(name);
      if (state === undefined) continue;
      this.#directory.set(chat, { upstream: state.index, tokens, usedAt });
    }
  }

  /** Makes every chat a change; returns how many there are to send. */
  handOver(): number {
    for (
      const [chat, { upstream: index, tokens }] of this.#directory.entries()
    ) {
      const upstream = this.#findName(index);
      if (upstream !== undefined) {
        this.#changes.note({
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
