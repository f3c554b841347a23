/**
 * Keep-alive comments in forwarded event streams, which let the ingress router
 * distinguish a slow upstream from a lost connection.
 */
import { Buffer } from "node:buffer";

const KEEP_ALIVE_COMMENT = Buffer.from(":\n\n");

/**
 * Yields the chunks of `source`, and a comment whenever `intervalMs` pass
 * without one.
 */
export async function* withKeepAlive(
  source: AsyncIterable<Uint8Array>,
  intervalMs: number,
): AsyncGenerator<Uint8Array> {
  const iterator = source[Symbol.asyncIterator]();
  try {
    let next = iterator.next();
    while (true) {
      const result = await raceTimeout(next, intervalMs);
      if (result === undefined) {
        yield KEEP_ALIVE_COMMENT;
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

/** Returns undefined if `promise` does not settle within `intervalMs`. */
async function raceTimeout<Value>(
  promise: Promise<Value>,
  intervalMs: number,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), intervalMs);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
