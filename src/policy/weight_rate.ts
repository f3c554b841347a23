/**
 * Limits the fleet's weight fetches to the weight store's rate, without a
 * coordinator.
 *
 * Each load order makes an engine fetch weights. A store that supports N
 * fetches a minute is represented by N slots, each a key of the key-value
 * service. A router claims a slot by a create-if-absent with a lease and sends
 * one order for it. A slot is never released: it becomes free when its lease
 * expires.
 *
 * The lease covers the minute, the time from its grant within which the order
 * may be sent, the time until the engine has started to fetch, and the drift
 * between the clocks. Two fetches of a slot are thus at least a minute apart,
 * and no minute contains more than N fetches, whichever routers claim or fail.
 *
 * - If the response to a claim is lost, its slot counts as claimed. The slot is
 *   used only if a read finds the claim's own id in it. A write that takes
 *   effect later makes one slot unusable for one lease, but never allows an
 *   extra fetch.
 * - Without the key-value service there are no claims and therefore no orders.
 * - A claim that is not used in time is void. A process that was paused detects
 *   this by its own monotonic clock, right before it sends.
 *
 * Alternatives that were rejected: dividing the rate by the number of routers
 * needs no calls, but a rate below the number of routers leaves each of them
 * nothing or a fraction, routers that own no pool waste their share, and a
 * share that grows with a new set of routers needs a hold-down, as capacity
 * shares do. With a single counter updated by compare-and-swap, every claim
 * would contend for one key, and a lost response would leave the count
 * uncertain.
 *
 * Assumption: the rate does not change. After the rate is lowered, claims under
 * the old rate may remain for one more lease.
 */
import type { PlatformFailureKind } from "../store/key_value.ts";

/** Options of a claim; times are in milliseconds. */
export interface WeightRateOptions {
  /** Time from the grant of the lease within which the order may be sent. */
  sendWithinMs?: number;
  /** Time from the send until the engine has started to fetch. */
  startWithinMs?: number;
  /** Maximum rate error of each clock relative to true time, as a ratio. */
  drift?: number;
}

/** The slots that represent a rate. */
export interface SlotPlan {
  readonly count: number;
  /** Time to live of a slot's lease. */
  readonly ttlSeconds: number;
  /** Time from the grant of the lease within which the order may be sent. */
  readonly sendWithinMs: number;
}

/** Result of a claim. */
export type ClaimOutcome =
  /** The slot may be used once, while `isClaimUsable` returns true. */
  | "claimed"
  /** Every slot is taken; try again later. */
  | "none-free"
  /** The key-value service did not answer, or the effect is unknown. */
  | "unavailable";

/** State of a claim. */
export interface Claim {
  /** Absent while the claim is in progress. */
  readonly outcome?: ClaimOutcome;
  /** Unique id of the claim, written as the value of its slot's key. */
  readonly id: string;
  readonly plan: SlotPlan;
  /** Slots that were listed as free and have not been tried yet. */
  readonly free: readonly number[];
  readonly lease?: string;
  /** Monotonic time at which the grant of the lease was requested, in ms. */
  readonly grantedFrom: number;
  /** Whether the response to the create was lost and its slot is being read. */
  readonly isLookedUp: boolean;
}

/** Input of a claim: the response to its last effect. */
export type ClaimInput =
  /** Keys of the taken slots. */
  | { readonly kind: "listed"; readonly keys: readonly string[] }
  | { readonly kind: "granted"; readonly lease: string }
  | { readonly kind: "written" }
  /** Another value exists; `value` is the current one. */
  | { readonly kind: "conflict"; readonly value: string | undefined }
  | { readonly kind: "read"; readonly value: string | undefined }
  | { readonly kind: "failed"; readonly failure: PlatformFailureKind };

/** Call to execute; each effect is answered by one input. */
export type ClaimEffect =
  | { readonly kind: "list"; readonly prefix: string }
  | { readonly kind: "grant"; readonly ttlSeconds: number }
  | {
    readonly kind: "create";
    readonly key: string;
    readonly value: string;
    readonly lease: string;
  }
  | { readonly kind: "read"; readonly key: string };

/** The claim after an input and its next effect; none once it has ended. */
export interface ClaimStep {
  readonly claim: Claim;
  readonly effect?: ClaimEffect;
}

/** Prefix of the keys of slots. */
export const SLOT_PREFIX = "weights/slot/";

const MINUTE_MS = 60_000;
const MS_PER_SECOND = 1_000;
const DEFAULT_SEND_WITHIN_MS = 5_000;
const DEFAULT_START_WITHIN_MS = 5_000;
const DEFAULT_DRIFT = 0.001;
const MAX_SLOTS = 256;
const MAX_TRIES = 4;

