/**
 * Estimates how many requests each upstream holds.
 *
 * A router knows its own requests exactly. Those of the others it knows from
 * what they tell, or, where too few of them are heard, from the load that
 * upstreams state on their answers. What others had at that time fades into
 * their mean, since they end while no answer says so.
 */
import type { UpstreamLoad } from "../routing/types.ts";

interface Load {
  own: number;
  /** Requests of other routers, as of the last statement. */
  foreign: number;
  statedAt: number;
}

/** Time in which a statement loses half of its weight, in milliseconds. */
const HALF_LIFE_MS = 2_000;

/** See the module. */
export class UpstreamLoads {
  readonly #loads = new Map<string, Load>();

  noteSent(upstream: string): void {
    this.#get(upstream).own++;
  }

  noteEnded(upstream: string): void {
    const load = this.#get(upstream);
    load.own = Math.max(0, load.own - 1);
  }

  /** Notes what an upstream says of its load on an answer to this router. */
  noteStated(
    upstream: string,
    { running, waiting }: UpstreamLoad,
    now: number,
  ): void {
    const load = this.#get(upstream);
    load.foreign = Math.max(0, running + waiting - load.own);
    load.statedAt = now;
  }

  ownOf(upstream: string): number {
    return this.#loads.get(upstream)?.own ?? 0;
  }

  /** Own requests by upstream, for those that have any. */
  listOwn(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [upstream, { own }] of this.#loads) {
      if (own > 0) counts[upstream] = own;
    }
    return counts;
  }

  /**
   * Estimates the requests at each of `upstreams`. Where `foreign` is given, it
   * holds those of the other routers, if they have any.
   */
  estimate(
    upstreams: readonly string[],
    { now, foreign: told }: {
      now: number;
      foreign?: ReadonlyMap<string, number> | undefined;
    },
  ): number[] {
    const loads = upstreams.map((each) => this.#get(each));
    if (told !== undefined) {
      return loads.map(({ own }, index) =>
        own + (told.get(upstreams[index]!) ?? 0)
      );
    }
    const foreign = loads.reduce((sum, each) => sum + each.foreign, 0);
    const mean = loads.length === 0 ? 0 : foreign / loads.length;
    return loads.map((each) => {
      const weight = 0.5 ** ((now - each.statedAt) / HALF_LIFE_MS);
      return each.own + mean + (each.foreign - mean) * weight;
    });
  }

  /** Forgets upstreams that are not in `known` and hold nothing. */
  prune(isKnown: (upstream: string) => boolean): void {
    for (const [upstream, { own }] of this.#loads) {
      if (own === 0 && !isKnown(upstream)) this.#loads.delete(upstream);
    }
  }

  #get(upstream: string): Load {
    let load = this.#loads.get(upstream);
    if (load === undefined) {
      load = { own: 0, foreign: 0, statedAt: 0 };
      this.#loads.set(upstream, load);
    }
    return load;
  }
}
