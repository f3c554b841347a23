/**
 * Decides which order an engine is due, and which engines may change now.
 */
import type { Manifest, Model } from "../config/manifest.ts";
import type { Order } from "../policy/order_fencing_record.ts";
import type { PoolSummary, UpstreamSummary } from "./pool_summary.ts";
import type { CarriedOut } from "./upstream_orders.ts";

/** Largest part of a pool's engines that change at once. */
const CHANGING_PART = 1 / 8;

/** Finds the model that the engines of a service are to run. */
export function findModel(
  manifest: Manifest | undefined,
  name: string,
): Model | undefined {
  const service = manifest?.services.find((each) => each.name === name);
  if (service?.kind !== "engine" || service.model === undefined) return;
  return manifest!.models.find((each) => each.name === service.model);
}

/** Describes a wish, to tell it from the one before. */
export function describeWish({ name, version, adapters }: Model): string {
  return [name, version, ...[...adapters].sort()].join(" ");
}

/**
 * Finds the next order for an engine that has carried out `done`; undefined if
 * it runs the model's version with its adapters. The id is the same for every
 * router that sees the same list, and new for a version that comes back.
 */
export function findDueOrder(
  { name: model, version, adapters }: Model,
  done: readonly CarriedOut[],
): Order | undefined {
  const loadedAt = done.findLastIndex((each) =>
    each.kind === "load-model" && each.model === model
  );
  const prefix = `${model}/${version}`;
  const suffix = done.length;
  if (loadedAt < 0 || done[loadedAt]!.version !== version) {
    const id = `load-model/${prefix}/${suffix}`;
    return { id, kind: "load-model", model, version };
  }
  // A model's load drops the adapters of the version before.
  const loaded = done.slice(loadedAt + 1)
    .filter(({ kind }) => kind === "load-adapter")
    .map(({ adapter }) => adapter);
  const adapter = adapters.find((each) => !loaded.includes(each));
  if (adapter === undefined) return undefined;
  const id = `load-adapter/${prefix}/${adapter}/${suffix}`;
  return { id, kind: "load-adapter", model, version, adapter };
}

/** Counts the engines of a pool that may change at once. */
export function countChanging({ upstreams }: PoolSummary): number {
  return Math.max(1, Math.floor(upstreams.length * CHANGING_PART));
}

/** Whether an engine's change takes no capacity that is in use. */
export function isIdle({ isCold, isInService }: UpstreamSummary): boolean {
  return isCold || !isInService;
}
