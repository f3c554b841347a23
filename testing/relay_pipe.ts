/**
 * One direction of a relayed TCP connection.
 *
 * A pipe that has dropped a byte drops everything after it, the end of the
 * stream too: TCP never delivers a stream with a gap.
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Options of a pipe. */
export interface PipeOptions {
  source: Socket;
  sink: Socket;
  /** Asked on each chunk; true drops it. */
  isCut: () => boolean;
  /** Asked on each chunk: its delay, in milliseconds. */
  getDelayMs: () => number;
  /** Called with the size of each chunk that is passed on. */
  onBytes: (count: number) => void;
}

/** A chunk on its way; `data` is absent for the end of the stream. */
interface Delayed {
  readonly data?: Buffer;
  readonly dueAt: number;
}

const MAX_QUEUED_BYTES = 1_048_576;

/** Passes bytes from one socket to another, with faults. */
export class Pipe {
  readonly #options: PipeOptions;
  #queue: Delayed[] = [];
  #queuedBytes = 0;
  #timer: NodeJS.Timeout | undefined;
  #dropping = false;

  constructor(options: PipeOptions) {
    this.#options = options;
    options.source.on("data", (data) => this.#take(data as Buffer));
    options.source.on("end", () => this.#take());
    options.sink.on("drain", () => this.#pump());
  }

  /** True once the pipe has dropped something. */
  get isDropping(): boolean {
    return this.#dropping;
  }

  /** Drops everything from now on, also what is on its way. */
  silence(): void {
    this.#dropping = true;
    this.stop();
    this.#options.source.resume();
  }

  /** Forgets what is on its way. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#queue = [];
    this.#queuedBytes = 0;
  }

  #take(data?: Buffer): void {
    if (this.#options.isCut()) this.#dropping = true;
    if (this.#dropping) return;
    const dueAt = performance.now() + this.#options.getDelayMs();
    this.#queue.push({ data, dueAt });
    this.#queuedBytes += data?.length ?? 0;
    if (this.#queuedBytes > MAX_QUEUED_BYTES) this.#options.source.pause();
    if (this.#timer === undefined) this.#pump();
  }

  /** Passes on what is due, in order, and sets a timer for the rest. */
  #pump(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    while (this.#queue.length > 0) {
      const { data, dueAt } = this.#queue[0]!;
      const waitMs = dueAt - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#pump(), waitMs);
        return;
      }
      if (this.#options.sink.writableNeedDrain) return;
      this.#queue.shift();
      this.#pass(data);
    }
    this.#options.source.resume();
  }

  #pass(data: Buffer | undefined): void {
    if (data === undefined) {
      this.#options.sink.end();
      return;
    }
    this.#queuedBytes -= data.length;
    this.#options.onBytes(data.length);
    this.#options.sink.write(data);
  }
}
