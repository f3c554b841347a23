/**
 * Calls to the processes of a fleet, and waiting for what they say. Each call
 * opens a connection of its own, because a process may have been restarted.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

/** An answer of a process. */
export interface FleetAnswer {
  readonly status: number;
  readonly text: string;
}

/** What was waited for did not happen in time. */
export class WaitError extends Error {
  constructor(what: string, cause: unknown) {
    super(`${what} did not happen in time`, { cause });
    this.name = "WaitError";
  }
}

/** Options of a wait. */
export interface WaitOptions {
  timeoutMs?: number;
  pollMs?: number;
}

const CALL_TIMEOUT_MS = 5_000;
const WAIT_TIMEOUT_MS = 60_000;
const POLL_MS = 100;

/** Sends one call; `body` makes it a POST of JSON unless `method` is given. */
export async function call(
  url: string,
  { body, method, headers, timeoutMs = CALL_TIMEOUT_MS }: {
    body?: unknown;
    headers?: Readonly<Record<string, string>>;
    method?: "GET" | "POST" | "PUT" | "DELETE";
    timeoutMs?: number;
  } = {},
): Promise<FleetAnswer> {
  const answer = await request(url, {
    method: method ?? (body === undefined ? "GET" : "POST"),
    body: body === undefined ? undefined : JSON.stringify(body),
    headers,
    reset: true,
    signal: AbortSignal.timeout(timeoutMs),
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

/** Waits until `check` holds; an error of `check` counts as not yet. */
export async function waitFor(
  what: string,
  check: () => Promise<boolean>,
  { timeoutMs = WAIT_TIMEOUT_MS, pollMs = POLL_MS }: WaitOptions = {},
): Promise<void> {
  let cause: unknown;
  for (let waitedMs = 0; waitedMs <= timeoutMs; waitedMs += pollMs) {
    try {
      if (await check()) return;
    } catch (failure) {
      cause = failure;
    }
    await sleep(pollMs);
  }
  throw new WaitError(what, cause);
}
