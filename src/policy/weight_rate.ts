/**
 * Keeps the whole fleet within the weight store's rate, without a coordinator.
 *
 * Each load order makes an engine fetch weights. A store that bears N fetches
 * in a minute stands for N slots, each a key of the key-value service. A
 * router claims a slot by create-if-absent under a lease, and sends one order
 * for it. A slot is never released: it comes free when its lease lapses.
 *
 * The lease covers the minute, the time from its grant in which the order may
 * be sent, the time until the engine has begun to fetch, and the drift between
 * the clocks. Two fetches of a slot are thus a minute apart at least, and no
 * minute holds more than N of them, whoever claims and whoever dies.
 *
 * - A lost answer to a claim counts as claimed. The slot is used only if a read
 *   finds the claim's own id there; a write that takes effect later costs the
 *   fleet a slot for one lease, and never a fetch too many.
 * - Without the key-value service there is no claim, and so no order.
 * - A claim that is not used in time is void. A process that was paused finds
 *   that on its own monotonic clock, right before it sends.
 *
 * Weighed against: dividing the rate by the number of routers. That needs no
 * calls, but a rate below the number of routers gives each of them nothing or
 * a fraction, routers that own no pool waste their part, and a part that grows
 * with a new set of routers needs a hold-down as capacity shares do. A single
 * counter by CAS was weighed too: every claim would contend for one key, and a
 * lost answer would leave the count in doubt.
 *
 * Assumed: the rate does not change. After it was lowered, claims under the old
 * rate may stand for one more lease.
 */
import type { PlatformFailureKind } from "../store/key_value.ts";

/** Options of a claim; times are in milliseconds. */
export interface WeightRateOptions {
  /** Time from the grant of the lease in which the order may be sent. */
  sendWithinMs?: number;
  /** Time from the send until the engine has begun to fetch. */
  startWithinMs?: number;
  /** Bound of each clock's deviation from true time, as a ratio. */
  drift?: number;
}

/** The slots that a rate stands for. */
export interface SlotPlan {
  readonly count: number;
  readonly ttlSeconds: number;
  readonly sendWithinMs: number;
}

/** How a claim ended. */
export type ClaimOutcome =
  /** The slot may be used once, for as long as `isClaimUsable` says. */
  | "claimed"
  /** Every slot is taken; ask again later. */
  | "none-free"
  /** The key-value service did not answer, or nobody knows what it did. */
  | "unavailable";

/** A claim under way. */
export interface Claim {
  readonly outcome?: ClaimOutcome;
  /** Unique id of the claim, which is the value of its slot. */
  readonly id: string;
  readonly plan: SlotPlan;
  /** Slots that were seen free and are yet to be tried. */
  readonly free: readonly number[];
  readonly lease?: string;
  /** When the grant of the lease was started. */
  readonly grantedFrom: number;
  /** Whether the answer to the create was lost, and its slot is looked up. */
  readonly isLookedUp: boolean;
}

/** What a claim learns. */
export type ClaimInput =
  /** Keys of the slots that are taken. */
  | { readonly kind: "listed"; readonly keys: readonly string[] }
  | { readonly kind: "granted"; readonly lease: string }
  | { readonly kind: "written" }
  /** What stands in the slot. */
  | { readonly kind: "conflict"; readonly value: string | undefined }
  | { readonly kind: "read"; readonly value: string | undefined }
  | { readonly kind: "failed"; readonly failure: PlatformFailureKind };

/** What is to be done; each effect has one input as its answer. */
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

/** The claim after an input, and what follows; no effect once it has ended. */
export interface ClaimStep {
  readonly claim: Claim;
  readonly effect?: ClaimEffect;
}

/** Prefix of the slots' keys. */
export const SLOT_PREFIX = "weights/slot/";

