/** Bounded prefix cache of the stand-in engine: least recently used goes first. */

/** Takes note of changes of a cache. */
export interface CacheObserver {
  onStored(chat: string, tokens: number): void;
  onEvicted(chat: string, tokens: number): void;
}

/** Cached prompt tokens by chat id. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #observer: CacheObserver;
  /** In order of last use, oldest first. */
  readonly #tokens = new Map<string, number>();
  #used = 0;

  constructor(capacity: number, observer: CacheObserver) {
    this.#capacity = capacity;
    this.#observer = observer;
  }

  /** Tokens of the chat's prefix that are cached; counts as a use. */
  get(chat: string): number {
    const tokens = this.#tokens.get(chat);
    if (tokens === undefined) return 0;
    this.#tokens.delete(chat);
    this.#tokens.set(chat, tokens);
    return tokens;
  }

  /** Stores a prefix and evicts what no longer fits. */
  store(chat: string, tokens: number): void {
    const size = Math.min(tokens, this.#capacity);
    this.#used += size - (this.#tokens.get(chat) ?? 0);
    this.#tokens.delete(chat);
    this.#tokens.set(chat, size);
    this.#observer.onStored(chat, size);
    this.#evict();
  }

  /** Forgets everything without a word, as a process that crashed does. */
  clear(): void {
    this.#tokens.clear();
    this.#used = 0;
  }

  #evict(): void {
    for (const [chat, tokens] of this.#tokens) {
      if (this.#used <= this.#capacity) return;
      this.#tokens.delete(chat);
      this.#used -= tokens;
      this.#observer.onEvicted(chat, tokens);
    }
  }
}
