/**
 * The platform's balancer as the load tool plays it: sprays requests over the
 * routers that say they are ready, and notices late when one no longer is.
 */
import { type Dispatcher, Pool, request } from "undici";
import { Random } from "./random.ts";

/** How the balancer picks. */
export type BalancerChoice = "round-robin" | "random";

/** Options of a balancer. */
export interface BalancerOptions {
  /** `ip:port` of each router. */
  routers: readonly string[];
  choice?: BalancerChoice;
  seed?: number;
  /** Time between two looks at a router's readiness; 0 for none. */
  pollMs?: number;
  /** Connections to each router at most. */
  connections?: number;
}

/** One router as the balancer sees it. */
export interface RouterTarget {
  readonly address: string;
  readonly dispatcher: Dispatcher;
}

interface Target extends RouterTarget {
  readonly dispatcher: Pool;
  ready: boolean;
}

const POLL_TIMEOUT_MS = 1_000;

/** Picks routers and holds the connections to them. */
export class Balancer {
  readonly #options: Required<BalancerOptions>;
  readonly #random: Random;
  readonly #targets = new Map<string, Target>();
  #turn = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    {
      routers,
      choice = "round-robin",
      seed = 1,
      pollMs = 500,
      connections = 128,
    }: BalancerOptions,
  ) {
    this.#options = { routers, choice, seed, pollMs, connections };
    this.#random = new Random(seed);
    this.setRouters(routers);
    if (pollMs === 0) return;
    this.#timer = setInterval(() => void this.#pollAll(), pollMs);
    this.#timer.unref();
  }

  /** Replaces the list of routers. */
  setRouters(routers: readonly string[]): void {
    for (const [address, target] of this.#targets) {
      if (routers.includes(address)) continue;
      this.#targets.delete(address);
      // Requests that are still open get to finish.
      target.dispatcher.close().catch(() => {});
    }
    for (const address of routers) {
      if (!this.#targets.has(address)) {
        this.#targets.set(address, this.#createTarget(address));
      }
    }
  }

  /** Picks a router, another one than `except` where there is one. */
  pick(except?: RouterTarget): RouterTarget {
    const all = [...this.#targets.values()];
    const ready = all.filter((target) => target.ready);
    const usable = ready.length > 0 ? ready : all;
    const others = usable.filter((target) => target !== except);
    const candidates = others.length > 0 ? others : usable;
    if (this.#options.choice === "random") {
      return this.#random.pick(candidates);
    }
    return candidates[this.#turn++ % candidates.length]!;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    const targets = [...this.#targets.values()];
    await Promise.all(targets.map(({ dispatcher }) => dispatcher.destroy()));
  }

  #createTarget(address: string): Target {
    const { connections } = this.#options;
    const dispatcher = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
    });
    return { address, dispatcher, ready: true };
  }

  async #pollAll(): Promise<void> {
    await Promise.all([...this.#targets.values()].map(pollTarget));
  }
}

async function pollTarget(target: Target): Promise<void> {
  try {
    const answer = await request(`http://${target.address}/readyz`, {
      signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
      headersTimeout: POLL_TIMEOUT_MS,
    });
    await answer.body.dump();
    target.ready = answer.statusCode === 200;
  } catch {
    target.ready = false;
  }
}
