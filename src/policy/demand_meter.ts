/**
 * Measures what this router's callers ask of each service, by priority and
 * workspace: requests a second and work.
 *
 * Work is the mean number of requests that would be in flight if none waited.
 * It counts each request that arrives, admitted or not. Requests in flight
 * would drop as soon as some are refused, and routers that know each other's
 * counts 0.5 s late would all refuse and all admit in turn.
 */

/** Demand for a service by requests of one priority and workspace. */
export interface DemandEntry {
  readonly service: string;
  readonly priority: number;
  /** Absent for requests without a workspace and for all others together. */
  readonly workspace?: string;
  /** Requests a second. */
  readonly rate: number;
  /** Mean number of requests in flight if none waited. */
  readonly work: number;
}

/** Identifies what a request counts for. */
export type DemandKey = Pick<
  DemandEntry,
  "service" | "priority" | "workspace"
>;

/** Entries in a message. */
export const MAX_DEMAND_ENTRIES = 64;
/**
 * Length of the names in a message, which keeps it well below the size of a
 * datagram beside the loads.
 */
const MAX_NAMES_LENGTH = 8_192;
/**
 * Time constant of the averages, in milliseconds; some intervals between messages,
 * and short against the bursts of workspaces.
 */
const TIME_CONSTANT_MS = 1_000;
/** Rate below which an entry is dropped, in requests a second. */
const MIN_RATE = 0.01;
/** Entries that are kept. */
const MAX_CELLS = 1_024;
const MS_PER_SECOND = 1_000;
const DECIMALS = 1_000;

interface Cell {
  readonly key: DemandKey;
  rate: number;
  work: number;
  /** Time up to which the averages have decayed, in milliseconds. */
  at: number;
}

/** Returns a text that is equal for equal keys. */
export function encodeDemandKey(
  { service, priority, workspace }: DemandKey,
): string {
  return `${service}\u0000${priority}\u0000${workspace ?? ""}`;
}

function decay(cell: Cell, now: number): void {
  const weight = Math.exp(-Math.max(0, now - cell.at) / TIME_CONSTANT_MS);
  cell.rate *= weight;
  cell.work *= weight;
  cell.at = now;
}

/** Averages of the demand at this router. */
export class DemandMeter {
  readonly #cells = new Map<string, Cell>();

  /** Records the arrival of a request that takes about `workMs`. */
  record(key: DemandKey, workMs: number, now: number): void {
    const id = encodeDemandKey(key);
    let cell = this.#cells.get(id);
    if (cell === undefined) {
      if (this.#cells.size >= MAX_CELLS) this.list(now);
      if (this.#cells.size >= MAX_CELLS) return;
      cell = { key, rate: 0, work: 0, at: now };
      this.#cells.set(id, cell);
    }
    decay(cell, now);
    cell.rate += MS_PER_SECOND / TIME_CONSTANT_MS;
    cell.work += workMs / TIME_CONSTANT_MS;
  }

  /** Returns the demand, and drops what is over. */
  list(now: number): DemandEntry[] {
    const entries: DemandEntry[] = [];
    for (const [id, cell] of this.#cells) {
      decay(cell, now);
      const { key, rate, work } = cell;
      if (rate < MIN_RATE) this.#cells.delete(id);
      else entries.push({ ...key, rate, work });
    }
    return entries;
  }
}

/** Adds up the entries of each key, each multiplied by `factor`. */
export function addDemand(
  entries: readonly DemandEntry[],
  factor = 1,
): DemandEntry[] {
  const sums = new Map<string, DemandEntry>();
  for (const entry of entries) {
    const id = encodeDemandKey(entry);
    const { rate = 0, work = 0 } = sums.get(id) ?? {};
    sums.set(id, {
      ...entry,
      rate: rate + entry.rate * factor,
      work: work + entry.work * factor,
    });
  }
  return [...sums.values()];
}

function round(value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS;
}

/**
 * Limits entries to what a message may hold, largest first. Those that don't fit
 * are added to the entry of their service and priority without a workspace, so
 * that the sums stay.
 */
export function limitDemand(entries: readonly DemandEntry[]): DemandEntry[] {
  const sorted = addDemand(entries)
    .sort((left, right) => right.work - left.work || right.rate - left.rate);
  // Each priority of a service needs an entry for what does not fit.
  const rests = new Set(
    sorted.map(({ service, priority }) =>
      encodeDemandKey({ service, priority })
    ),
  );
  let left = MAX_DEMAND_ENTRIES - rests.size;
  let length = 0;
  const limited = sorted.map((entry): DemandEntry => {
    const { service, priority, rate, work, workspace } = entry;
    if (workspace === undefined) return entry;
    length += service.length + workspace.length;
    if (--left >= 0 && length <= MAX_NAMES_LENGTH) return entry;
    return { service, priority, rate, work };
  });
  return addDemand(limited)
    .sort((one, other) => other.work - one.work)
    .slice(0, MAX_DEMAND_ENTRIES)
    .map((entry) => ({
      ...entry,
      rate: round(entry.rate),
      work: round(entry.work),
    }));
}
