/**
 * Continuous batching of the stand-in engine.
 *
 * Each step lets waiting attempts join the batch, spends a budget of prompt
 * tokens on those that are still in prefill, and gives every other attempt one
 * more token. A step takes longer the larger the batch.
 */
import type { Attempt } from "./engine_attempt.ts";
import type { PrefixCache } from "./engine_prefix_cache.ts";

/** Options of a batch. */
export interface BatchOptions {
  cache: PrefixCache;
  /** Called once for each attempt that is done. */
  onDone: (attempt: Attempt) => void;
  /** Time of a step with one attempt, in milliseconds. */
  tokenMs?: number;
  /** Attempts that run at once; the others wait. */
  batchSize?: number;
  /** Prompt tokens that a step can compute. */
  prefillPerStep?: number;
}

const SLOWDOWN_PER_ATTEMPT = 0.02;

/** The attempts that run and those that wait for a place. */
export class Batch {
  /** Multiplies the time of a step. */
  slowFactor = 1;
  readonly #options: Required<BatchOptions>;
  #waiting: Attempt[] = [];
  #running: Attempt[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(
    { cache, onDone, tokenMs = 10, batchSize = 16, prefillPerStep = 512 }:
      BatchOptions,
  ) {
    this.#options = { cache, onDone, tokenMs, batchSize, prefillPerStep };
  }

  /** Puts an attempt in the queue: larger priority first, then by arrival. */
  add(attempt: Attempt): void {
    const behind = this.#waiting.findIndex((other) =>
      other.priority < attempt.priority
    );
    const at = behind < 0 ? this.#waiting.length : behind;
    this.#waiting.splice(at, 0, attempt);
    this.#schedule();
  }

  /** Takes an attempt out and aborts it. */
  cancel(attempt: Attempt): void {
    this.#waiting = this.#waiting.filter((other) => other !== attempt);
    this.#running = this.#running.filter((other) => other !== attempt);
    attempt.abort();
  }

  /** Aborts every attempt. */
  abortAll(): void {
    const all = [...this.#running, ...this.#waiting];
    this.#running = [];
    this.#waiting = [];
    for (const attempt of all) attempt.abort();
  }

  #schedule(): void {
    if (this.#timer !== undefined) return;
    const others = Math.max(0, this.#running.length - 1);
    const slowdown = 1 + SLOWDOWN_PER_ATTEMPT * others;
    const delay = this.#options.tokenMs * this.slowFactor * slowdown;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#step();
    }, delay);
  }

  #step(): void {
    this.#join();
    let budget = this.#options.prefillPerStep;
    for (const attempt of [...this.#running]) {
      const prefill = Math.min(budget, attempt.prefillLeft);
      attempt.prefillLeft -= prefill;
      budget -= prefill;
      if (attempt.prefillLeft === 0) this.#advance(attempt);
    }
    this.#running = this.#running.filter((attempt) => !attempt.isEnded);
    if (this.#running.length + this.#waiting.length > 0) this.#schedule();
  }

  #join(): void {
    const free = this.#options.batchSize - this.#running.length;
    for (const attempt of this.#waiting.splice(0, free)) {
      const prompt = attempt.answer.usage.prompt_tokens;
      const cached = attempt.chat ? this.#options.cache.get(attempt.chat) : 0;
      attempt.cachedTokens = Math.min(cached, prompt);
      attempt.prefillLeft = prompt - attempt.cachedTokens;
      attempt.state = "running";
      this.#running.push(attempt);
    }
  }

  #advance(attempt: Attempt): void {
    if (!attempt.isComplete) attempt.produced++;
    if (attempt.isComplete) this.#finish(attempt);
    attempt.notify();
  }

  #finish(attempt: Attempt): void {
    attempt.state = "done";
    const { chat, answer } = attempt;
    if (chat) {
      const tokens = answer.usage.prompt_tokens + answer.tokens.length;
      this.#options.cache.store(chat, tokens);
    }
    this.#options.onDone(attempt);
  }
}
