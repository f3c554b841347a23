/** Bounded prefix cache of the stand-in engine with LRU eviction. */

/** Receives the changes of a cache. */
export interface CacheObserver {
  onStored(chat: string, tokens: number): void;
  onEvicted(chat: string, tokens: number): void;
}

/** Number of cached prompt tokens by chat id. */
export class PrefixCache {
  readonly #capacityTokens: number;
  readonly #observer: CacheObserver;
  /** Ordered by last use, least recently used first. */
  readonly #tokensByChat = new Map<string, number>();
  #usedTokens = 0;

  constructor(capacity: number, observer: CacheObserver) {
    this.#capacityTokens = capacity;
    this.#observer = observer;
  }

  /** Returns the cached tokens of the chat's prefix and marks it as used. */
  get(chat: string): number {
    const tokens = this.#tokensByChat.get(chat);
    if (tokens === undefined) return 0;
    this.#tokensByChat.delete(chat);
    this.#tokensByChat.set(chat, tokens);
    return tokens;
  }

  /** Stores a prefix and evicts others until the cache fits its capacity. */
  store(chat: string, tokens: number): void {
    const size = Math.min(tokens, this.#capacityTokens);
    this.#usedTokens += size - (this.#tokensByChat.get(chat) ?? 0);
    this.#tokensByChat.delete(chat);
    this.#tokensByChat.set(chat, size);
    this.#observer.onStored(chat, size);
    this.#evict();
  }

  /** Empties the cache without publishing events, as after a crash. */
  clear(): void {
    this.#tokensByChat.clear();
    this.#usedTokens = 0;
  }

  #evict(): void {
    for (const [chat, tokens] of this.#tokensByChat) {
      if (this.#usedTokens <= this.#capacityTokens) return;
      this.#tokensByChat.delete(chat);
      this.#usedTokens -= tokens;
      this.#observer.onEvicted(chat, tokens);
    }
  }
}
