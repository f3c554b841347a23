/**
 * Counts how the tries at both sides of a rollout order ended, over all routers.
 *
 * Load pattern: hundreds of routers that each see a few responses of the target
 * a second, too few for a verdict of their own. Their messages may be lost,
 * duplicated or reordered, and the routers may restart. The counters of a
 * process only grow, and two states of it are merged by the maximum of each
 * counter.
 */

/** Upstreams of the order's target, or of all other versions. */
export type RolloutSide = "target" | "other";

/** Number of durations in a bucket; see `getDurationBucket`. */
export type DurationCount = readonly [bucket: number, count: number];

/** What one process has counted on one route and side. */
export interface RolloutRouteRow {
  readonly route: string;
  readonly side: RolloutSide;
  /** Tries that were answered, those at cold upstreams included. */
  readonly answered: number;
  readonly failed: number;
  /** Durations of the answered tries, without those at cold upstreams. */
  readonly durations: readonly DurationCount[];
}

/** What one router process tells the others about one order. */
export interface RolloutRow {
  readonly service: string;
  /** Revision of the order. */
  readonly order: number;
  readonly router: string;
  /** Wall-clock start time of the process, in milliseconds. */
  readonly startedAt: number;
  /** At most `MAX_ROW_ROUTES` routes, each with up to two sides. */
  readonly routes: readonly RolloutRouteRow[];
  /** Requests that the process has in flight at other versions. */
  readonly othersInFlight: number;
  /**
   * Time for which the process had been promoting when it stated
   * `othersInFlight`, in milliseconds; absent before that. It is passed on
   * unchanged and orders the statements of a process.
   */
  readonly promotingMs?: number;
  /** Whether the process has learned of a bad verdict. */
  readonly isBad: boolean;
}

/** Counts of one side in a period. */
export interface SideCounts {
  readonly answered: number;
  readonly failed: number;
  /** Counts of durations by bucket. */
  readonly durations: ReadonlyMap<number, number>;
}

/** Counts that arrived in the same second. */
export interface EvidencePeriod {
  readonly target: SideCounts;
  readonly other: SideCounts;
}

/** Counts of a route over all routers. */
export interface RouteEvidence {
  readonly route: string;
  /** Oldest first; all routes of a summary have the same periods. */
  readonly periods: readonly EvidencePeriod[];
}

/** A try that has ended. */
export interface RolloutTry {
  readonly service: string;
  /** Revision of the order that was in force when the try was sent. */
  readonly order: number;
  readonly side: RolloutSide;
  readonly route: string;
  readonly end: "answered" | "failed";
  /** Time to the end of the response; for a stream, divided by its events. */
  readonly durationMs: number;
  /** False if it was sent while the upstream was cold or had just started. */
  readonly isWarm: boolean;
  readonly now: number;
}

/** What a process states of itself beside its counters. */
export interface RolloutStatement {
  readonly service: string;
  readonly order: number;
  readonly othersInFlight: number;
  /** Time since it learned of the promotion, in milliseconds. */
  readonly promotingMs?: number;
  readonly isBad: boolean;
  readonly now: number;
}

/** Options of `RolloutEvidence`. */
export interface RolloutEvidenceOptions {
  /** Name of this router. */
  readonly self: string;
  /** Wall-clock start time of this process, in milliseconds. */
  readonly startedAt: number;
}

/** Which rows a message is to have. */
export interface RowSelection {
  /** Name of the receiver; rows are not repeated to it without need. */
  readonly receiver?: string;
  /** Whether the rows of a router belong in the message; all by default. */
  readonly includes?: (router: string) => boolean;
  /** Most bytes that the rows may take as JSON; one row is always returned. */
  readonly maxBytes?: number;
}

/** Options of `RolloutEvidence.isOthersIdle`. */
export interface IdleQuery {
  /** Revision of the order. */
  readonly order: number;
  /** The registered routers. */
  readonly routers: Iterable<string>;
  /** Monotonic time at which this router learned of the promotion. */
  readonly since: number;
  /** Longest time that a request may take, in milliseconds. */
  readonly maxAgeMs: number;
  readonly now: number;
}

