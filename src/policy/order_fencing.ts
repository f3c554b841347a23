/**
 * Gives one order to an upstream, never after a newer holder has given one.
 *
 * A router that wants to give an order takes the upstream's record over by CAS,
 * which increments the fencing number. An upstream that checks the number gets
 * the order at once and refuses that of an older holder. For one that ignores
 * it the order waits until the older holder's lease has lapsed:
 *
 * - A holder counts on its lease from the moment it started the write that
 *   renewed it, on its own monotonic clock, and checks it right before sending.
 * - The take-over makes later renewals of the older holder fail. The new holder
 *   waits, from when it learned of its take-over, for the lease and the transit
 *   bound, stretched by the drift between two clocks.
 *
 * Assumed: what a router sends arrives within the transit bound after the check
 * of its lease, or never. A process that is paused between the check and the
 * write to the socket for longer than lease and transit bound breaks that; an
 * upstream that checks the number is the only remedy.
 *
 * An order whose answer was lost is looked up among those that the upstream
 * carried out. It is repeated only if it is still missing after the longest
 * time that it takes to arrive and to be carried out.
 */
import * as Debug from "../debug.ts";
import type { Item } from "../store/key_value.ts";
import {
  call,
  createOrderAttempt,
  finish,
  getSeen,
  giveUp,
  type OrderAttempt,
  type OrderInput,
  type OrderOptions,
  type OrderStep,
  stretch,
} from "./order_fencing_attempt.ts";
import {
  encodeHolder,
  type Holder,
  type Order,
  tryDecodeHolder,
} from "./order_fencing_record.ts";

const MAX_SENDS = 2;

/** Takes the record over, whoever holds it. */
function acquire(
  attempt: OrderAttempt,
  item: Item | undefined,
  now: number,
): OrderStep {
  const { id, options: { leaseMs } } = attempt;
  if (item === undefined) {
    const wanted = { fence: 1, id, leaseMs };
    const value = encodeHolder(wanted);
    const change = { wanted, olderLeaseMs: 0 };
    return call({ ...attempt, ...change }, { kind: "create", value });
  }
  const older = tryDecodeHolder(item.value);
  if (older === undefined) return finish(attempt, "unavailable");
  const { revision } = item;
  if (older.id === id) return own(attempt, { holder: older, revision, now });
  const wanted = {
    fence: older.fence + 1,
    id,
    leaseMs: Math.max(leaseMs, older.leaseMs),
  };
  const value = encodeHolder(wanted);
  const change = { wanted, olderLeaseMs: older.leaseMs };
  return call({ ...attempt, ...change }, { kind: "replace", value, revision });
}

/** The record is the own one; waits for an older lease where that is due. */
function own(
  attempt: OrderAttempt,
  { holder, revision, now }: { holder: Holder; revision: number; now: number },
): OrderStep {
  const { options, olderLeaseMs } = attempt;
  const acquired = { ...attempt, own: { holder, revision } };
  if (options.checksFencing) return list(acquired);
  if (olderLeaseMs === 0) return renew(acquired, now);
  const waitMs = stretch(olderLeaseMs + options.transitMs, options);
  const notBefore = now + waitMs;
  return awaitLapse({ ...acquired, phase: "waiting", notBefore }, now);
}

/** Waits until the older lease has lapsed; a timer may fire early. */
function awaitLapse(attempt: OrderAttempt, now: number): OrderStep {
  const { notBefore } = attempt;
  if (now >= notBefore) return renew(attempt, now);
  return { attempt, effect: { kind: "wait", until: notBefore } };
}

/** Writes the own record again, which a newer holder makes fail. */
function renew(attempt: OrderAttempt, now: number): OrderStep {
  const { holder, revision } = attempt.own!;
  const renewing = { ...attempt, phase: "renewing", renewalStartedAt: now };
  const value = encodeHolder(holder);
  return call(renewing as OrderAttempt, { kind: "replace", value, revision });
}

/** Looks at the orders that the upstream has carried out. */
function list(attempt: OrderAttempt): OrderStep {
  const phase = attempt.sends > 0 ? "confirming" : "listing";
  return call({ ...attempt, phase }, { kind: "list-orders" });
}

/** Sends if the lease still holds; this check is the last step before. */
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
    return own(attempt, { holder: attempt.wanted!, revision, now });
  }
  if (input.kind === "conflict") {
    const current = input.current && tryDecodeHolder(input.current.value);
    if (current?.id !== attempt.id) return finish(attempt, "superseded");
    const { revision } = input.current!;
    return own(attempt, { holder: current, revision, now });
  }
  const isLost = input.kind === "failed" && input.failure === "unknown";
  return isLost ? call(attempt, { kind: "read" }) : giveUp(attempt);
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
    return attempt.isListed ? send(renewed, now) : list(renewed);
  }
  if (input.kind === "failed") {
    if (input.failure !== "unknown") return giveUp(attempt);
    return call(attempt, { kind: "read" });
  }
  // An earlier renewal may have taken effect though its answer was lost.
  const item = getSeen(input);
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
  return send({ ...attempt, isListed: true }, now);
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
  return poll(attempt, now);
}

/** Waits before the next look for an order whose answer was lost. */
function poll(attempt: OrderAttempt, now: number): OrderStep {
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
    return list({ ...attempt, listedFrom: now });
  }
  if (input.kind !== "listed") return poll(attempt, now);
  if (input.ids.includes(order.id)) return finish(attempt, "done");
  const boundMs = options.transitMs + options.carryOutMs;
  // The list must have been asked for after the bound, not only have come.
  const isMissing = attempt.listedFrom >= sentAt + stretch(boundMs, options);
  if (!isMissing) return poll(attempt, now);
  if (sends >= MAX_SENDS) return finish(attempt, "unknown");
  return send(attempt, now);
}

/** Starts an order; `id` must never be used again. */
export function startOrder(
  order: Order,
  id: string,
  options: OrderOptions = {},
): OrderStep {
  return call(createOrderAttempt(order, id, options), { kind: "read" });
}

/** Takes an order on by one input at the monotonic time `now`. */
export function stepOrder(
  attempt: OrderAttempt,
  input: OrderInput,
  now: number,
): OrderStep {
  switch (attempt.phase) {
    case "acquiring":
      return stepAcquiring(attempt, input, now);
    case "waiting":
      return awaitLapse(attempt, now);
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
