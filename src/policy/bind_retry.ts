/**
 * Decides whether and when a router tries again to listen on an address.
 *
 * Load pattern: a process is restarted while the one before it, or an outgoing
 * connection of another process, still holds one of its ports for a second or
 * two. Callers arrive some seconds after the processes. A router that ends
 * instead of waiting is restarted after a delay, and all of its start is paid
 * again. A port that callers don't need must not cost them the router.
 */

/**
 * What an address is for: `callers` can't be served without a required one; a
 * router without an optional one serves, and lacks just what it is for.
 */
export type PortUse = "required" | "optional";

/** A failed try to listen. */
export interface BindFailure {
  readonly use: PortUse;
  /** System error code, `EADDRINUSE` for example. */
  readonly code: string | undefined;
  /** Time since the first try, in milliseconds. */
  readonly waitedMs: number;
}

/** Below the time after which callers arrive, in milliseconds. */
export const MAX_BIND_WAIT_MS = 10_000;
const REQUIRED_PAUSE_MS = 50;
const OPTIONAL_PAUSE_MS = 1_000;
/** Errors that end without a change of the settings. */
const PASSING_CODES: ReadonlySet<string> = new Set([
  "EADDRINUSE",
  // The address of the host's network interface may not be set yet.
  "EADDRNOTAVAIL",
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "ENOMEM",
]);

/**
 * Returns the pause before the next try in milliseconds; undefined if the start
 * has failed.
 */
export function getBindPause(
  { use, code, waitedMs }: BindFailure,
): number | undefined {
  if (use === "optional") return OPTIONAL_PAUSE_MS;
  const mayPass = code !== undefined && PASSING_CODES.has(code);
  if (!mayPass || waitedMs >= MAX_BIND_WAIT_MS) return undefined;
  return Math.min(REQUIRED_PAUSE_MS, MAX_BIND_WAIT_MS - waitedMs);
}
