/**
 * Read-only views of the controllers' state.
 *
 * Each view has one writer, the task that owns the state. Everything else reads
 * the view at the time of a decision, so that the check right before a request
 * is sent uses the newest state.
 */
import type { Configuration } from "../config/configuration.ts";

/** The configuration in force on this router. */
export interface ConfigurationView {
  current(): Configuration;
  /**
   * Monotonic time, in milliseconds, at which the version was last confirmed as
   * the newest.
   */
  confirmedAt(): number;
  /**
   * Longest time, in milliseconds, for which the set of routers is known to have
   * been in force at any router.
   */
  routersInForceMs(): number;
}

/** The routers that this router considers live. */
export interface LivenessView {
  isLive(router: string): boolean;
  /** Whether this router has begun a graceful stop. */
  isLeaving(): boolean;
}

/** The hosts that the platform's list marks as leaving. */
export interface HostView {
  isLeaving(host: string): boolean;
}

/** Returns the monotonic time, in milliseconds. */
export type Clock = () => number;
