/**
 * Checks this router's links to the upstreams by opening connections, and keeps
 * what the checks and the other routers say.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import type { Log } from "../log.ts";
import {
  getDownCheckInterval,
  type LinkReport,
  LinkState,
} from "../policy/link_state.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";

/** Options of a `LinkWatch`. */
export interface LinkWatchOptions {
  /** Name of this router. */
  readonly self: string;
  readonly routing: RoutingView;
  readonly connections: Pick<UpstreamConnections, "isReachable" | "closeIdle">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
  readonly log: Log;
}

/** The links of this router, and what is known of those of the others. */
export class LinkWatch {
  readonly #options: Required<LinkWatchOptions>;
  readonly #state: LinkState;
  /** Checks in progress, by service. */
  readonly #checks = new Map<string, Promise<void>>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LinkWatchOptions) {
    this.#options = { random: Math.random, ...options };
    this.#state = new LinkState(options.self);
  }

  open(): void {
    this.#scheduleChecks();
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  /** Number of services to which the links are down. */
  get downCount(): number {
    return this.#state.listDown().length;
  }

  /** Records that data came from an upstream of `service`. */
  recordData(service: string): void {
    this.#state.recordData(service, this.#options.clock());
  }

  /** Checks the links if nothing has come from `service` lately. */
  recordSilence(service: string): void {
    const isSilent = this.#state.isSilent(service, this.#options.clock());
    if (isSilent && !this.isDown(service)) void this.check(service);
  }

  /** Whether the links to the upstreams of `service` are down. */
  isDown(service: string): boolean {
    return this.#state.isDown(service);
  }

  /** Whether connections to `service` that are open still carry data. */
  hasRecentData(service: string): boolean {
    return this.#state.hasRecentData(service, this.#options.clock());
  }

  /** Whether `router` has said that its links to `service` are down. */
  isDownAt(router: string, service: string): boolean {
    return this.#state.isDownAt(router, service, this.#options.clock());
  }

  /**
   * Checks whether any of some upstreams of `service` can be reached, other than
   * `suspect`, whose failure is the reason. Resolves when the result is known.
   */
  check(service: string, suspect?: string): Promise<void> {
    const pending = this.#checks.get(service);
    if (pending !== undefined) return pending;
    const check = this.#check(service, suspect)
      .finally(() => this.#checks.delete(service));
    this.#checks.set(service, check);
    return check;
  }

  /** Returns the state of the links for other routers. */
  createReports(): LinkReport[] {
    return this.#state.createReports(this.#options.clock());
  }

  /** Merges what another router knows. */
  receiveReports(reports: readonly LinkReport[]): void {
    this.#state.receiveReports(reports, this.#options.clock());
  }

  #scheduleChecks(): void {
    const routers = this.#options.routing.routers().size;
    this.#timer = setTimeout(() => {
      for (const service of this.#state.listDown()) void this.check(service);
      this.#scheduleChecks();
    }, getDownCheckInterval(routers));
  }

  async #check(service: string, suspect: string | undefined): Promise<void> {
    const { routing, connections, clock, log } = this.#options;
    const { directory } = routing;
    const usable = directory.listUsable(service, clock())
      .map(({ entry }) => entry);
    if (usable.length === 0) {
      this.#state.forget(service);
      return;
    }
    const checked = this.#pick(
      usable.filter(({ id }) => id !== suspect),
      this.#state.getCheckedCount(service),
    );
    const isReached = await isAnyTrue(
      checked.map(({ address }) => connections.isReachable(address)),
    );
    const change = this.#state.recordCheck(service, {
      checked: checked.length,
      isReached,
    });
    const fields = { service, checked: checked.length, suspect };
    if (change === "down") {
      log.warn("The links to the upstreams of a service are down.", fields);
    }
    if (change !== "up") return;
    log.info("The links to the upstreams of a service are back.", fields);
    // Bytes that were held up on connections from before arrive late, if at all.
    for (const { entry } of directory.listRegistered(service)) {
      connections.closeIdle(entry.address);
    }
  }

  /** Picks up to `count` different upstreams at random. */
  #pick<T>(upstreams: readonly T[], count: number): T[] {
    const { random } = this.#options;
    const left = [...upstreams];
    const picked: T[] = [];
    while (left.length > 0 && picked.length < count) {
      const index = Math.floor(random() * left.length);
      picked.push(...left.splice(index, 1));
    }
    return picked;
  }
}

/** Resolves with true as soon as one result is true, else when all are known. */
function isAnyTrue(results: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const each of results) void each.then((is) => is && resolve(true));
    void Promise.all(results).then(() => resolve(false));
  });
}
