/**
 * Learns the usual demand of each workspace for a service, by which capacity is
 * shared when it does not suffice.
 *
 * Load pattern: a workspace sends 7.5 times its usual for some seconds. What
 * counts as usual follows slowly, and a burst raises it no faster than a demand
 * of twice the usual would.
 */
import type { DemandEntry } from "./demand_meter.ts";

interface Usual {
  work: number;
  readonly since: number;
  at: number;
}

/** Half-lives of the approach to a higher and to a lower demand, in ms. */
const RISE_HALF_LIFE_MS = 60_000;
const FALL_HALF_LIFE_MS = 300_000;
/** Demand that counts at most, relative to the usual. */
const MAX_FACTOR = 2;
/**
 * Time in which the first estimate is taken as it comes, in milliseconds;
 * averages of the demand start from 0.
 */
const WARM_UP_MS = 10_000;
/** Usual work below which a workspace is forgotten. */
const MIN_WORK = 0.000_1;

/** Returns a text that is equal for equal services and workspaces. */
function encodeKey(service: string, workspace: string | undefined): string {
  return `${service}\u0000${workspace ?? ""}`;
}

/** Usual work by service and workspace. */
export class UsualDemand {
  readonly #usual = new Map<string, Usual>();

  /** Returns the usual work of a workspace, 0 if it is unknown. */
  getWork(service: string, workspace: string | undefined): number {
    return this.#usual.get(encodeKey(service, workspace))?.work ?? 0;
  }

  /** Learns from the present demand of all routers. */
  update(entries: readonly DemandEntry[], now: number): void {
    const sums = new Map<string, number>();
    for (const { service, workspace, work } of entries) {
      const key = encodeKey(service, workspace);
      sums.set(key, (sums.get(key) ?? 0) + work);
    }
    for (const [key, work] of sums) {
      if (work >= MIN_WORK && !this.#usual.has(key)) {
        this.#usual.set(key, { work, since: now, at: now });
      }
    }
    for (const [key, usual] of this.#usual) {
      approach(usual, { work: sums.get(key) ?? 0, now });
      if (usual.work < MIN_WORK) this.#usual.delete(key);
    }
  }
}

function approach(
  usual: Usual,
  { work, now }: { work: number; now: number },
): void {
  const elapsedMs = Math.max(0, now - usual.at);
  usual.at = now;
  if (now - usual.since < WARM_UP_MS) {
    usual.work = Math.max(usual.work, work);
    return;
  }
  const target = Math.min(work, MAX_FACTOR * usual.work);
  const halfLife = target > usual.work ? RISE_HALF_LIFE_MS : FALL_HALF_LIFE_MS;
  usual.work = target + (usual.work - target) * 0.5 ** (elapsedMs / halfLife);
}
