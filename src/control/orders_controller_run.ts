/**
 * Runs one order: executes the effects that `policy/order_fencing.ts` decides
 * on, with the key-value service, the engine and the weight store's rate.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { Result } from "ts-results/result";
import type { Upstream } from "../config/manifest.ts";
import type {
  ConditionalWrite,
  KeyValue,
  PlatformFailure,
} from "../store/key_value.ts";
import { startOrder, stepOrder } from "../policy/order_fencing.ts";
import {
  addDriftMargin,
  type OrderAttempt,
  type OrderEffect,
  type OrderInput,
  type OrderOptions,
  type OrderOutcome,
} from "../policy/order_fencing_attempt.ts";
import { type Order, tryDecodeHolder } from "../policy/order_fencing_record.ts";
import { type Claim, isClaimUsable } from "../policy/weight_rate.ts";
import type { WeightSlots } from "./orders_controller_slots.ts";
import type { CarriedOutOrder, UpstreamOrders } from "./upstream_orders.ts";
import type { Clock } from "./views.ts";

/** Outcome of an order: that of the policy, or why it was not sent. */
export type OrderEnd =
  | OrderOutcome
  /** No fetch is available within the weight store's rate. */
  | "no-slot"
  /** The engine no longer needs it, or the pool has another owner. */
  | "outdated"
  /** An order of the previous owner may still be in progress. */
  | "too-early"
  /** This router is stopping. */
  | "stopped";

/** Dependencies that all orders of a router share. */
export interface OrderRunOptions {
  readonly keyValue: KeyValue;
  readonly slots: WeightSlots;
  readonly orders: UpstreamOrders;
  readonly clock: Clock;
  readonly times: Omit<OrderOptions, "checksFencing">;
  /** Name of this router's process; no other process ever has the same. */
  readonly holder: string;
  createId(): string;
}

/** An order to one engine. */
export interface OrderRequest {
  readonly order: Order;
  readonly upstream: Upstream;
  /** Key of the record that says which router may send orders to the engine. */
  readonly key: string;
  /** Monotonic time since which this router has continuously owned the pool. */
  readonly ownedSince: number;
  /** Whether the order is still due, given the engine's list. */
  isDue(done: readonly CarriedOutOrder[]): boolean;
  /** Final check right before the send: whether this router owns the pool. */
  mayBeSent(): boolean;
  /** Called right after the request was written. */
  onSend(fence: number): void;
  readonly signal: AbortSignal;
}

/** Runs an order to its end; never rejects. */
export function runOrder(
  request: OrderRequest,
  options: OrderRunOptions,
): Promise<OrderEnd> {
  return new OrderRun(request, options).run();
}

class OrderRun {
  readonly #request: OrderRequest;
  readonly #options: OrderRunOptions;
  #claim: Claim | undefined;
  /** Why the order was not sent, for reasons outside the policy. */
  #skipReason: "no-slot" | "outdated" | "too-early" | undefined;

  constructor(request: OrderRequest, options: OrderRunOptions) {
    this.#request = request;
    this.#options = options;
  }

  async run(): Promise<OrderEnd> {
    const { order, upstream: { checksFencing }, signal } = this.#request;
    const { times, clock, createId, holder } = this.#options;
    const id = `${holder}#${createId()}`;
    let step = startOrder(order, id, { ...times, checksFencing });
    while (step.effect !== undefined) {
      if (signal.aborted) return "stopped";
      // There must be no await between a step and the send that it requests.
      const input = await this.#carryOut(step.effect, step.attempt);
      if (signal.aborted) return "stopped";
      step = stepOrder(step.attempt, input, clock());
    }
    const { outcome, sends } = step.attempt;
    const wasSent = sends > 1 || outcome === "unknown";
    return wasSent ? outcome! : this.#skipReason ?? outcome!;
  }

  #carryOut(
    effect: OrderEffect,
    attempt: OrderAttempt,
  ): Promise<OrderInput> {
    const { keyValue } = this.#options;
    const { key } = this.#request;
    switch (effect.kind) {
      case "read":
        return this.#read(attempt);
      case "create":
        return keyValue.create(key, effect.value).then(toInput);
      case "replace": {
        const { value, revision } = effect;
        return keyValue.replace(key, value, { revision }).then(toInput);
      }
      case "wait":
        return this.#wait(effect.until);
      case "list-orders":
        return this.#list(attempt);
      case "send":
        return this.#send(effect);
    }
  }

  async #read({ options }: OrderAttempt): Promise<OrderInput> {
    const { holder, keyValue, clock } = this.#options;
    const { key, ownedSince } = this.#request;
    const read = await keyValue.get(key);
    if (read.err) return { kind: "failed", failure: read.val.kind };
    const item = read.val;
    const last = item && tryDecodeHolder(item.value);
    const isOther = last !== undefined && !last.id.startsWith(`${holder}#`);
    // An order of the previous owner may be in transit or being carried out.
    const boundMs = options.transitMs + options.carryOutMs;
    if (isOther && clock() < ownedSince + addDriftMargin(boundMs, options)) {
      this.#skipReason = "too-early";
      return { kind: "failed", failure: "unavailable" };
    }
    return { kind: "read", item };
  }

  async #wait(until: number): Promise<OrderInput> {
    const waitMs = Math.max(0, Math.ceil(until - this.#options.clock()));
    // The loop in `run` checks whether the signal was aborted.
    const { signal } = this.#request;
    await delay(waitMs, undefined, { signal }).catch(() => undefined);
    return { kind: "elapsed" };
  }

  /** Reads the engine's list; claims a fetch only if the order is missing. */
  async #list({ phase }: OrderAttempt): Promise<OrderInput> {
    const { upstream, order, isDue } = this.#request;
    const done = await this.#options.orders.list(upstream);
    if (done === undefined) return { kind: "list-failed" };
    const ids = done.map(({ id }) => id);
    const isMissing = !ids.includes(order.id);
    if (phase !== "listing" || !isMissing) return { kind: "listed", ids };
    if (!isDue(done)) return this.#skip("outdated");
    this.#claim = await this.#options.slots.claim();
    if (this.#claim?.outcome !== "claimed") return this.#skip("no-slot");
    return { kind: "listed", ids };
  }

  #skip(skipReason: "no-slot" | "outdated"): OrderInput {
    this.#skipReason = skipReason;
    return { kind: "list-failed" };
  }

  async #send(
    { order, fence }: OrderEffect & { kind: "send" },
  ): Promise<OrderInput> {
    const { upstream, mayBeSent, onSend } = this.#request;
    const claim = this.#claim;
    // A claim covers one send; a repeated order needs a new claim.
    this.#claim = undefined;
    if (!mayBeSent()) {
      this.#skipReason = "outdated";
      return { kind: "not-sent" };
    }
    if (claim === undefined || !isClaimUsable(claim, this.#options.clock())) {
      this.#skipReason = "no-slot";
      return { kind: "not-sent" };
    }
    const sending = this.#options.orders.send(upstream, order, { fence });
    onSend(fence);
    return { kind: await sending };
  }
}

function toInput(
  result: Result<ConditionalWrite, PlatformFailure>,
): OrderInput {
  if (result.ok) return result.val;
  return { kind: "failed", failure: result.val.kind };
}
