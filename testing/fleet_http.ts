/**
 * Sends requests to the processes of a fleet, and polls conditions. Each request
 * opens a new connection, because the process may have been restarted.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

/** Response of a process. */
export interface FleetResponse {
  readonly status: number;
  readonly text: string;
}

/** A condition did not become true in time. */
export class WaitTimeoutError extends Error {
  constructor(condition: string, cause: unknown) {
    super(`timed out waiting for ${condition}`, { cause });
    this.name = "WaitError";
  }
}

/** Options of `waitFor`. */
export interface WaitOptions {
  /** 60 s by default. */
  timeoutMs?: number;
  /** Time between two checks; 100 ms by default. */
  pollMs?: number;
}

const DEFAULT_CALL_TIMEOUT_MS = 5_000;
const DEFAULT_WAIT_TIMEOUT_MS = 60_000;
const DEFAULT_POLL_MS = 100;

/**
 * Sends a request; the method is POST with a `body`, which is sent as JSON, and
 * GET without one, unless `method` is given.
 */
export async function call(
  url: string,
  { body, method, headers, timeoutMs = DEFAULT_CALL_TIMEOUT_MS }: {
    body?: unknown;
    headers?: Readonly<Record<string, string>>;
    method?: "GET" | "POST" | "PUT" | "DELETE";
    timeoutMs?: number;
  } = {},
): Promise<FleetResponse> {
  const answer = await request(url, {
    method: method ?? (body === undefined ? "GET" : "POST"),
    body: body === undefined ? undefined : JSON.stringify(body),
    headers,
    reset: true,
    signal: AbortSignal.timeout(timeoutMs),
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

/**
 * Polls `check` until it returns true; an error that it throws counts as false.
 *
 * @throws {WaitTimeoutError} After the timeout, caused by the last error of `check`.
 */
export async function waitFor(
  condition: string,
  check: () => Promise<boolean>,
  { timeoutMs = DEFAULT_WAIT_TIMEOUT_MS, pollMs = DEFAULT_POLL_MS }:
    WaitOptions = {},
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
  throw new WaitTimeoutError(condition, cause);
}
