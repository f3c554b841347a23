/**
 * Collects the bytes of a message that arrives in parts of any size, in memory
 * that is proportional to the bytes: small parts are copied into blocks, since
 * each would otherwise keep an object and the whole buffer that it was read
 * into.
 */
import { Buffer } from "node:buffer";

/** Size of the first block, in bytes; each further one is twice as large. */
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** Bytes of one message. */
export class ByteCollector {
  #blocks: Buffer[] = [];
  /** Bytes of the last block that are in use; it may take more. */
  #usedBytes = 0;
  #length = 0;
  #heldBytes = 0;

  /** Number of bytes that were collected. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that are held for them. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Appends a part, which may be kept by reference. */
  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.#length += chunk.length;
    if (this.#mayKeep(chunk)) this.#keep(chunk);
    else this.#copy(chunk);
  }

  /** Returns all bytes and drops them from the collector. */
  take(): Buffer {
    this.#endBlock();
    const bytes = this.#blocks.length === 1
      ? this.#blocks[0]!
      : Buffer.concat(this.#blocks, this.#length);
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#usedBytes = 0;
    this.#length = 0;
    this.#heldBytes = 0;
  }

  /** Whether keeping `chunk` costs no more than a few times its bytes. */
  #mayKeep(chunk: Buffer): boolean {
    const { length, buffer: { byteLength } } = chunk;
    const isMostOfItsBuffer = length * 2 >= byteLength;
    const last = this.#blocks.at(-1);
    // Most messages have one part.
    if (last === undefined) {
      return isMostOfItsBuffer || byteLength <= MIN_BLOCK_BYTES;
    }
    return isMostOfItsBuffer && length >= MIN_BLOCK_BYTES &&
      last.length - this.#usedBytes <= length;
  }

  #keep(chunk: Buffer): void {
    this.#endBlock();
    this.#blocks.push(chunk);
    this.#usedBytes = chunk.length;
    this.#heldBytes += chunk.buffer.byteLength;
  }

  #copy(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0) {
      const block = this.#getBlock();
      const copied = rest.copy(block, this.#usedBytes);
      this.#usedBytes += copied;
      rest = rest.subarray(copied);
    }
  }

  /** Returns the last block, or a new one if that is full. */
  #getBlock(): Buffer {
    const last = this.#blocks.at(-1);
    if (last !== undefined && this.#usedBytes < last.length) return last;
    const size = Math.min(
      Math.max(MIN_BLOCK_BYTES, this.#heldBytes),
      MAX_BLOCK_BYTES,
    );
    const block = Buffer.allocUnsafeSlow(size);
    this.#blocks.push(block);
    this.#usedBytes = 0;
    this.#heldBytes += size;
    return block;
  }

  /** Cuts the last block to the bytes in use. */
  #endBlock(): void {
    const last = this.#blocks.at(-1);
    if (last === undefined) return;
    this.#blocks[this.#blocks.length - 1] = last.subarray(0, this.#usedBytes);
  }
}
