/**
 * State, inputs and effects of an order to an upstream, and the transitions
 * that several phases share.
 */
import type { Item, PlatformFailureKind } from "../store/key_value.ts";
import type { Holder, Order } from "./order_fencing_record.ts";

/** Result of an order. */
export type OrderOutcome =
  /** The upstream has completed the order. */
  | "done"
  /** Another router has become the holder; retry later, with back-off. */
  | "superseded"
  /** Not sent, because the record can't be read or written. */
  | "unavailable"
  /** Not sent, because the upstream can't be reached. */
  | "unreachable"
  /** Sent, but it is not known whether the order was completed. */
  | "unknown";

/** Phase of an order. */
export type OrderPhase =
  | "acquiring"
  | "waiting"
  | "renewing"
  | "listing"
  | "sending"
  | "confirming"
  | "finished";

/** Options of an order. Times are in milliseconds. */
export interface OrderOptions {
  /** Whether the upstream refuses orders with an older fencing number. */
  checksFencing?: boolean;
  /** Duration of the lease on the upstream's record. */
  leaseMs?: number;
  /** Maximum deviation of each clock from true time, as a ratio. */
  drift?: number;
  /** Time within which a sent order arrives or is cancelled. */
  transitMs?: number;
  /** Maximum time that the upstream takes to complete an order. */
  carryOutMs?: number;
  /** Interval between two requests for the list of completed orders. */
  pollMs?: number;
}

/** State of an order. Times are in milliseconds on the monotonic clock. */
export interface OrderAttempt {
  readonly phase: OrderPhase;
  readonly outcome?: OrderOutcome;
  readonly order: Order;
  /** Unique id of the acquisition. */
  readonly id: string;
  readonly options: Required<OrderOptions>;
  /** The record that the last take-over tried to write. */
  readonly pendingHolder?: Holder;
  /** This attempt's record once acquired, with its revision. */
  readonly own?: { readonly holder: Holder; readonly revision: number };
  /** Lease that the previous holder may rely on; 0 if there was none. */
  readonly previousLeaseMs: number;
  /** When the previous lease has certainly expired. */
  readonly notBefore: number;
  /** When the last renewal was requested. */
  readonly renewalStartedAt: number;
  /** When this attempt's lease expires. */
  readonly validUntil: number;
  /** Whether a list from the upstream did not contain the order. */
  readonly isListChecked: boolean;
  /** When the last list was requested. */
  readonly listRequestedAt: number;
  readonly sentAt: number;
  /** Number of times that the order was sent. */
  readonly sends: number;
  /** Number of calls to the key-value service and for the upstream's list. */
  readonly calls: number;
}

/** An event that advances an order. */
export type OrderInput =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Item | undefined }
  | { readonly kind: "read"; readonly item: Item | undefined }
  | { readonly kind: "failed"; readonly failure: PlatformFailureKind }
  | { readonly kind: "elapsed" }
  /** Ids of the orders that the upstream has completed. */
  | { readonly kind: "listed"; readonly ids: readonly string[] }
  | { readonly kind: "list-failed" }
  | { readonly kind: "accepted" }
  /** The upstream has seen a newer fencing number. */
  | { readonly kind: "fenced" }
  /** Nothing was written to the upstream. */
  | { readonly kind: "not-sent" }
  /** The order was sent, but no response was received. */
  | { readonly kind: "unclear" };

/** An action for the caller to perform; each results in one input. */
export type OrderEffect =
  | { readonly kind: "read" }
  | { readonly kind: "create"; readonly value: string }
  | {
    readonly kind: "replace";
    readonly value: string;
    readonly revision: number;
  }
  /** Wait until this time on this process's monotonic clock. */
  | { readonly kind: "wait"; readonly until: number }
  | { readonly kind: "list-orders" }
  /** Send synchronously, in the same event loop turn as the step. */
  | { readonly kind: "send"; readonly order: Order; readonly fence: number };

/** The state after an input, and the next effect; none once finished. */
export interface OrderStep {
  readonly attempt: OrderAttempt;
  readonly effect?: OrderEffect;
}

const DEFAULT_LEASE_MS = 5_000;
const DEFAULT_DRIFT = 0.001;
const DEFAULT_TRANSIT_MS = 1_000;
const DEFAULT_CARRY_OUT_MS = 120_000;
const DEFAULT_POLL_MS = 1_000;
const MAX_CALLS = 400;

/** Finishes the order. */
export function finish(
  attempt: OrderAttempt,
  outcome: OrderOutcome,
): OrderStep {
  return { attempt: { ...attempt, phase: "finished", outcome } };
}

/** Finishes an order whose record or completion can't be determined. */
export function giveUp(attempt: OrderAttempt): OrderStep {
  return finish(attempt, attempt.sends > 0 ? "unknown" : "unavailable");
}

/** Returns the time on this clock that covers `ms` on any other clock. */
export function addDriftMargin(
  ms: number,
  { drift }: { drift: number },
): number {
  return ms * (1 + drift) / (1 - drift);
}

/** Requests `effect`; gives up after `MAX_CALLS` requests. */
export function callWithinLimit(
  attempt: OrderAttempt,
  effect: OrderEffect,
): OrderStep {
  if (attempt.calls >= MAX_CALLS) return giveUp(attempt);
  return { attempt: { ...attempt, calls: attempt.calls + 1 }, effect };
}

/** Returns the record's item in a response of the key-value service, if any. */
export function tryGetItem(input: OrderInput): Item | undefined {
  if (input.kind === "read") return input.item;
  if (input.kind === "conflict") return input.current;
  return undefined;
}

/** Creates the state of an order before its first effect. */
export function createOrderAttempt(
  order: Order,
  id: string,
  {
    checksFencing = false,
    leaseMs = DEFAULT_LEASE_MS,
    drift = DEFAULT_DRIFT,
    transitMs = DEFAULT_TRANSIT_MS,
    carryOutMs = DEFAULT_CARRY_OUT_MS,
    pollMs = DEFAULT_POLL_MS,
  }: OrderOptions,
): OrderAttempt {
  const options = {
    checksFencing,
    leaseMs,
    drift,
    transitMs,
    carryOutMs,
    pollMs,
  };
  return {
    phase: "acquiring",
    order,
    id,
    options,
    previousLeaseMs: 0,
    renewalStartedAt: 0,
    notBefore: 0,
    validUntil: 0,
    isListChecked: false,
    listRequestedAt: 0,
    sentAt: 0,
    sends: 0,
    calls: 0,
  };
}
