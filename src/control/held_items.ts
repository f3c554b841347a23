/**
 * Which items of the metadata store a router holds. Items that the configuration
 * or the fleet depends on are needed; of the others, which any program may write,
 * only some are held.
 */
import type { Log } from "../log.ts";
import type { UnusedItems } from "../platform/store_reader.ts";
import { StateRoom } from "../policy/state_room.ts";
import type { RoutingConfiguration, StoreChange } from "../routing/types.ts";

/** What a router does not use of the store. */
export interface StoreGaps extends UnusedItems {
  /** Whether the view may lack items that are needed. */
  readonly isViewPartial: boolean;
}

/** Options of `HeldItems`. */
export interface HeldItemsOptions {
  /** Whether a router of the fleet has this name. */
  readonly isRouter: (name: string) => boolean;
  readonly log: Log;
}

/** The room for the state of the store, and what it lacks. */
export class HeldItems {
  readonly #options: HeldItemsOptions;
  #room: StateRoom;
  /** Services that the configurations name. */
  #namedServices: ReadonlySet<string> = new Set();
  #unused: UnusedItems = { invalid: 0, leftOut: 0 };
  /** Whether items that are needed may be missing for want of room. */
  isViewPartial = false;
  /** Whether a configuration needs items that were left out. */
  #isReadDue = false;

  constructor(options: HeldItemsOptions) {
    this.#options = options;
    this.#room = this.createRoom();
  }

  /** Items that are not used, as of the last read of all items. */
  get gaps(): StoreGaps {
    return { ...this.#unused, isViewPartial: this.isViewPartial };
  }

  /** Whether only a read of all items can complete what is held. */
  get isReadNeeded(): boolean {
    return this.#isReadDue || this.isViewPartial;
  }

  /** Creates the room for a read of many items. */
  createRoom(): StateRoom {
    return new StateRoom({ isNeeded: (change) => this.isNeeded(change) });
  }

  /** Whether a configuration names a service. */
  isNamed(service: string): boolean {
    return this.#namedServices.has(service);
  }

  /** Whether requests or the fleet depend on an item. */
  isNeeded(change: StoreChange): boolean {
    switch (change.kind) {
      case "upstream":
        return this.isNamed(change.entry.service);
      case "versions":
      case "rollout-record":
        return this.isNamed(change.record.service);
      case "rollout-order":
        return this.isNamed(change.order.service);
      case "router":
        return this.#options.isRouter(change.name);
      default:
        return true;
    }
  }

  /**
   * Records the services that `configurations` name; returns those that were not
   * named before.
   */
  recordConfigurations(
    configurations: readonly RoutingConfiguration[],
  ): ReadonlySet<string> {
    const known = this.#namedServices;
    this.#namedServices = new Set(
      configurations.flatMap(({ services, routes }) => [
        ...services.map(({ name }) => name),
        ...routes.flatMap(({ targets }) =>
          targets.map(({ service }) => service)
        ),
      ]),
    );
    const added = [...this.#namedServices].filter((each) => !known.has(each));
    // Their items may be among those that were left out.
    if (added.length > 0 && this.#unused.leftOut > 0) this.#isReadDue = true;
    return new Set(added);
  }

  /** Records a read of all items, which `room` holds. */
  recordRead(room: StateRoom, unused: UnusedItems): void {
    this.#room = room;
    this.#unused = unused;
    this.isViewPartial = false;
    this.#isReadDue = false;
    const { invalid, leftOut } = unused;
    if (invalid === 0 && leftOut === 0) return;
    this.#options.log.warn("Items of the store are not used.", {
      invalid,
      leftOut,
    });
  }

  /** Records that some items that are not needed may be missing. */
  recordLeftOut(): void {
    const { invalid, leftOut } = this.#unused;
    this.#unused = { invalid, leftOut: Math.max(1, leftOut) };
  }

  /** Makes room for a change; returns false if it must not be applied. */
  makeRoom(change: StoreChange): boolean {
    const { log } = this.#options;
    const { kind } = change;
    const finding = this.#room.hold(change);
    if (finding === "held") return true;
    if (finding === "exceeded" && !this.isViewPartial) {
      this.isViewPartial = true;
      log.error("There is no room for items that are needed.", { kind });
    } else if (this.#unused.leftOut === 0) {
      log.warn("There is no room for items that are not needed.", { kind });
    }
    this.recordLeftOut();
    return false;
  }
}
