/**
 * Read-only views of what the controllers own.
 *
 * Each view has one writer, the task that owns the state; everything else reads
 * it in the moment of a decision, so that the last check before a request is
 * sent sees the newest word.
 */
import type { Configuration } from "../config/configuration.ts";

/** The configuration in force on this router. */
export interface ConfigurationView {
  current(): Configuration;
  /** Monotonic time at which the version was last confirmed as the newest. */
  confirmedAt(): number;
  /** For how long the set of routers has been in force at some router, ms. */
  routersInForceMs(): number;
}

/** Which routers this one takes for live. */
export interface LivenessView {
  isLive(router: string): boolean;
  /** Whether this router has begun a graceful stop. */
  isLeaving(): boolean;
}

/** Hosts that the platform's list names as leaving. */
export interface HostView {
  isLeaving(host: string): boolean;
}

/** Reads the monotonic clock, in milliseconds. */
export type Clock = () => number;
