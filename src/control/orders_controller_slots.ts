/**
 * Claims fetches from the weight store's rate; see `policy/weight_rate.ts`.
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

/** Options of the slots. */
export interface WeightSlotsOptions {
  readonly keyValue: KeyValue;
  /** Undefined if the settings name none: then nothing can be claimed. */
  readonly weightStore: Pick<WeightStore, "getRate"> | undefined;
  readonly clock: Clock;
  readonly random: () => number;
  createId(): string;
}

/** The weight store's rate as slots of the whole fleet. */
export interface WeightSlots {
  /** Whether a claim is likely to succeed; claims nothing. */
  hasFree(): Promise<boolean>;
  /** Claims one fetch; the claim says how it ended. */
  claim(): Promise<Claim | undefined>;
}

const OFFSETS = 1_024;

/** Creates the slots. */
export function createWeightSlots(
  { keyValue, weightStore, clock, random, createId }: WeightSlotsOptions,
): WeightSlots {
  async function plan(): Promise<SlotPlan | undefined> {
    const rate = await weightStore?.getRate();
    if (rate === undefined || rate.err) return undefined;
    return planSlots(rate.val.fetchesPerMinute);
  }

  return {
    async hasFree() {
      const slots = await plan();
      if (slots === undefined || slots.count === 0) return false;
      const listed = await keyValue.list(SLOT_PREFIX);
      if (listed.err) return false;
      const keys = listed.val.items.map(({ key }) => key);
      return getFreeSlots(slots, keys).length > 0;
    },
    async claim() {
      const slots = await plan();
      if (slots === undefined) return undefined;
      const offset = Math.floor(random() * OFFSETS);
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
      return answer(await keyValue.list(effect.prefix), ({ items }) => ({
        kind: "listed",
        keys: items.map(({ key }) => key),
      }));
    case "grant":
      return answer(
        await keyValue.grantLease(effect.ttlSeconds),
        (lease) => ({ kind: "granted", lease }),
      );
    case "create": {
      const { key, value, lease } = effect;
      const created = await keyValue.create(key, value, { lease });
      return answer(
        created,
        (write) =>
          write.kind === "written"
            ? { kind: "written" }
            : { kind: "conflict", value: write.current?.value },
      );
    }
    case "read":
      return answer(await keyValue.get(effect.key), (item) => ({
        kind: "read",
        value: item?.value,
      }));
  }
}

function answer<T>(
  result: Result<T, PlatformFailure>,
  toInput: (value: T) => ClaimInput,
): ClaimInput {
  if (result.ok) return toInput(result.val);
  return { kind: "failed", failure: result.val.kind };
}
