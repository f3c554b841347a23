/**
 * Mean duration of the requests of each service and route, without the time for
 * which they wait at upstreams.
 *
 * Load pattern: at the start of a burst requests wait at upstreams that have
 * room by what is known, which is up to 0.8 s old. A duration is therefore used
 * a second later, divided by the larger of the loads by slots known before and
 * after it: requests that wait take longer in that proportion. While many wait,
 * urgent ones don't, so that durations of such times only serve as a start.
 */

interface Mean {
  ms: number;
  samples: number;
}

/** Duration of a request that was answered. */
export interface ServiceSample {
  readonly route: string;
  readonly ms: number;
  /** Load of the service by its slots, as known when the request was sent. */
  readonly fill: number;
  /** Time of the answer, in milliseconds. */
  readonly at: number;
}

/** Time after which it is known whether a request waited, in milliseconds. */
const CONFIRMATION_MS = 1_000;
/** Load by slots above which durations only serve as a start. */
const MAX_FILL = 1.5;
/** Durations of a service that await that; the oldest is dropped. */
const MAX_PENDING = 64;
/** Requests after which a mean is used. */
const MIN_SAMPLES = 5;
/** Weight of the newest request after the first ones. */
const MIN_WEIGHT = 1 / 16;
/** Routes that are kept; the one that was first seen is dropped. */
const MAX_ROUTES = 1_024;

/** Mean durations by service and route. */
export class ServiceTimes {
  readonly #means = new Map<string, Mean>();
  readonly #pending = new Map<string, ServiceSample[]>();

  /** Records the duration of a request. */
  record(service: string, sample: ServiceSample): void {
    const pending = this.#pending.get(service) ?? [];
    this.#pending.set(service, pending);
    pending.push(sample);
    if (pending.length > MAX_PENDING) pending.shift();
  }

  /** Uses what was recorded, given the load by slots that is known at `now`. */
  confirm(service: string, { fill, now }: { fill: number; now: number }): void {
    const pending = this.#pending.get(service);
    while (pending?.[0] && now - pending[0].at >= CONFIRMATION_MS) {
      const sample = pending.shift()!;
      const maxFill = Math.max(1, fill, sample.fill);
      const isKnown = this.find(service, sample.route) !== undefined;
      if (maxFill > MAX_FILL && isKnown) continue;
      this.#add(service, sample.route, sample.ms / maxFill);
    }
  }

  #add(service: string, route: string, ms: number): void {
    const key = `${service}\u0000${route}`;
    const mean = this.#means.get(key) ?? { ms: 0, samples: 0 };
    mean.samples++;
    mean.ms += (ms - mean.ms) * Math.max(1 / mean.samples, MIN_WEIGHT);
    this.#means.set(key, mean);
    for (const oldest of this.#means.keys()) {
      if (this.#means.size <= MAX_ROUTES) break;
      this.#means.delete(oldest);
    }
  }

  /** Returns the mean in milliseconds; undefined if too few are known. */
  find(service: string, route: string): number | undefined {
    const mean = this.#means.get(`${service}\u0000${route}`);
    return mean !== undefined && mean.samples >= MIN_SAMPLES
      ? mean.ms
      : undefined;
  }
}
