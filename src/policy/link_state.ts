/**
 * Decides whether this router's links to the upstreams of a service are down,
 * and keeps which other routers say that of theirs.
 *
 * Load pattern: a router is cut off from all upstreams, while callers, the
 * metadata store and other routers reach it. Each upstream looks as if it had
 * ended: connections to it are refused or hang. An upstream that has ended takes
 * no other with it, so a failure is compared with connections to some others of
 * the service: only if none of them opens, the links are down. What failed says
 * nothing about the upstreams then, and requests go through other routers.
 */

/** A router whose links are down, as one router tells it to another. */
export interface LinkReport {
  readonly router: string;
  readonly service: string;
  /** Time since that router has said so, in milliseconds. */
  readonly ageMs: number;
}

/** Change of the state of the links to a service. */
export type LinkChange = "down" | "up" | "none";

/** Returns the interval of the checks while links are down, in milliseconds. */
export function getDownCheckInterval(routers: number): number {
  return Math.max(DOWN_CHECK_INTERVAL_MS, routers * CHECK_SPACING_MS);
}

interface ServiceLinks {
  isDown: boolean;
  /** Checks in a row in which an upstream was reached while they are down. */
  reachedCount: number;
  /** Time of the last data from any upstream of the service, in ms. */
  dataAt: number;
}

/** Upstreams to which a check connects while the links count as up. */
const CHECKED_UPSTREAMS = 3;
/** Shortest interval of the checks while the links are down, in milliseconds. */
const DOWN_CHECK_INTERVAL_MS = 300;
/**
 * Time between the checks of two routers, in milliseconds. A service that has
 * ended is checked by all of them, and its upstreams have to start under that.
 */
const CHECK_SPACING_MS = 5;
/**
 * Checks in a row that have to reach an upstream until the links count as up; on
 * a lossy link a single one is no proof.
 */
const MIN_REACHED_CHECKS = 2;
/**
 * Time without data from any upstream of a service after which a request that
 * got none is a reason for a check, in milliseconds.
 */
const SILENCE_MS = 300;
/**
 * Age above which data no longer shows that open connections still work, in
 * milliseconds.
 */
const RECENT_DATA_MS = 1_000;
/**
 * Age above which a report no longer holds, in milliseconds; several times the
 * interval at which routers exchange reports.
 */
export const MAX_LINK_REPORT_AGE_MS = 2_500;
/** Reports in one message, which keep it below the size of a datagram. */
export const MAX_LINK_REPORTS = 256;

/** State of this router's links by service, and reports of the other routers. */
export class LinkState {
  readonly #self: string;
  readonly #links = new Map<string, ServiceLinks>();
  /** Times at which routers said that their links are down, in milliseconds. */
  readonly #reports = new Map<string, Map<string, number>>();

  /** `self` is the name of this router. */
  constructor(self: string) {
    this.#self = self;
  }

  /** Records that data came from an upstream of `service`. */
  recordData(service: string, now: number): void {
    this.#getLinks(service).dataAt = now;
  }

  /** Whether no upstream of `service` has sent data for some time. */
  isSilent(service: string, now: number): boolean {
    return now - this.#getLinks(service).dataAt >= SILENCE_MS;
  }

  /** Whether connections that are open still carry data. */
  hasRecentData(service: string, now: number): boolean {
    return now - this.#getLinks(service).dataAt <= RECENT_DATA_MS;
  }

  isDown(service: string): boolean {
    return this.#links.get(service)?.isDown === true;
  }

  /** Number of upstreams of `service` to which a check connects. */
  getCheckedCount(service: string): number {
    return this.isDown(service) ? 1 : CHECKED_UPSTREAMS;
  }

  /** Services to which the links are down. */
  listDown(): string[] {
    return [...this.#links].filter(([, { isDown }]) => isDown)
      .map(([service]) => service);
  }

  /**
   * Records whether a connection opened to any of the `checked` upstreams of a
   * service. Returns what that changes.
   */
  recordCheck(
    service: string,
    { checked, isReached }: { checked: number; isReached: boolean },
  ): LinkChange {
    const links = this.#getLinks(service);
    if (checked === 0) return "none";
    if (!links.isDown) {
      if (isReached) return "none";
      links.isDown = true;
      links.reachedCount = 0;
      return "down";
    }
    links.reachedCount = isReached ? links.reachedCount + 1 : 0;
    if (links.reachedCount < MIN_REACHED_CHECKS) return "none";
    links.isDown = false;
    return "up";
  }

  /** Records that `service` has no upstream left, so that nothing is down. */
  forget(service: string): void {
    this.#links.delete(service);
  }

  /** Whether `router` has said that its links to `service` are down. */
  isDownAt(router: string, service: string, now: number): boolean {
    const at = this.#reports.get(router)?.get(service) ?? -Infinity;
    return now - at <= MAX_LINK_REPORT_AGE_MS;
  }

  /** Returns this router's state and the reports of others that hold. */
  createReports(now: number): LinkReport[] {
    const own = this.listDown()
      .map((service) => ({ router: this.#self, service, ageMs: 0 }));
    const others: LinkReport[] = [];
    for (const [router, services] of this.#reports) {
      for (const [service, at] of services) {
        const ageMs = Math.round(now - at);
        if (ageMs <= MAX_LINK_REPORT_AGE_MS) {
          others.push({ router, service, ageMs });
        } else services.delete(service);
      }
      if (services.size === 0) this.#reports.delete(router);
    }
    return [...own, ...others].slice(0, MAX_LINK_REPORTS);
  }

  /** Merges the reports of another router. */
  receiveReports(reports: readonly LinkReport[], now: number): void {
    for (const { router, service, ageMs } of reports) {
      if (router === this.#self || ageMs > MAX_LINK_REPORT_AGE_MS) continue;
      const services = this.#reports.get(router) ?? new Map<string, number>();
      this.#reports.set(router, services);
      const at = Math.max(services.get(service) ?? -Infinity, now - ageMs);
      services.set(service, at);
    }
  }

  #getLinks(service: string): ServiceLinks {
    let links = this.#links.get(service);
    if (links === undefined) {
      links = { isDown: false, reachedCount: 0, dataAt: -Infinity };
      this.#links.set(service, links);
    }
    return links;
  }
}
