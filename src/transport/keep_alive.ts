/**
 * Keep-alive comments on forwarded event streams, by which the ingress tells a
 * slow upstream from a connection that has gone silent.
 */
import { Buffer } from "node:buffer";

const COMMENT = Buffer.from(":\n\n");

/** Passes `source` on and adds a comment after each `intervalMs` of silence. */
export async function* withKeepAlive(
  source: AsyncIterable<Uint8Array>,
  intervalMs: number,
): AsyncGenerator<Uint8Array> {
  const iterator = source[Symbol.asyncIterator]();
  try {
    let next = iterator.next();
    while (true) {
      const result = await raceSilence(next, intervalMs);
      if (result === undefined) {
        yield COMMENT;
        continue;
      }
      if (result.done) return;
      yield result.value;
      next = iterator.next();
    }
  } finally {
    await iterator.return?.();
  }
}

async function raceSilence<Value>(
  promise: Promise<Value>,
  intervalMs: number,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const silence = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), intervalMs);
  });
  try {
    return await Promise.race([promise, silence]);
  } finally {
    clearTimeout(timer);
  }
}
