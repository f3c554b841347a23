/**
 * Continuous batching of the stand-in engine.
 *
 * Each step admits waiting attempts to the batch, spends a budget of prompt
 * tokens on the attempts in prefill, and produces one token for every other
 * attempt. The duration of a step grows with the size of the batch.
 */
import type { Attempt } from "./engine_attempt.ts";
import type { PrefixCache } from "./engine_prefix_cache.ts";

/** Options of a batch. */
export interface BatchOptions {
  cache: PrefixCache;
  /** Called once for each attempt that completes its answer. */
  onDone: (attempt: Attempt) => void;
  /** Duration of a step with one attempt, in milliseconds. */
  tokenMs?: number;
  /** Maximum number of concurrent attempts; the others wait. */
  batchSize?: number;
  /** Maximum number of prompt tokens computed per step. */
  prefillPerStep?: number;
}

/** Relative increase of a step's duration for each further attempt. */
const SLOWDOWN_PER_ATTEMPT = 0.02;

/** The running attempts and the queue of waiting ones. */
export class Batch {
  /** Factor on the duration of a step. */
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

  /** Queues an attempt: larger priority first, then by arrival. */
  add(attempt: Attempt): void {
    const firstLowerIndex = this.#waiting.findIndex((other) =>
      other.priority < attempt.priority
    );
    const insertIndex = firstLowerIndex < 0
      ? this.#waiting.length
      : firstLowerIndex;
    this.#waiting.splice(insertIndex, 0, attempt);
    this.#schedule();
  }

  /** Removes an attempt from the batch or the queue and aborts it. */
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
    this.#admitWaiting();
    let budget = this.#options.prefillPerStep;
    for (const attempt of [...this.#running]) {
      const prefill = Math.min(budget, attempt.remainingPrefillTokens);
      attempt.remainingPrefillTokens -= prefill;
      budget -= prefill;
      if (attempt.remainingPrefillTokens === 0) this.#produceToken(attempt);
    }
    this.#running = this.#running.filter((attempt) => !attempt.isEnded);
    if (this.#running.length + this.#waiting.length > 0) this.#schedule();
  }

  #admitWaiting(): void {
    const free = this.#options.batchSize - this.#running.length;
    for (const attempt of this.#waiting.splice(0, free)) {
      const prompt = attempt.answer.usage.prompt_tokens;
      const cached = attempt.chat ? this.#options.cache.get(attempt.chat) : 0;
      attempt.cachedTokens = Math.min(cached, prompt);
      attempt.remainingPrefillTokens = prompt - attempt.cachedTokens;
      attempt.state = "running";
      this.#running.push(attempt);
    }
  }

  #produceToken(attempt: Attempt): void {
    if (!attempt.isComplete) attempt.producedTokens++;
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
