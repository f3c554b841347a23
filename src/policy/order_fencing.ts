/**
 * State machine that sends one order to an upstream. An order never reaches the
 * upstream after an order of a newer holder.
 *
 * To send an order, a router takes over the upstream's record by
 * compare-and-swap, which increments the fencing number. An upstream that
 * checks the number receives the order at once, and refuses orders of previous
 * holders. For an upstream that ignores the number, the order waits until the
 * previous holder's lease has expired:
 *
 * - A holder's lease starts when it begins the write that renews it, on its own
 *   monotonic clock. The holder checks the lease right before it sends.
 * - The take-over makes later renewals of the previous holder fail. From the
 *   time that it learns of its take-over, the new holder waits for the lease
 *   plus the transit time, extended by the drift between two clocks.
 *
 * This assumes that what a router sends arrives within the transit time after
 * the check of its lease, or not at all. A process that is paused between the
 * check and the write to the socket for longer than the lease plus the transit
 * time violates the assumption. Only an upstream that checks the fencing number
 * is protected against that.
 *
 * If the response to an order is lost, the order is looked up in the upstream's
 * list of completed orders. It is sent again only if it is still missing after
 * the maximum time for transit and execution.
 */
import * as Debug from "../debug.ts";
import type { Item } from "../store/key_value.ts";
import {
  addDriftMargin,
  callWithinLimit,
  createOrderAttempt,
  finish,
  giveUp,
  type OrderAttempt,
  type OrderInput,
  type OrderOptions,
  type OrderStep,
  tryGetItem,
} from "./order_fencing_attempt.ts";
import {
  encodeHolder,
  type Holder,
  type Order,
  tryDecodeHolder,
} from "./order_fencing_record.ts";

const MAX_SENDS = 2;

/** Takes over the record, whether or not another router holds it. */
function acquire(
  attempt: OrderAttempt,
  item: Item | undefined,
  now: number,
): OrderStep {
  const { id, options: { leaseMs } } = attempt;
  if (item === undefined) {
    const pendingHolder = { fence: 1, id, leaseMs };
    const value = encodeHolder(pendingHolder);
    const change = { pendingHolder, previousLeaseMs: 0 };
    return callWithinLimit({ ...attempt, ...change }, {
      kind: "create",
      value,
    });
  }
  const previous = tryDecodeHolder(item.value);
  if (previous === undefined) return finish(attempt, "unavailable");
  const { revision } = item;
  if (previous.id === id) {
    return continueAsHolder(attempt, { holder: previous, revision, now });
  }
  const pendingHolder = {
    fence: previous.fence + 1,
    id,
    leaseMs: Math.max(leaseMs, previous.leaseMs),
  };
  const value = encodeHolder(pendingHolder);
  const change = { pendingHolder, previousLeaseMs: previous.leaseMs };
  return callWithinLimit({ ...attempt, ...change }, {
    kind: "replace",
    value,
    revision,
  });
}

/** Continues as the holder, after the previous lease has expired if needed. */
function continueAsHolder(
  attempt: OrderAttempt,
  { holder, revision, now }: { holder: Holder; revision: number; now: number },
): OrderStep {
  const { options, previousLeaseMs } = attempt;
  const acquired = { ...attempt, own: { holder, revision } };
  if (options.checksFencing) return listOrders(acquired);
  if (previousLeaseMs === 0) return renew(acquired, now);
  const waitMs = addDriftMargin(previousLeaseMs + options.transitMs, options);
  const notBefore = now + waitMs;
  return waitForLeaseExpiry({ ...acquired, phase: "waiting", notBefore }, now);
}

/** Waits until the previous lease has expired; a timer may fire early. */
function waitForLeaseExpiry(attempt: OrderAttempt, now: number): OrderStep {
  const { notBefore } = attempt;
  if (now >= notBefore) return renew(attempt, now);
  return { attempt, effect: { kind: "wait", until: notBefore } };
}

/** Renews the lease by rewriting the record; a newer holder makes that fail. */
function renew(attempt: OrderAttempt, now: number): OrderStep {
  const { holder, revision } = attempt.own!;
  const renewing = { ...attempt, phase: "renewing", renewalStartedAt: now };
  const value = encodeHolder(holder);
  return callWithinLimit(renewing as OrderAttempt, {
    kind: "replace",
    value,
    revision,
  });
}

/** Requests the list of orders that the upstream has completed. */
function listOrders(attempt: OrderAttempt): OrderStep {
  const phase = attempt.sends > 0 ? "confirming" : "listing";
  return callWithinLimit({ ...attempt, phase }, { kind: "list-orders" });
}

/** Sends if the lease is still valid; this check is the last step before it. */
function send(attempt: OrderAttempt, now: number): OrderStep {
  const { options, order, sends, validUntil } = attempt;
  const needsLease = !options.checksFencing;
  if (needsLease && now >= validUntil) return renew(attempt, now);
  const { fence } = attempt.own!.holder;
  Debug.assert(now >= attempt.notBefore, "order-lapse");
  Debug.assert(sends < MAX_SENDS, "order-sends", () => `${sends} sends`);
  return {
    attempt: { ...attempt, phase: "sending", sends: sends + 1, sentAt: now },
    effect: { kind: "send", order, fence },
  };
}

