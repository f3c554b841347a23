/** Control orders that tests and benches give to a stand-in upstream. */
import type { UpstreamServer } from "./upstream_http.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Body of `POST /control`; each field is optional. */
export interface Control {
  /** Turns cold without a new incarnation. */
  readonly cold?: boolean;
  /** Begins to leave, or takes it back. */
  readonly leaving?: boolean;
  /** Makes every connection that is open now go silent. */
  readonly silent?: boolean;
  /** Falls over at once. */
  readonly fall?: boolean;
  /** Closes the connections of the next requests without running them. */
  readonly failBefore?: number;
  /** Closes the connections of the next answers part of the way. */
  readonly failAmid?: number;
  /** Closes the connections of the next requests after they ran. */
  readonly failAfter?: number;
  /** Multiplies the time that work takes. */
  readonly slowFactor?: number;
}

/** What a control order acts on. */
export interface ControlTarget {
  readonly state: UpstreamState;
  readonly server: UpstreamServer;
  readonly faults: Faults;
  setSlowFactor(factor: number): void;
}

/** A kind of failed connection. */
export type Fault = "before" | "amid" | "after";

/** Failures that are still to come, by kind. */
export class Faults {
  readonly #left = new Map<Fault, number>();

  /** Makes the next `count` requests fail. */
  set(fault: Fault, count: number): void {
    this.#left.set(fault, count);
  }

  /** Takes one failure; false when none is left. */
  tryTake(fault: Fault): boolean {
    const left = this.#left.get(fault) ?? 0;
    if (left === 0) return false;
    this.#left.set(fault, left - 1);
    return true;
  }
}

/** Carries out a control order. */
export function applyControl(control: Control, target: ControlTarget): void {
  const { state, server, faults } = target;
  if (control.failBefore) faults.set("before", control.failBefore);
  if (control.failAmid) faults.set("amid", control.failAmid);
  if (control.failAfter) faults.set("after", control.failAfter);
  if (control.slowFactor) target.setSlowFactor(control.slowFactor);
  if (control.cold) state.turnCold();
  if (control.leaving !== undefined) state.setLeaving(control.leaving);
  if (control.fall) state.fall("ordered");
  if (control.silent) server.silenceOpenConnections();
}
