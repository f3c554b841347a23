/** Executes orders to the stand-in engine, with an optional fencing check. */

/** An order to load a model or an adapter, or to change the engine's role. */
export interface Order {
  readonly id: string;
  /** Fencing number; outdated once an order with a larger one was executed. */
  readonly fence: number;
  readonly kind: "load-model" | "load-adapter" | "set-role";
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: string;
}

/** Orders that an engine has executed. */
export class Orders {
  readonly #checksFencing: boolean;
  readonly #executed: Order[] = [];
  #newestFence = -Infinity;

  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  /** Executed orders, oldest first; a repeated order is listed each time. */
  get done(): readonly Order[] {
    return this.#executed;
  }

  /** Executes an order; returns false when its fencing number is outdated. */
  tryExecute(order: Order): boolean {
    if (this.#checksFencing && order.fence < this.#newestFence) return false;
    this.#newestFence = Math.max(this.#newestFence, order.fence);
    this.#executed.push(order);
    return true;
  }
}