const MINUTE_MS = 60_000;
const MS_PER_SECOND = 1_000;
const DEFAULT_SEND_WITHIN_MS = 5_000;
const DEFAULT_START_WITHIN_MS = 5_000;
const DEFAULT_DRIFT = 0.001;
const MAX_SLOTS = 256;
const MAX_TRIES = 4;

/** Plans the slots of a rate; a rate below one a minute has one long slot. */
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

/** Names the key of a slot. */
export function getSlotKey(slot: number): string {
  return `${SLOT_PREFIX}${slot}`;
}

/** Finds the slots of a plan that no listed key takes. */
export function getFreeSlots(
  { count }: SlotPlan,
  keys: readonly string[],
): number[] {
  const taken = new Set(keys);
  const slots = Array.from({ length: count }, (_, slot) => slot);
  return slots.filter((slot) => !taken.has(getSlotKey(slot)));
}

/** Starts a claim; `id` must never be used again. */
export function startClaim(id: string, plan: SlotPlan): ClaimStep {
  const claim = {
    id,
    plan,
    free: [],
    grantedFrom: -Infinity,
    isLookedUp: false,
  };
  if (plan.count === 0) return end(claim, "none-free");
  return { claim, effect: { kind: "list", prefix: SLOT_PREFIX } };
}

/**
 * Takes a claim on by one input at the monotonic time `now`. `offset` spreads
 * the claims of routers that start at once over the free slots.
 */
export function stepClaim(
  claim: Claim,
  input: ClaimInput,
  { now, offset = 0 }: { now: number; offset?: number },
): ClaimStep {
  if (claim.outcome !== undefined) return { claim };
  switch (input.kind) {
    case "listed":
      return grant(claim, input.keys, { now, offset });
    case "granted":
      return create({ ...claim, lease: input.lease });
    case "written":
      return end(claim, "claimed");
    case "conflict":
      if (input.value === claim.id) return end(claim, "claimed");
      return create({ ...claim, free: claim.free.slice(1) });
    case "read":
      return end(claim, input.value === claim.id ? "claimed" : "unavailable");
    case "failed":
      return fail(claim, input.failure);
  }
}

/** Whether the order that the claim is for may be sent at this moment. */
export function isClaimUsable(
  { outcome, grantedFrom, plan }: Claim,
  now: number,
): boolean {
  return outcome === "claimed" && now - grantedFrom < plan.sendWithinMs;
}

function end(claim: Claim, outcome: ClaimOutcome): ClaimStep {
  return { claim: { ...claim, outcome } };
}

function grant(
  claim: Claim,
  keys: readonly string[],
  { now, offset }: { now: number; offset: number },
): ClaimStep {
  const { plan } = claim;
  const slots = getFreeSlots(plan, keys);
  const first = slots.length > 0 ? offset % slots.length : 0;
  const free = [...slots.slice(first), ...slots.slice(0, first)]
    .slice(0, MAX_TRIES);
  if (free.length === 0) return end(claim, "none-free");
  // The lease runs from its grant at the earliest, which is after `now`.
  const granting = { ...claim, free, grantedFrom: now };
  const { ttlSeconds } = plan;
  return { claim: granting, effect: { kind: "grant", ttlSeconds } };
}

function create(claim: Claim): ClaimStep {
  const [slot] = claim.free;
  if (slot === undefined) return end(claim, "none-free");
  const key = getSlotKey(slot);
  const { id: value, lease } = claim;
  return { claim, effect: { kind: "create", key, value, lease: lease! } };
}

/** A create whose answer was lost is looked up once; all else ends the claim. */
function fail(claim: Claim, failure: PlatformFailureKind): ClaimStep {
  const wasCreating = claim.lease !== undefined && !claim.isLookedUp;
  if (!wasCreating || failure !== "unknown") return end(claim, "unavailable");
  const key = getSlotKey(claim.free[0]!);
  return {
    claim: { ...claim, isLookedUp: true },
    effect: { kind: "read", key },
  };
}