/** Most routes in a row, `FURTHER_ROUTES` included. */
export const MAX_ROW_ROUTES = 16;
/** Route under which the tries on further routes are counted. */
export const FURTHER_ROUTES = "*";
/** Number of duration buckets: 4 per doubling from 1 ms to 64 s. */
export const DURATION_BUCKETS = 64;
const BUCKETS_PER_DOUBLING = 4;
/** Duration of a period, in milliseconds. */
const PERIOD_MS = 1_000;
/** Periods that are kept of an order; the oldest are merged. */
const MAX_PERIODS = 128;
/** Processes that are kept of an order, which bounds what messages can add. */
const MAX_PROCESSES = 1_024;
/** Time for which a changed row is in every message, in milliseconds. */
const NEWS_MS = 1_000;
/** Time after which an unchanged row is sent again, in milliseconds. */
const REPEAT_MS = 2_000;
/** Default of `RowSelection.maxBytes`: under half of a message. */
const MAX_ROWS_BYTES = 28_000;

/**
 * Returns the bucket of a duration in milliseconds. The buckets of
 * hdr-histogram-js are linear within a doubling, 1 or 16 and more of them, and
 * its counts can't be sent as sparse pairs.
 */
export function getDurationBucket(ms: number): number {
  const bucket = ms > 1 ? Math.floor(getDurationPosition(ms)) : 0;
  return Math.min(bucket, DURATION_BUCKETS - 1);
}

/**
 * Returns the position of a duration on the scale of the buckets, with fraction.
 * The positions of a factor and a duration add up to that of their product.
 */
export function getDurationPosition(ms: number): number {
  return Math.log2(ms) * BUCKETS_PER_DOUBLING;
}

interface MutableCounts extends SideCounts {
  answered: number;
  failed: number;
  readonly durations: Map<number, number>;
}

interface Counter {
  readonly route: string;
  readonly side: RolloutSide;
  readonly counts: MutableCounts;
}

interface ProcessIdentity {
  readonly router: string;
  /** Wall-clock start time, in milliseconds. */
  readonly startedAt: number;
}

/** What is known of one router process. */
interface Process extends ProcessIdentity {
  /** By `getCounterKey`. */
  readonly counters: Map<string, Counter>;
  othersInFlight: number;
  promotingMs: number | undefined;
  isBad: boolean;
  /** Time of the last change that is worth a message. */
  changedAt: number;
  /** Time of the last counter or statement that was new. */
  heardAt: number;
  /** Times at which the row was sent, by receiver. */
  readonly sentAt: Map<string, number>;
}

/** Counts of both sides by route that arrived in one period. */
interface Period {
  readonly index: number;
  readonly routes: Map<string, Record<RolloutSide, MutableCounts>>;
}

interface OrderEvidence {
  readonly service: string;
  readonly order: number;
  readonly processes: Map<string, Process>;
  /** Oldest first. */
  readonly periods: Period[];
}

const SEPARATOR = "\u0000";

function createCounts(): MutableCounts {
  return { answered: 0, failed: 0, durations: new Map() };
}

function getCounterKey(route: string, side: RolloutSide): string {
  return side + SEPARATOR + route;
}

/** Counters of all router processes, by order. */
export class RolloutEvidence {
  /** Identity of this process. */
  readonly #own: ProcessIdentity;
  readonly #orders = new Map<string, OrderEvidence>();

  constructor({ self, startedAt }: RolloutEvidenceOptions) {
    this.#own = { router: self, startedAt };
  }

  /** Records a try of this process that has ended. */
  recordTry(
    { service, order, side, route, end, durationMs, isWarm, now }: RolloutTry,
  ): void {
    const evidence = this.#getOrder(service, order);
    const process = this.#getProcess(evidence, this.#own)!;
    const counter = getCounter(process, { route, side });
    // An answer of a cold upstream counts beside its failures, or services that
    // fail on all versions would seem to fail more while the target is cold.
    const hasDuration = end === "answered" && isWarm;
    const bucket = getDurationBucket(durationMs);
    const { counts } = counter;
    const row: RolloutRouteRow = {
      route: counter.route,
      side,
      answered: counts.answered + (end === "answered" ? 1 : 0),
      failed: counts.failed + (end === "failed" ? 1 : 0),
      durations: hasDuration
        ? [[bucket, (counts.durations.get(bucket) ?? 0) + 1]]
        : [],
    };
    mergeRow(evidence, { process, row, now });
  }

  /** Records what this process states of itself. */
  recordStatement(
    { service, order, now, ...statement }: RolloutStatement,
  ): void {
    const evidence = this.#getOrder(service, order);
    const process = this.#getProcess(evidence, this.#own)!;
    mergeStatement(process, statement, now);
  }