/**
 * Computes the slots of a rate, in fetches per minute. A rate below one per
 * minute has one slot with a longer lease.
 */
export function planSlots(
  fetchesPerMinute: number,
  {
    sendWithinMs = DEFAULT_SEND_WITHIN_MS,
    startWithinMs = DEFAULT_START_WITHIN_MS,
    drift = DEFAULT_DRIFT,
  }: WeightRateOptions = {},
): SlotPlan {
  if (!(fetchesPerMinute > 0)) return { count: 0, ttlSeconds: 0, sendWithinMs };
  const count = Math.max(1, Math.min(MAX_SLOTS, Math.floor(fetchesPerMinute)));
  const windowMs = MINUTE_MS * Math.max(1, 1 / fetchesPerMinute);
  const coveredMs = windowMs + sendWithinMs + startWithinMs;
  const ttlMs = coveredMs * (1 + drift) / (1 - drift);
  return { count, ttlSeconds: Math.ceil(ttlMs / MS_PER_SECOND), sendWithinMs };
}

/** Returns the key of a slot. */
export function getSlotKey(slot: number): string {
  return `${SLOT_PREFIX}${slot}`;
}

/** Returns the slots of a plan whose keys are not in `keys`. */
export function getFreeSlots(
  { count }: SlotPlan,
  keys: readonly string[],
): number[] {
  const taken = new Set(keys);
  const slots = Array.from({ length: count }, (_, slot) => slot);
  return slots.filter((slot) => !taken.has(getSlotKey(slot)));
}

/** Starts a claim; `id` must be unique to it. */
export function startClaim(id: string, plan: SlotPlan): ClaimStep {
  const claim = {
    id,
    plan,
    free: [],
    grantedFrom: -Infinity,
    isLookedUp: false,
  };
  if (plan.count === 0) return endClaim(claim, "none-free");
  return { claim, effect: { kind: "list", prefix: SLOT_PREFIX } };
}

/**
 * Advances a claim by one input at the monotonic time `now`, in milliseconds.
 * `offset` distributes routers that claim at the same time over the free slots.
 */
export function stepClaim(
  claim: Claim,
  input: ClaimInput,
  { now, offset = 0 }: { now: number; offset?: number },
): ClaimStep {
  if (claim.outcome !== undefined) return { claim };
  switch (input.kind) {
    case "listed":
      return requestLease(claim, input.keys, { now, offset });
    case "granted":
      return requestCreate({ ...claim, lease: input.lease });
    case "written":
      return endClaim(claim, "claimed");
    case "conflict":
      if (input.value === claim.id) return endClaim(claim, "claimed");
      return requestCreate({ ...claim, free: claim.free.slice(1) });
    case "read":
      return endClaim(
        claim,
        input.value === claim.id ? "claimed" : "unavailable",
      );
    case "failed":
      return handleFailure(claim, input.failure);
  }
}

/** Whether the order of the claim may be sent at `now`, in milliseconds. */
export function isClaimUsable(
  { outcome, grantedFrom, plan }: Claim,
  now: number,
): boolean {
  return outcome === "claimed" && now - grantedFrom < plan.sendWithinMs;
}

function endClaim(claim: Claim, outcome: ClaimOutcome): ClaimStep {
  return { claim: { ...claim, outcome } };
}

function requestLease(
  claim: Claim,
  keys: readonly string[],
  { now, offset }: { now: number; offset: number },
): ClaimStep {
  const { plan } = claim;
  const slots = getFreeSlots(plan, keys);
  const first = slots.length > 0 ? offset % slots.length : 0;
  const free = [...slots.slice(first), ...slots.slice(0, first)]
    .slice(0, MAX_TRIES);
  if (free.length === 0) return endClaim(claim, "none-free");
  // The lease starts no earlier than its grant, which is after `now`.
  const claimWithSlots = { ...claim, free, grantedFrom: now };
  const { ttlSeconds } = plan;
  return { claim: claimWithSlots, effect: { kind: "grant", ttlSeconds } };
}

function requestCreate(claim: Claim): ClaimStep {
  const [slot] = claim.free;
  if (slot === undefined) return endClaim(claim, "none-free");
  const key = getSlotKey(slot);
  const { id: value, lease } = claim;
  return { claim, effect: { kind: "create", key, value, lease: lease! } };
}

/**
 * Reads the slot once after a create with an unknown effect; any other failure
 * ends the claim.
 */
function handleFailure(claim: Claim, failure: PlatformFailureKind): ClaimStep {
  const wasCreating = claim.lease !== undefined && !claim.isLookedUp;
  if (!wasCreating || failure !== "unknown") {
    return endClaim(claim, "unavailable");
  }
  const key = getSlotKey(claim.free[0]!);
  return {
    claim: { ...claim, isLookedUp: true },
    effect: { kind: "read", key },
  };
}
