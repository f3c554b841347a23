/** One attempt that the stand-in engine runs or has run. */
import type { Answer } from "./answer.ts";

/** Where an attempt stands. */
export type AttemptState = "waiting" | "running" | "done" | "aborted";

/** Follows an attempt's progress, one for each open connection. */
export interface AttemptListener {
  /** More tokens are there, or the attempt is done. */
  onProgress(): void;
  /** The attempt was cancelled, or the engine fell over. */
  onAborted(): void;
}

/** Options of an attempt. */
export interface AttemptOptions {
  id: string;
  incarnation: string;
  answer: Answer;
  chat?: string;
  priority?: number;
}

/** State of one attempt. */
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
  /** Prompt tokens that still have to be computed. */
  prefillLeft = 0;
  /** Answer tokens that are there. */
  produced = 0;

  constructor({ id, incarnation, answer, chat, priority = 0 }: AttemptOptions) {
    this.id = id;
    this.incarnation = incarnation;
    this.answer = answer;
    this.chat = chat;
    this.priority = priority;
  }

  /** Whether the attempt makes no more progress. */
  get isEnded(): boolean {
    return this.state === "done" || this.state === "aborted";
  }

  /** Whether every token is there. */
  get isComplete(): boolean {
    return this.produced >= this.answer.tokens.length;
  }

  /** Tells every listener of progress. */
  notify(): void {
    for (const listener of [...this.listeners]) listener.onProgress();
  }

  /** Ends the attempt without a whole answer. */
  abort(): void {
    this.state = "aborted";
    for (const listener of [...this.listeners]) listener.onAborted();
  }
}
