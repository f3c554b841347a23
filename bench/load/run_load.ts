/** Runs the load tool: sends returning chats and bookings to the routers. */
import { performance } from "node:perf_hooks";
import { runArrivals } from "./arrivals.ts";
import { Balancer, type BalancerChoice } from "./balancer.ts";
import type { OutcomeHandler } from "./outcome.ts";
import { BookingLoad } from "./booking_load.ts";
import { ChatLoad } from "./chat_load.ts";
import { Chats, type ChatsOptions } from "./chats.ts";
import { Random } from "./random.ts";
import {
  type BookingRuns,
  getSkew,
  type LoadReport,
  type OutcomeReport,
  Timeline,
} from "./report.ts";

/** A sudden increase of one workspace's load. */
export interface Surge {
  /** Key of the workspace. */
  readonly key: string;
  /** Turns per second in addition to the steady rate. */
  readonly rate: number;
  readonly fromSecond: number;
  readonly seconds: number;
}

/** Options of `runLoad`. */
export interface LoadOptions extends ChatsOptions {
  /** `ip:port` of each router. */
  routers: readonly string[];
  /** Used instead of a new balancer for `routers`; the caller closes it. */
  balancer?: Balancer;
  choice?: BalancerChoice;
  /** Interval for polling the readiness, in ms; 0 disables polling. */
  pollMs?: number;
  /** Maximum number of connections to each router. */
  connections?: number;
  /** How long new requests arrive, in seconds. */
  seconds?: number;
  /** Turns per second. */
  rate?: number;
  surge?: Surge;
  /** Bookings per second. */
  bookingRate?: number;
  bookingPath?: string;
  concurrentDuplicateShare?: number;
  lateDuplicateShare?: number;
  /** `ip:port` of the plain services whose runs are compared at the end. */
  plainServices?: readonly string[];
  /** Maximum wait for a head, and between two chunks of a body, in ms. */
  timeoutMs?: number;
  /** Ends the arrivals before `seconds` have passed. */
  signal?: AbortSignal;
  /** Called with each response and its outcome. */
  onOutcome?: OutcomeHandler;
}

const MS_PER_SECOND = 1_000;
const DEFAULT_TIMEOUT_MS = 90_000;

/** The pending requests of a run. */
class PendingRequests {
  readonly #pending = new Set<Promise<void>>();
  readonly #failures: unknown[] = [];

  /** Adds a request, which is removed when it ends. */
  add(request: Promise<void>): void {
    const tracked = request
      .catch((failure) => void this.#failures.push(failure))
      .finally(() => this.#pending.delete(tracked));
    this.#pending.add(tracked);
  }

  /**
   * Waits for all requests.
   * @throws the first failure of the load tool itself
   */
  async drain(): Promise<void> {
    await Promise.all(this.#pending);
    if (this.#failures.length > 0) throw this.#failures[0];
  }
}

/** Runs the load; resolves with the report once every request has ended. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const balancer = options.balancer ?? new Balancer(options);
  try {
    return await runWithBalancer(balancer, options);
  } finally {
    if (options.balancer === undefined) await balancer.close();
  }
}

async function runWithBalancer(
  balancer: Balancer,
  options: LoadOptions,
): Promise<LoadReport> {
  const { seconds = 10, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const started = performance.now();
  const timeline = new Timeline(started);
  const { onOutcome } = options;
  const chatLoad = new ChatLoad({ balancer, timeline, timeoutMs, onOutcome });
  const bookingLoad = createBookingLoad(balancer, options);
  const open = new PendingRequests();
  await Promise.all([
    ...startChats(chatLoad, { options, open, started }),
    runArrivals(() => open.add(bookingLoad.bookNext()), {
      random: createRandom(options, 2),
      rate: options.bookingRate ?? 0,
      startMs: started,
      endMs: started + seconds * MS_PER_SECOND,
      signal: options.signal,
    }),
  ]);
  await open.drain();
  const services = options.plainServices ?? [];
  const bookingRuns = services.length > 0
    ? await bookingLoad.getRuns(services)
    : undefined;
  return createReport(chatLoad, {
    options,
    timeline,
    bookings: bookingLoad.counts.getReport(),
    bookingRuns,
  });
}

function startChats(
  chatLoad: ChatLoad,
  { options, open, started }: {
    options: LoadOptions;
    open: PendingRequests;
    started: number;
  },
): Promise<void>[] {
  const { seconds = 10, rate = 20, surge, signal } = options;
  const chats = new Chats(options);
  const steadyArrivals = runArrivals(() => open.add(chatLoad.sendNext(chats)), {
    random: createRandom(options, 1),
    rate,
    startMs: started,
    endMs: started + seconds * MS_PER_SECOND,
    signal,
  });
  if (surge === undefined) return [steadyArrivals];
  const seed = (options.seed ?? 1) + 1;
  const surgeChats = new Chats({ ...options, keys: [surge.key], seed });
  const startMs = started + surge.fromSecond * MS_PER_SECOND;
  const surgeArrivals = runArrivals(
    () => open.add(chatLoad.sendNext(surgeChats)),
    {
      random: createRandom(options, 3),
      rate: surge.rate,
      startMs,
      endMs: startMs + surge.seconds * MS_PER_SECOND,
      signal,
    },
  );
  return [steadyArrivals, surgeArrivals];
}

function createBookingLoad(
  balancer: Balancer,
  options: LoadOptions,
): BookingLoad {
  return new BookingLoad({
    balancer,
    random: createRandom(options, 4),
    keys: options.keys,
    seed: options.seed ?? 1,
    path: options.bookingPath ?? "/bookings",
    concurrentDuplicateShare: options.concurrentDuplicateShare ?? 0.2,
    lateDuplicateShare: options.lateDuplicateShare ?? 0.1,
    timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    onOutcome: options.onOutcome,
  });
}

/** Creates an independent generator for each `useNumber` of a run. */
function createRandom({ seed = 1 }: LoadOptions, useNumber: number): Random {
  return new Random(Math.imul(seed, 31) + useNumber);
}

function createReport(
  chatLoad: ChatLoad,
  { options, timeline, bookings, bookingRuns }: {
    options: LoadOptions;
    timeline: Timeline;
    bookings: OutcomeReport;
    bookingRuns: BookingRuns | undefined;
  },
): LoadReport {
  const byKey = [...chatLoad.countsByKey]
    .map(([key, counts]) => [key, counts.getReport()] as const);
  return {
    seed: options.seed ?? 1,
    seconds: options.seconds ?? 10,
    chats: chatLoad.counts.getReport(),
    chatsByKey: Object.fromEntries(byKey),
    bookings,
    skipped: chatLoad.skipped,
    firstTokenMs: chatLoad.firstToken.getQuantiles(),
    betweenTokensMs: chatLoad.betweenTokens.getQuantiles(),
    wholeAnswerMs: chatLoad.wholeAnswer.getQuantiles(),
    cacheReuse: chatLoad.getCacheReuse(),
    perUpstream: chatLoad.perUpstream,
    upstreamSkew: getSkew(chatLoad.perUpstream),
    timeline: timeline.getSeconds(),
    bookingRuns,
  };
}
