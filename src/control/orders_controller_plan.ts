/**
 * Determines the next order for an engine and how many engines may change.
 */
import type { Manifest, Model } from "../config/manifest.ts";
import type { Order } from "../policy/order_fencing_record.ts";
import type { PoolSummary, UpstreamSummary } from "./pool_summary.ts";
import type { CarriedOutOrder } from "./upstream_orders.ts";

/** Maximum share of a pool's engines that change at the same time. */
const MAX_CHANGING_RATIO = 1 / 8;

/** Returns the model that the engines of a service should run, if any. */
export function findModel(
  manifest: Manifest | undefined,
  name: string,
): Model | undefined {
  const service = manifest?.services.find((each) => each.name === name);
  if (service?.kind !== "engine" || service.model === undefined) return;
  return manifest!.models.find((each) => each.name === service.model);
}

/** Returns a key of the desired state; it changes with version or adapters. */
export function getDesiredStateKey({ name, version, adapters }: Model): string {
  return [name, version, ...[...adapters].sort()].join(" ");
}

/**
 * Returns the next order for an engine that has carried out `done`; undefined
 * if it runs the model's version with its adapters. Every router that reads the
 * same list derives the same id. A return to an earlier version gets a new id,
 * as the id contains the length of the list.
 */
export function findDueOrder(
  { name: model, version, adapters }: Model,
  done: readonly CarriedOutOrder[],
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
  // Loading a model unloads the adapters of the previous version.
  const loaded = done.slice(loadedAt + 1)
    .filter(({ kind }) => kind === "load-adapter")
    .map(({ adapter }) => adapter);
  const adapter = adapters.find((each) => !loaded.includes(each));
  if (adapter === undefined) return undefined;
  const id = `load-adapter/${prefix}/${adapter}/${suffix}`;
  return { id, kind: "load-adapter", model, version, adapter };
}

/** Returns how many engines of a pool may change at once; at least one. */
export function getMaxConcurrentChanges({ upstreams }: PoolSummary): number {
  return Math.max(1, Math.floor(upstreams.length * MAX_CHANGING_RATIO));
}

/** Whether changing the engine removes no capacity that is in use. */
export function isIdle({ isCold, isInService }: UpstreamSummary): boolean {
  return isCold || !isInService;
}
