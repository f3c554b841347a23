/**
 * Service order of an admission queue over several priorities.
 *
 * Load pattern: an urgent class shares upstreams with one that is many times as
 * large. Waiters of a higher priority are served first. Those of one priority are
 * ordered by start-time fair queueing (`admission_queue_order.ts`), so that a burst
 * of one workspace delays only itself. Waiters that were refused before have no
 * precedence: they are late already, and would make others late as well.
 */
import {
  type Entry,
  FairQueueOrder,
  type Waiter,
} from "./admission_queue_order.ts";

type Ranked = Pick<Waiter, "priority">;

/** Returns the level of a waiter; the lowest is served first. */
function getLevel({ priority = 0 }: Ranked): number {
  return priority;
}

/** Waiters by priority, in fair queueing order within each. */
export class LevelledQueueOrder {
  /** Orders with waiters, by ascending level. */
  #orders = new Map<number, FairQueueOrder>();

  /** Number of waiters. */
  get length(): number {
    let length = 0;
    for (const order of this.#orders.values()) length += order.length;
    return length;
  }

  /** Adds a waiter. */
  insert(waiter: Waiter): void {
    const level = getLevel(waiter);
    const order = this.#orders.get(level);
    if (order !== undefined) {
      order.insert(waiter);
      return;
    }
    const created = new FairQueueOrder();
    created.insert(waiter);
    this.#orders = new Map(
      [...this.#orders, [level, created] as const]
        .sort(([left], [right]) => left - right),
    );
  }

  /** Finds the first waiter in order that satisfies `test`. */
  find(test: (waiter: Waiter) => boolean): Entry | undefined {
    for (const order of this.#orders.values()) {
      const entry = order.find(test);
      if (entry !== undefined) return entry;
    }
    return undefined;
  }

  /** Finds every waiter that satisfies `test`, in order. */
  filter(test: (waiter: Waiter) => boolean): Entry[] {
    return [...this.#orders.values()].flatMap((order) => order.filter(test));
  }

  /** Removes a served waiter and charges its cost to its workspace. */
  serve(entry: Entry): void {
    this.#orders.get(getLevel(entry.waiter))!.serve(entry);
    this.#deleteEmpty();
  }

  /** Removes waiters that were not served, at no cost to their workspaces. */
  drop(entries: readonly Entry[]): void {
    for (const [level, order] of this.#orders) {
      const own = entries.filter(({ waiter }) => getLevel(waiter) === level);
      if (own.length > 0) order.drop(own);
    }
    this.#deleteEmpty();
  }

  /** Gets the total cost of the waiters served before a new one. */
  getCostAhead(waiter: Ranked & Pick<Waiter, "workspace">): number {
    const level = getLevel(waiter);
    let ahead = 0;
    for (const [each, order] of this.#orders) {
      if (each > level) break;
      ahead += each === level
        ? order.getCostAhead(waiter.workspace)
        : order.totalCost;
    }
    return ahead;
  }

  /**
   * Finds the waiter to shed for a new one: the newest of the workspace that
   * exceeds its share the most, in the last level that has waiters. In the
   * level of `waiter`, that workspace must exceed its share by more than the
   * one of `waiter` would; undefined otherwise.
   */
  findEntryToShed(waiter: Waiter): Entry | undefined {
    const [last, order] = [...this.#orders].at(-1) ?? [];
    const level = getLevel(waiter);
    if (last === undefined || last < level) return undefined;
    return order!.findEntryToShed(last === level ? waiter : undefined);
  }

  #deleteEmpty(): void {
    for (const [level, order] of this.#orders) {
      if (order.length === 0) this.#orders.delete(level);
    }
  }
}