  /**
   * Returns the rows for a message to another router: those that changed a short
   * time ago, and those that it has not been sent for long. What does not fit is
   * first in the next message.
   */
  createRows(
    now: number,
    { receiver = "", includes = () => true, maxBytes = MAX_ROWS_BYTES }:
      RowSelection = {},
  ): RolloutRow[] {
    const due = [...this.#orders.values()].flatMap((evidence) =>
      [...evidence.processes.values()]
        .filter((process) => includes(process.router))
        .map((process) => ({
          evidence,
          process,
          sentAt: process.sentAt.get(receiver) ?? -Infinity,
        }))
        .filter(({ process: { changedAt }, sentAt }) =>
          changedAt >= sentAt || now - changedAt < NEWS_MS ||
          now - sentAt >= REPEAT_MS
        )
    );
    // A bad verdict must not wait for the next message.
    due.sort((one, other) =>
      Number(other.process.isBad) - Number(one.process.isBad) ||
      one.sentAt - other.sentAt
    );
    const rows: RolloutRow[] = [];
    let bytes = 0;
    for (const { evidence, process } of due) {
      const row = createRow(evidence, process);
      bytes += JSON.stringify(row).length + 1;
      if (bytes > maxBytes && rows.length > 0) break;
      rows.push(row);
      process.sentAt.set(receiver, now);
    }
    return rows;
  }

  /** Merges rows of other processes. */
  receiveRows(rows: readonly RolloutRow[], now: number): void {
    for (const { service, order, routes, ...statement } of rows) {
      const evidence = this.#getOrder(service, order);
      const process = this.#getProcess(evidence, statement);
      if (process === undefined) continue;
      for (const row of routes.slice(0, 2 * MAX_ROW_ROUTES)) {
        mergeRow(evidence, { process, row, now });
      }
      mergeStatement(process, statement, now);
    }
  }

  /** Returns the counts of an order by route. */
  summarize(service: string, order: number): RouteEvidence[] {
    const periods = this.#find(service, order)?.periods ?? [];
    const routes = new Set(periods.flatMap((each) => [...each.routes.keys()]));
    const empty = { target: createCounts(), other: createCounts() };
    return [...routes].map((route) => ({
      route,
      periods: periods.map((period) => period.routes.get(route) ?? empty),
    }));
  }

  /** Whether any process has stated a bad verdict. */
  isBad(service: string, order: number): boolean {
    const processes = this.#find(service, order)?.processes.values() ?? [];
    return [...processes].some(({ isBad }) => isBad);
  }

  /**
   * Whether each of `routers` has stated, since it began to promote, that it has
   * no request in flight at other versions. Routers of which nothing new was
   * heard for `maxAgeMs` are not waited for.
   */
  isOthersIdle(
    service: string,
    { order, routers, since, maxAgeMs, now }: IdleQuery,
  ): boolean {
    const latest = new Map<string, Process>();
    for (const each of this.#find(service, order)?.processes.values() ?? []) {
      const known = latest.get(each.router);
      // The requests of an earlier process ended with it.
      if (known === undefined || each.startedAt > known.startedAt) {
        latest.set(each.router, each);
      }
    }
    return [...routers].every((router) => {
      const process = latest.get(router);
      const heardAt = Math.max(since, process?.heardAt ?? since);
      if (now - heardAt >= maxAgeMs) return true;
      return process?.promotingMs !== undefined && process.othersInFlight === 0;
    });
  }

  /** Drops what belongs to no order of `orders`. */
  retainOnly(
    orders: readonly { readonly service: string; readonly revision: number }[],
  ): void {
    const kept = new Set(
      orders.map(({ service, revision }) => getOrderKey(service, revision)),
    );
    for (const key of this.#orders.keys()) {
      if (!kept.has(key)) this.#orders.delete(key);
    }
  }

  #find(service: string, order: number): OrderEvidence | undefined {
    return this.#orders.get(getOrderKey(service, order));
  }

  #getOrder(service: string, order: number): OrderEvidence {
    let evidence = this.#find(service, order);
    if (evidence === undefined) {
      evidence = { service, order, processes: new Map(), periods: [] };
      this.#orders.set(getOrderKey(service, order), evidence);
    }
    return evidence;
  }

  /** Returns a process; undefined if there are too many. */
  #getProcess(
    { processes }: OrderEvidence,
    { router, startedAt }: ProcessIdentity,
  ): Process | undefined {
    const key = router + SEPARATOR + startedAt;
    let process = processes.get(key);
    const isOwn = router === this.#own.router;
    if (process === undefined && (isOwn || processes.size < MAX_PROCESSES)) {
      process = {
        router,
        startedAt,
        counters: new Map(),
        othersInFlight: 0,
        promotingMs: undefined,
        isBad: false,
        changedAt: -Infinity,
        heardAt: -Infinity,
        sentAt: new Map(),
      };
      processes.set(key, process);
    }
    return process;
  }
}

