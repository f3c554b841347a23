/** One attempt that the stand-in engine runs or has run. */
import type { Answer } from "./answer.ts";

/** State of an attempt. */
export type AttemptState = "waiting" | "running" | "done" | "aborted";

/** Listener for the progress of an attempt, one for each open connection. */
export interface AttemptListener {
  /** Called when a token has been generated or the attempt is done. */
  onProgress(): void;
  /** Called when the attempt was cancelled or the engine crashed. */
  onAborted(): void;
}

/** Options of an attempt. */
export interface AttemptOptions {
  id: string;
  incarnation: string;
  answer: Answer;
  /** Id of the chat, the key of the prefix cache. */
  chat?: string;
  /** Attempts with a larger priority start first; 0 by default. */
  priority?: number;
}

/** An attempt and its progress. */
export class Attempt {
  readonly id: string;
  /** Incarnation of the engine that accepted the attempt. */
  readonly incarnation: string;
  readonly answer: Answer;
  readonly chat: string | undefined;
  readonly priority: number;
  readonly listeners = new Set<AttemptListener>();
  state: AttemptState = "waiting";
  cachedTokens = 0;
  /** Number of prompt tokens that are not computed yet. */
  remainingPrefillTokens = 0;
  /** Number of answer tokens generated so far. */
  producedTokens = 0;

  constructor({ id, incarnation, answer, chat, priority = 0 }: AttemptOptions) {
    this.id = id;
    this.incarnation = incarnation;
    this.answer = answer;
    this.chat = chat;
    this.priority = priority;
  }

  /** Whether the attempt is done or aborted. */
  get isEnded(): boolean {
    return this.state === "done" || this.state === "aborted";
  }

  /** Whether every answer token has been generated. */
  get isComplete(): boolean {
    return this.producedTokens >= this.answer.tokens.length;
  }

  /** Notifies every listener of progress. */
  notify(): void {
    for (const listener of [...this.listeners]) listener.onProgress();
  }

  /** Ends the attempt before its answer is complete. */
  abort(): void {
    this.state = "aborted";
    for (const listener of [...this.listeners]) listener.onAborted();
  }
}
