/** Control requests from tests and benches to a stand-in upstream. */
import type { UpstreamServer } from "./upstream_http.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Body of `POST /control`; each field is optional. */
export interface Control {
  /** Makes the upstream cold without a new incarnation. */
  readonly cold?: boolean;
  /** Starts or stops leaving. */
  readonly leaving?: boolean;
  /** Silences every open connection, except those with control requests. */
  readonly silent?: boolean;
  /** Crashes the upstream. */
  readonly fall?: boolean;
  /** Number of next requests whose connection closes before they run. */
  readonly failBefore?: number;
  /** Number of next answers whose connection closes partway. */
  readonly failAmid?: number;
  /** Number of next requests whose connection closes after they ran. */
  readonly failAfter?: number;
  /** Factor on the duration of requests. */
  readonly slowFactor?: number;
}

/** Parts of an upstream that a control request changes. */
export interface ControlTarget {
  readonly state: UpstreamState;
  readonly server: UpstreamServer;
  readonly faults: Faults;
  setSlowFactor(factor: number): void;
}

/** When the connection of a request fails, relative to its run. */
export type Fault = "before" | "amid" | "after";

/** Number of remaining failures to inject, by kind. */
export class Faults {
  readonly #remaining = new Map<Fault, number>();

  /** Makes the next `count` requests fail with `fault`. */
  set(fault: Fault, count: number): void {
    this.#remaining.set(fault, count);
  }

  /** Consumes one failure; returns false when none remains. */
  tryTake(fault: Fault): boolean {
    const remaining = this.#remaining.get(fault) ?? 0;
    if (remaining === 0) return false;
    this.#remaining.set(fault, remaining - 1);
    return true;
  }
}

/** Applies a control request. */
export function applyControl(control: Control, target: ControlTarget): void {
  const { state, server, faults } = target;
  if (control.failBefore) faults.set("before", control.failBefore);
  if (control.failAmid) faults.set("amid", control.failAmid);
  if (control.failAfter) faults.set("after", control.failAfter);
  if (control.slowFactor) target.setSlowFactor(control.slowFactor);
  if (control.cold) state.turnCold();
  if (control.leaving !== undefined) state.setLeaving(control.leaving);
  if (control.fall) state.crash("ordered");
  if (control.silent) server.silenceOpenConnections();
}
