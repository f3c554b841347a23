/** Orders to the stand-in engine, with or without a check of fencing numbers. */

/** An order to load something or to change role. */
export interface Order {
  readonly id: string;
  readonly fence: number;
  readonly kind: "load-model" | "load-adapter" | "set-role";
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: string;
}

/** The orders that an engine carried out. */
export class Orders {
  readonly #checksFencing: boolean;
  readonly #done: Order[] = [];
  #newestFence = -Infinity;

  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  /** Orders carried out, oldest first; a repeated one stands twice. */
  get done(): readonly Order[] {
    return this.#done;
  }

  /** Carries an order out; false when it carries an older fencing number. */
  tryCarryOut(order: Order): boolean {
    if (this.#checksFencing && order.fence < this.#newestFence) return false;
    this.#newestFence = Math.max(this.#newestFence, order.fence);
    this.#done.push(order);
    return true;
  }
}
