/**
 * Simulates the platform's load balancer: distributes requests over the routers
 * that report ready. As it polls, it detects late that a router is not ready.
 */
import { type Dispatcher, Pool, request } from "undici";
import { Random } from "./random.ts";

/** How the balancer picks a router. */
export type BalancerChoice = "round-robin" | "random";

/** Options of a balancer. */
export interface BalancerOptions {
  /** `ip:port` of each router. */
  routers: readonly string[];
  choice?: BalancerChoice;
  seed?: number;
  /** Interval for polling the readiness, in ms; 0 disables polling. */
  pollMs?: number;
  /** Maximum number of connections to each router. */
  connections?: number;
}

/** A router and the dispatcher that sends to it. */
export interface RouterTarget {
  readonly address: string;
  readonly dispatcher: Dispatcher;
}

interface PolledTarget extends RouterTarget {
  readonly dispatcher: Pool;
  isReady: boolean;
}

const POLL_TIMEOUT_MS = 1_000;

/** Picks routers and owns the connections to them. */
export class Balancer {
  readonly #options: Required<BalancerOptions>;
  readonly #random: Random;
  readonly #targets = new Map<string, PolledTarget>();
  #nextIndex = 0;
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
      // `close` lets the pending requests finish.
      target.dispatcher.close().catch(() => {});
    }
    for (const address of routers) {
      if (!this.#targets.has(address)) {
        this.#targets.set(address, this.#createTarget(address));
      }
    }
  }

  /** Picks a router; `except` only if there is no other. */
  pick(except?: RouterTarget): RouterTarget {
    const all = [...this.#targets.values()];
    const ready = all.filter((target) => target.isReady);
    const usable = ready.length > 0 ? ready : all;
    const others = usable.filter((target) => target !== except);
    const candidates = others.length > 0 ? others : usable;
    if (this.#options.choice === "random") {
      return this.#random.pick(candidates);
    }
    return candidates[this.#nextIndex++ % candidates.length]!;
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    const targets = [...this.#targets.values()];
    await Promise.all(targets.map(({ dispatcher }) => dispatcher.destroy()));
  }

  #createTarget(address: string): PolledTarget {
    const { connections } = this.#options;
    const dispatcher = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
    });
    return { address, dispatcher, isReady: true };
  }

  async #pollAll(): Promise<void> {
    await Promise.all([...this.#targets.values()].map(pollTarget));
  }
}

async function pollTarget(target: PolledTarget): Promise<void> {
  try {
    const answer = await request(`http://${target.address}/readyz`, {
      signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
      headersTimeout: POLL_TIMEOUT_MS,
    });
    await answer.body.dump();
    target.isReady = answer.statusCode === 200;
  } catch {
    target.isReady = false;
  }
}