function getOrderKey(service: string, order: number): string {
  return service + SEPARATOR + order;
}

/** Returns the counter of a route; that of the further ones if there are many. */
function getCounter(
  { counters }: Process,
  { route, side }: { route: string; side: RolloutSide },
): Counter {
  const routes = new Set([...counters.values()].map((each) => each.route));
  const isKept = routes.has(route) || routes.size < MAX_ROW_ROUTES - 1;
  const name = isKept ? route : FURTHER_ROUTES;
  const key = getCounterKey(name, side);
  return counters.get(key) ?? { route: name, side, counts: createCounts() };
}

/** Raises the counters to those of `row`, and adds the increase to a period. */
function mergeRow(
  evidence: OrderEvidence,
  { process, row, now }: {
    process: Process;
    row: RolloutRouteRow;
    now: number;
  },
): void {
  const { route, side } = row;
  const key = getCounterKey(route, side);
  const known = process.counters.get(key)?.counts ?? createCounts();
  const answered = Math.max(0, row.answered - known.answered);
  const failed = Math.max(0, row.failed - known.failed);
  const durations = row.durations
    .map(([bucket, count]) =>
      [bucket, count - (known.durations.get(bucket) ?? 0)] as const
    )
    .filter(([, count]) => count > 0);
  if (answered + failed + durations.length === 0) return;
  process.counters.set(key, { route, side, counts: known });
  process.changedAt = now;
  process.heardAt = now;
  const period = getPeriod(evidence, now);
  let sides = period.routes.get(route);
  if (sides === undefined) {
    sides = { target: createCounts(), other: createCounts() };
    period.routes.set(route, sides);
  }
  for (const counts of [known, sides[side]]) {
    addCounts(counts, { answered, failed, durations });
  }
}

function addCounts(
  counts: MutableCounts,
  { answered, failed, durations }: {
    answered: number;
    failed: number;
    durations: Iterable<DurationCount>;
  },
): void {
  counts.answered += answered;
  counts.failed += failed;
  for (const [bucket, count] of durations) {
    counts.durations.set(bucket, (counts.durations.get(bucket) ?? 0) + count);
  }
}

/** Takes a statement unless it is older than the one that is known. */
function mergeStatement(
  process: Process,
  { othersInFlight, promotingMs, isBad }: Pick<
    RolloutRow,
    "othersInFlight" | "promotingMs" | "isBad"
  >,
  now: number,
): void {
  if (isBad && !process.isBad) {
    process.isBad = true;
    process.changedAt = now;
  }
  if (promotingMs === undefined) {
    if (process.promotingMs === undefined) {
      process.othersInFlight = othersInFlight;
    }
    return;
  }
  const isNews = promotingMs > (process.promotingMs ?? -1);
  if (!isNews) return;
  const isIdle = othersInFlight === 0;
  const isChange = process.promotingMs === undefined ||
    isIdle !== (process.othersInFlight === 0);
  process.promotingMs = promotingMs;
  process.othersInFlight = othersInFlight;
  process.heardAt = now;
  if (isChange) process.changedAt = now;
}

/** Returns the current period, the last one of the order. */
function getPeriod({ periods }: OrderEvidence, now: number): Period {
  const index = Math.floor(now / PERIOD_MS);
  const last = periods.at(-1);
  if (last !== undefined && index <= last.index) return last;
  const period = { index, routes: new Map() };
  periods.push(period);
  if (periods.length > MAX_PERIODS) mergePeriods(periods);
  return period;
}

/** Merges the oldest period into the next one. */
function mergePeriods(periods: Period[]): void {
  const oldest = periods.shift()!;
  const next = periods[0]!;
  for (const [route, sides] of oldest.routes) {
    const merged = next.routes.get(route);
    if (merged === undefined) next.routes.set(route, sides);
    else {
      addCounts(merged.target, sides.target);
      addCounts(merged.other, sides.other);
    }
  }
}

function createRow(
  { service, order }: OrderEvidence,
  { router, startedAt, counters, othersInFlight, promotingMs, isBad }: Process,
): RolloutRow {
  const routes = [...counters.values()].map(({ route, side, counts }) => ({
    route,
    side,
    answered: counts.answered,
    failed: counts.failed,
    durations: [...counts.durations].sort(([one], [other]) => one - other),
  }));
  return {
    service,
    order,
    router,
    startedAt,
    routes,
    othersInFlight,
    ...(promotingMs !== undefined && { promotingMs }),
    isBad,
  };
}