function stepAcquiring(
  attempt: OrderAttempt,
  input: OrderInput,
  now: number,
): OrderStep {
  if (input.kind === "read") return acquire(attempt, input.item, now);
  if (input.kind === "written") {
    const { revision } = input;
    return continueAsHolder(attempt, {
      holder: attempt.pendingHolder!,
      revision,
      now,
    });
  }
  if (input.kind === "conflict") {
    const current = input.current && tryDecodeHolder(input.current.value);
    if (current?.id !== attempt.id) return finish(attempt, "superseded");
    const { revision } = input.current!;
    return continueAsHolder(attempt, { holder: current, revision, now });
  }
  const isLost = input.kind === "failed" && input.failure === "unknown";
  return isLost ? callWithinLimit(attempt, { kind: "read" }) : giveUp(attempt);
}

function stepRenewing(
  attempt: OrderAttempt,
  input: OrderInput,
  now: number,
): OrderStep {
  if (input.kind === "written") {
    const { holder } = attempt.own!;
    const renewed = {
      ...attempt,
      own: { holder, revision: input.revision },
      validUntil: attempt.renewalStartedAt + attempt.options.leaseMs,
    };
    return attempt.isListChecked ? send(renewed, now) : listOrders(renewed);
  }
  if (input.kind === "failed") {
    if (input.failure !== "unknown") return giveUp(attempt);
    return callWithinLimit(attempt, { kind: "read" });
  }
  // An earlier renewal may have taken effect although its response was lost.
  const item = tryGetItem(input);
  const holder = item && tryDecodeHolder(item.value);
  if (holder?.id !== attempt.id) {
    return finish(attempt, attempt.sends > 0 ? "unknown" : "superseded");
  }
  const { revision } = item!;
  return renew({ ...attempt, own: { holder, revision } }, now);
}

function stepListing(
  attempt: OrderAttempt,
  input: OrderInput,
  now: number,
): OrderStep {
  if (input.kind !== "listed") return finish(attempt, "unreachable");
  if (input.ids.includes(attempt.order.id)) return finish(attempt, "done");
  return send({ ...attempt, isListChecked: true }, now);
}

function stepSending(
  attempt: OrderAttempt,
  input: OrderInput,
  now: number,
): OrderStep {
  if (input.kind === "accepted") return finish(attempt, "done");
  const isRepeat = attempt.sends > 1;
  if (input.kind === "fenced") {
    return finish(attempt, isRepeat ? "unknown" : "superseded");
  }
  if (input.kind === "not-sent") {
    return finish(attempt, isRepeat ? "unknown" : "unreachable");
  }
  return waitForPoll(attempt, now);
}

/** Waits before the next lookup of an order whose response was lost. */
function waitForPoll(attempt: OrderAttempt, now: number): OrderStep {
  return {
    attempt: { ...attempt, phase: "confirming" },
    effect: { kind: "wait", until: now + attempt.options.pollMs },
  };
}

function stepConfirming(
  attempt: OrderAttempt,
  input: OrderInput,
  now: number,
): OrderStep {
  const { options, order, sentAt, sends } = attempt;
  if (input.kind === "elapsed") {
    return listOrders({ ...attempt, listRequestedAt: now });
  }
  if (input.kind !== "listed") return waitForPoll(attempt, now);
  if (input.ids.includes(order.id)) return finish(attempt, "done");
  const boundMs = options.transitMs + options.carryOutMs;
  // The list must have been requested after the bound, not just received.
  const isMissing =
    attempt.listRequestedAt >= sentAt + addDriftMargin(boundMs, options);
  if (!isMissing) return waitForPoll(attempt, now);
  if (sends >= MAX_SENDS) return finish(attempt, "unknown");
  return send(attempt, now);
}

/**
 * Starts an order.
 *
 * @param id Unique id of the acquisition; must never be reused.
 */
export function startOrder(
  order: Order,
  id: string,
  options: OrderOptions = {},
): OrderStep {
  return callWithinLimit(createOrderAttempt(order, id, options), {
    kind: "read",
  });
}

/** Applies one input to an order. `now` is on the monotonic clock, in ms. */
export function stepOrder(
  attempt: OrderAttempt,
  input: OrderInput,
  now: number,
): OrderStep {
  switch (attempt.phase) {
    case "acquiring":
      return stepAcquiring(attempt, input, now);
    case "waiting":
      return waitForLeaseExpiry(attempt, now);
    case "renewing":
      return stepRenewing(attempt, input, now);
    case "listing":
      return stepListing(attempt, input, now);
    case "sending":
      return stepSending(attempt, input, now);
    case "confirming":
      return stepConfirming(attempt, input, now);
    case "finished":
      return { attempt };
  }
}
