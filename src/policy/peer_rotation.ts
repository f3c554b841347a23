/**
 * Round-robin selection of the routers to send the next message to. The number
 * selected each time is bounded, so that a router's control traffic does not
 * grow with the fleet.
 */

/** Selects peers in turn, at most `fanOut` at a time. */
export class PeerRotation {
  readonly #fanOut: number;
  #lastChosen = "";

  constructor({ fanOut }: { fanOut: number }) {
    this.#fanOut = fanOut;
  }

  /** Selects the next peers; each is chosen once before any is repeated. */
  next(peers: readonly string[]): string[] {
    const sorted = [...peers].sort();
    const first = sorted.findIndex((each) => each > this.#lastChosen);
    const start = Math.max(0, first);
    const chosen = [...sorted.slice(start), ...sorted.slice(0, start)]
      .slice(0, this.#fanOut);
    this.#lastChosen = chosen.at(-1) ?? "";
    return chosen;
  }
}
