/**
 * State, inputs and effects of an order to an upstream, and the steps that its
 * phases have in common.
 */
import type { Item, PlatformFailureKind } from "../store/key_value.ts";
import type { Holder, Order } from "./order_fencing_record.ts";

/** How an order ended. */
export type Outcome =
  /** The upstream has carried it out. */
  | "done"
  /** Another router has become the holder; ask again later, with back-off. */
  | "superseded"
  /** It was not sent: the record can't be read or written. */
  | "unavailable"
  /** It was not sent: the upstream can't be reached. */
  | "unreachable"
  /** It was sent, and nobody knows whether it was carried out. */
  | "unknown";

/** Where an order stands. */
export type OrderPhase =
  | "acquiring"
  | "waiting"
  | "renewing"
  | "listing"
  | "sending"
  | "confirming"
  | "finished";

/** Options of an order; times are in milliseconds. */
export interface OrderOptions {
  /** Whether the upstream refuses an older fencing number. */
  checksFencing?: boolean;
  leaseMs?: number;
  /** Bound of each clock's deviation from true time, as a ratio. */
  drift?: number;
  /** Time within which what was sent arrives or is cancelled. */
  transitMs?: number;
  /** Longest time that the upstream takes to carry an order out. */
  carryOutMs?: number;
  /** Time between two looks at the orders carried out. */
  pollMs?: number;
}

/** An order under way. */
export interface OrderAttempt {
  readonly phase: OrderPhase;
  readonly outcome?: Outcome;
  readonly order: Order;
  /** Unique id of the acquisition. */
  readonly id: string;
  readonly options: Required<OrderOptions>;
  /** The record that the last take-over was to write. */
  readonly wanted?: Holder;
  /** The own record once acquired, with its revision. */
  readonly own?: { readonly holder: Holder; readonly revision: number };
  /** Lease that the holder before may count on; 0 if there was none. */
  readonly olderLeaseMs: number;
  /** When the older lease has lapsed for certain. */
  readonly notBefore: number;
  /** When the last renewal was started. */
  readonly renewalStartedAt: number;
  /** When the lease ends. */
  readonly validUntil: number;
  /** Whether the upstream's list was seen without the order. */
  readonly isListed: boolean;
  /** When the last look at the list was started. */
  readonly listedFrom: number;
  readonly sentAt: number;
  readonly sends: number;
  /** Calls to the key-value service, and looks at the upstream's list. */
  readonly calls: number;
}

/** What an order learns. */
export type OrderInput =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Item | undefined }
  | { readonly kind: "read"; readonly item: Item | undefined }
  | { readonly kind: "failed"; readonly failure: PlatformFailureKind }
  | { readonly kind: "elapsed" }
  /** Ids of the orders that the upstream has carried out. */
  | { readonly kind: "listed"; readonly ids: readonly string[] }
  | { readonly kind: "list-failed" }
  | { readonly kind: "accepted" }
  /** The upstream has seen a newer fencing number. */
  | { readonly kind: "fenced" }
  /** Nothing was written to the upstream. */
  | { readonly kind: "not-sent" }
  /** Sent, and no answer came. */
  | { readonly kind: "unclear" };

/** What is to be done; each effect has one input as its answer. */
export type OrderEffect =
  | { readonly kind: "read" }
  | { readonly kind: "create"; readonly value: string }
  | {
    readonly kind: "replace";
    readonly value: string;
    readonly revision: number;
  }
  /** Wait until this time of the own monotonic clock. */
  | { readonly kind: "wait"; readonly until: number }
  | { readonly kind: "list-orders" }
  /** Send in the same turn, without another task in between. */
  | { readonly kind: "send"; readonly order: Order; readonly fence: number };

/** The order after an input, and what follows; no effect once finished. */
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

/** Ends the order. */
export function finish(attempt: OrderAttempt, outcome: Outcome): OrderStep {
  return { attempt: { ...attempt, phase: "finished", outcome } };
}

/** Ends the order where its record or the upstream's list stays unknown. */
export function giveUp(attempt: OrderAttempt): OrderStep {
  return finish(attempt, attempt.sends > 0 ? "unknown" : "unavailable");
}

/** Own-clock time that covers `ms` of any other clock. */
export function stretch(ms: number, { drift }: { drift: number }): number {
  return ms * (1 + drift) / (1 - drift);
}

/** Calls the key-value service or the upstream, within a bound. */
export function call(attempt: OrderAttempt, effect: OrderEffect): OrderStep {
  if (attempt.calls >= MAX_CALLS) return giveUp(attempt);
  return { attempt: { ...attempt, calls: attempt.calls + 1 }, effect };
}

/** Finds the record in what the key-value service answered. */
export function getSeen(input: OrderInput): Item | undefined {
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
    olderLeaseMs: 0,
    renewalStartedAt: 0,
    notBefore: 0,
    validUntil: 0,
    isListed: false,
    listedFrom: 0,
    sentAt: 0,
    sends: 0,
    calls: 0,
  };
}
