/**
 * Chooses which routers are told next: all of them in turn, a bounded number
 * each time, so that control traffic does not grow with the fleet.
 */

/** Goes round the fleet; see the module. */
export class PeerRotation {
  readonly #fanOut: number;
  #last = "";

  constructor({ fanOut }: { fanOut: number }) {
    this.#fanOut = fanOut;
  }

  /** The next of `peers`; each is chosen once before any is chosen again. */
  next(peers: readonly string[]): string[] {
    const sorted = [...peers].sort();
    const first = sorted.findIndex((each) => each > this.#last);
    const start = Math.max(0, first);
    const chosen = [...sorted.slice(start), ...sorted.slice(0, start)]
      .slice(0, this.#fanOut);
    this.#last = chosen.at(-1) ?? "";
    return chosen;
  }
}
