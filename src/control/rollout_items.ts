/**
 * Which orders and records of rollouts the metadata store holds, so that those
 * that a snapshot lacks are noticed.
 */
import type { StoreChange } from "../routing/types.ts";

/** A change of an order or a record of a rollout. */
export type RolloutChange = Extract<
  StoreChange,
  { readonly kind: `rollout-${string}` }
>;

/** The key of an item, and its revision; undefined if it is gone. */
interface ItemState {
  readonly key: string;
  readonly revision: number | undefined;
}

function getState(change: RolloutChange): ItemState {
  switch (change.kind) {
    case "rollout-order": {
      const { service, revision } = change.order;
      return { key: `order ${service}`, revision };
    }
    case "rollout-record": {
      const { service, revision } = change.record;
      return { key: `record ${service}`, revision };
    }
    case "rollout-order-gone":
      return { key: `order ${change.service}`, revision: undefined };
    case "rollout-record-gone":
      return { key: `record ${change.service}`, revision: undefined };
  }
}

function getService(change: RolloutChange): string {
  switch (change.kind) {
    case "rollout-order":
      return change.order.service;
    case "rollout-record":
      return change.record.service;
    default:
      return change.service;
  }
}

function toGone(change: RolloutChange): RolloutChange {
  switch (change.kind) {
    case "rollout-order":
      return { kind: "rollout-order-gone", service: change.order.service };
    case "rollout-record":
      return { kind: "rollout-record-gone", service: change.record.service };
    default:
      return change;
  }
}

/** Whether a change of the store is of an order or a record of a rollout. */
export function isRolloutChange(change: StoreChange): change is RolloutChange {
  return change.kind.startsWith("rollout-");
}

/** The latest change of each order and record that the store holds. */
export class RolloutItems {
  readonly #items = new Map<string, RolloutChange>();
  /** Items that the store has lost by returning to a copy. */
  readonly #kept = new Set<string>();
  /** Items that were read in an earlier era, whose revisions don't compare. */
  readonly #ofEarlierEra = new Set<string>();

  /** Records a change; returns whether it is one. */
  record(change: RolloutChange): boolean {
    const { key, revision } = getState(change);
    const known = this.#items.get(key);
    const isOfEarlierEra = this.#ofEarlierEra.delete(key);
    this.#kept.delete(key);
    if (revision === undefined) return this.#items.delete(key);
    this.#items.set(key, change);
    return known === undefined || isOfEarlierEra ||
      getState(known).revision !== revision;
  }

  /** Lists the orders and records of `services`. */
  listOf(services: ReadonlySet<string>): RolloutChange[] {
    return [...this.#items.values()]
      .filter((change) => services.has(getService(change)));
  }

  /** Records that the store has returned to a copy. */
  beginEra(): void {
    for (const key of this.#items.keys()) this.#ofEarlierEra.add(key);
  }

  /**
   * Returns the changes that remove what a snapshot with `changes` lacks. With
   * `isKept`, that stays until it is listed by `listKept`.
   */
  listMissing(
    changes: readonly StoreChange[],
    { isKept }: { readonly isKept: boolean },
  ): RolloutChange[] {
    const present = new Set(
      changes.filter(isRolloutChange).map((each) => getState(each).key),
    );
    const missing = [...this.#items].filter(([key]) => !present.has(key));
    if (!isKept) return missing.map(([, change]) => toGone(change));
    for (const [key] of missing) this.#kept.add(key);
    return [];
  }

  /** Returns the changes that remove what was kept and not written again. */
  listKept(): RolloutChange[] {
    return [...this.#kept].map((key) => toGone(this.#items.get(key)!));
  }
}
