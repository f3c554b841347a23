/**
 * One direction of a relayed TCP connection.
 *
 * A pipe that has dropped a byte drops everything after it, including the end of
 * the stream, because TCP never delivers a stream with a gap.
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Options of a pipe. */
export interface PipeOptions {
  source: Socket;
  sink: Socket;
  /** Called for each chunk; true drops it and everything after it. */
  isCut: () => boolean;
  /** Called for each chunk; returns its delay in milliseconds. */
  getDelayMs: () => number;
  /** Called with the size of each forwarded chunk, in bytes. */
  onBytes: (count: number) => void;
}

/** A chunk to be forwarded; `data` is undefined for the end of the stream. */
interface QueuedChunk {
  readonly data?: Buffer;
  readonly dueAtMs: number;
}

/** Above this, the pipe stops reading from the source. */
const MAX_QUEUED_BYTES = 1_048_576;

/** Forwards bytes from one socket to another, with fault injection. */
export class Pipe {
  readonly #options: PipeOptions;
  #queue: QueuedChunk[] = [];
  #queuedBytes = 0;
  #timer: NodeJS.Timeout | undefined;
  #isDropping = false;

  constructor(options: PipeOptions) {
    this.#options = options;
    options.source.on("data", (data) => this.#enqueue(data as Buffer));
    options.source.on("end", () => this.#enqueue());
    options.sink.on("drain", () => this.#flush());
  }

  /** Whether the pipe drops data, which it does permanently once it starts. */
  get isDropping(): boolean {
    return this.#isDropping;
  }

  /** Drops everything from now on, including queued chunks. */
  silence(): void {
    this.#isDropping = true;
    this.stop();
    this.#options.source.resume();
  }

  /** Discards all queued chunks. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#queue = [];
    this.#queuedBytes = 0;
  }

  #enqueue(data?: Buffer): void {
    if (this.#options.isCut()) this.#isDropping = true;
    if (this.#isDropping) return;
    const dueAtMs = performance.now() + this.#options.getDelayMs();
    this.#queue.push({ data, dueAtMs });
    this.#queuedBytes += data?.length ?? 0;
    if (this.#queuedBytes > MAX_QUEUED_BYTES) this.#options.source.pause();
    if (this.#timer === undefined) this.#flush();
  }

  /** Forwards the chunks that are due, in order, and sets a timer for the rest. */
  #flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    while (this.#queue.length > 0) {
      const { data, dueAtMs } = this.#queue[0]!;
      const waitMs = dueAtMs - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#flush(), waitMs);
        return;
      }
      if (this.#options.sink.writableNeedDrain) return;
      this.#queue.shift();
      this.#forward(data);
    }
    this.#options.source.resume();
  }

  #forward(data: Buffer | undefined): void {
    if (data === undefined) {
      this.#options.sink.end();
      return;
    }
    this.#queuedBytes -= data.length;
    this.#options.onBytes(data.length);
    this.#options.sink.write(data);
  }
}
