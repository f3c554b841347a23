/**
 * Claims fetches within the weight store's rate, by the protocol of
 * `policy/weight_rate.ts`.
 */
import type { Result } from "ts-results/result";
import type { KeyValue, PlatformFailure } from "../store/key_value.ts";
import type { WeightStore } from "../store/weight_store.ts";
import {
  type Claim,
  type ClaimEffect,
  type ClaimInput,
  getFreeSlots,
  planSlots,
  SLOT_PREFIX,
  type SlotPlan,
  startClaim,
  stepClaim,
} from "../policy/weight_rate.ts";
import type { Clock } from "./views.ts";

/** Options of `createWeightSlots`. */
export interface WeightSlotsOptions {
  readonly keyValue: KeyValue;
  /** Undefined if none is configured; claims then fail. */
  readonly weightStore: Pick<WeightStore, "getFetchRateLimit"> | undefined;
  readonly clock: Clock;
  readonly random: () => number;
  createId(): string;
}

/** Slots of the weight store's rate, shared by the whole fleet. */
export interface WeightSlots {
  /** Whether a slot is free now; doesn't claim it. */
  hasFree(): Promise<boolean>;
  /** Claims one fetch; undefined if the rate can't be read. */
  claim(): Promise<Claim | undefined>;
}

/** Number of random offsets at which a claim may start its slot search. */
const OFFSET_COUNT = 1_024;

/** Creates the client for claims of fetches. */
export function createWeightSlots(
  { keyValue, weightStore, clock, random, createId }: WeightSlotsOptions,
): WeightSlots {
  async function getPlan(): Promise<SlotPlan | undefined> {
    const rate = await weightStore?.getFetchRateLimit();
    if (rate === undefined || rate.err) return undefined;
    return planSlots(rate.val.fetchesPerMinute);
  }

  return {
    async hasFree() {
      const slots = await getPlan();
      if (slots === undefined || slots.count === 0) return false;
      const listed = await keyValue.list(SLOT_PREFIX);
      if (listed.err) return false;
      const keys = listed.val.items.map(({ key }) => key);
      return getFreeSlots(slots, keys).length > 0;
    },
    async claim() {
      const slots = await getPlan();
      if (slots === undefined) return undefined;
      const offset = Math.floor(random() * OFFSET_COUNT);
      let step = startClaim(createId(), slots);
      while (step.effect !== undefined) {
        const input = await carryOut(keyValue, step.effect);
        step = stepClaim(step.claim, input, { now: clock(), offset });
      }
      return step.claim;
    },
  };
}

async function carryOut(
  keyValue: KeyValue,
  effect: ClaimEffect,
): Promise<ClaimInput> {
  switch (effect.kind) {
    case "list":
      return toClaimInput(await keyValue.list(effect.prefix), ({ items }) => ({
        kind: "listed",
        keys: items.map(({ key }) => key),
      }));
    case "grant":
      return toClaimInput(
        await keyValue.grantLease(effect.ttlSeconds),
        (lease) => ({ kind: "granted", lease }),
      );
    case "create": {
      const { key, value, lease } = effect;
      const created = await keyValue.create(key, value, { lease });
      return toClaimInput(
        created,
        (write) =>
          write.kind === "written"
            ? { kind: "written" }
            : { kind: "conflict", value: write.current?.value },
      );
    }
    case "read":
      return toClaimInput(await keyValue.get(effect.key), (item) => ({
        kind: "read",
        value: item?.value,
      }));
  }
}

function toClaimInput<T>(
  result: Result<T, PlatformFailure>,
  toInput: (value: T) => ClaimInput,
): ClaimInput {
  if (result.ok) return toInput(result.val);
  return { kind: "failed", failure: result.val.kind };
}
