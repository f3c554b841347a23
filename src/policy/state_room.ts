/**
 * Decides which items of the metadata store a router holds.
 *
 * Load pattern: another program writes tens of thousands of items that can be
 * read and that no request needs, such as entries of services without a route.
 * Items that are needed have room of their own, which the others can't take.
 */
import type { StoreChange } from "../routing/types.ts";

/** Kind of an item that the routing state holds by its key. */
export type HeldKind =
  | "upstream"
  | "router"
  | "domain-out"
  | "versions"
  | "rollout-order"
  | "rollout-record";

/**
 * Whether an item may be held. `left-out`: it is not needed, and the room for
 * such items is taken. `exceeded`: it is needed, and even that room is taken.
 */
export type RoomFinding = "held" | "left-out" | "exceeded";

/** Options of a `StateRoom`. */
export interface StateRoomOptions {
  /** Whether requests or the fleet depend on an item. */
  readonly isNeeded: (change: StoreChange) => boolean;
  /** Most items of a kind that are needed; 32,768 by default. */
  readonly maxNeeded?: number;
  /** Most items of a kind that are not needed; 4,096 by default. */
  readonly maxOthers?: number;
}

/** What a change means for the room of its kind. */
interface Claim {
  readonly kind: HeldKind;
  readonly key: string;
  /** Size in units of an upstream's entry; 0 if the item is gone. */
  readonly size: number;
}

/** The items of one kind, by key, with their sizes. */
interface KindRoom {
  readonly needed: SizedItems;
  readonly others: SizedItems;
}

/**
 * The largest fleets have 12,000 upstreams and hundreds of routers. A decoded
 * entry takes about a kilobyte.
 */
const MAX_NEEDED = 32_768;
/** Lets a service have upstreams before the first configuration that names it. */
const MAX_OTHERS = 4_096;

class SizedItems {
  readonly #sizes = new Map<string, number>();
  #total = 0;

  /** Sets the size of an item; false if the total would exceed `max`. */
  set(key: string, size: number, max: number): boolean {
    const total = this.#total - (this.#sizes.get(key) ?? 0) + size;
    if (total > max) return false;
    this.#sizes.set(key, size);
    this.#total = total;
    return true;
  }

  delete(key: string): void {
    this.#total -= this.#sizes.get(key) ?? 0;
    this.#sizes.delete(key);
  }
}

function toClaim(change: StoreChange): Claim | undefined {
  switch (change.kind) {
    case "upstream":
      return { kind: "upstream", key: change.entry.id, size: 1 };
    case "upstream-gone":
      return { kind: "upstream", key: change.id, size: 0 };
    case "router":
      return { kind: "router", key: change.name, size: 1 };
    case "router-gone":
      return { kind: "router", key: change.name, size: 0 };
    case "domain-out":
      return { kind: "domain-out", key: change.failureDomain, size: 1 };
    case "domain-back":
      return { kind: "domain-out", key: change.failureDomain, size: 0 };
    case "versions": {
      const { service, versions } = change.record;
      return { kind: "versions", key: service, size: 1 + versions.length };
    }
    case "rollout-order":
      return { kind: "rollout-order", key: change.order.service, size: 1 };
    case "rollout-order-gone":
      return { kind: "rollout-order", key: change.service, size: 0 };
    case "rollout-record":
      return { kind: "rollout-record", key: change.record.service, size: 1 };
    case "rollout-record-gone":
      return { kind: "rollout-record", key: change.service, size: 0 };
    case "configuration":
    case "unreadable":
      return undefined;
  }
}

/** The room of a router for the state of the store. */
export class StateRoom {
  readonly #isNeeded: (change: StoreChange) => boolean;
  readonly #maxNeeded: number;
  readonly #maxOthers: number;
  readonly #kinds = new Map<HeldKind, KindRoom>();

  constructor(
    { isNeeded, maxNeeded = MAX_NEEDED, maxOthers = MAX_OTHERS }:
      StateRoomOptions,
  ) {
    this.#isNeeded = isNeeded;
    this.#maxNeeded = maxNeeded;
    this.#maxOthers = maxOthers;
  }

  /**
   * Makes room for the item that a change writes, or gives up the room of one
   * that is gone. An item without room gives up what its earlier value had.
   */
  hold(change: StoreChange): RoomFinding {
    const claim = toClaim(change);
    if (claim === undefined) return "held";
    const { key, size } = claim;
    const { needed, others } = this.#getKind(claim.kind);
    const isNeeded = size > 0 && this.#isNeeded(change);
    (isNeeded ? others : needed).delete(key);
    const items = isNeeded ? needed : others;
    if (size === 0) items.delete(key);
    else if (
      !items.set(key, size, isNeeded ? this.#maxNeeded : this.#maxOthers)
    ) {
      items.delete(key);
      return isNeeded ? "exceeded" : "left-out";
    }
    return "held";
  }

  #getKind(kind: HeldKind): KindRoom {
    let room = this.#kinds.get(kind);
    if (room === undefined) {
      room = { needed: new SizedItems(), others: new SizedItems() };
      this.#kinds.set(kind, room);
    }
    return room;
  }
}
