/** Runs the load tool: returning chats and bookings through the routers. */
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
  type KindReport,
  type LoadReport,
  Timeline,
} from "./report.ts";

/** A workspace that surges without notice. */
export interface Surge {
  /** Key of the workspace. */
  readonly key: string;
  /** Turns a second on top of the steady rate. */
  readonly rate: number;
  readonly fromSecond: number;
  readonly seconds: number;
}

/** Options of a run. */
export interface LoadOptions extends ChatsOptions {
  /** `ip:port` of each router. */
  routers: readonly string[];
  /** Used in place of one made for `routers`; the caller closes it. */
  balancer?: Balancer;
  choice?: BalancerChoice;
  /** Time between two looks at a router's readiness; 0 for none. */
  pollMs?: number;
  /** Connections to each router at most. */
  connections?: number;
  /** How long new requests arrive. */
  seconds?: number;
  /** Turns a second. */
  rate?: number;
  surge?: Surge;
  /** Bookings a second. */
  bookingRate?: number;
  bookingPath?: string;
  secondTapShare?: number;
  lateTapShare?: number;
  /** `ip:port` of the plain services, to compare their runs at the end. */
  plainServices?: readonly string[];
  /** Longest wait for a head, and between two parts of a body. */
  timeoutMs?: number;
  /** Ends the arrivals early. */
  signal?: AbortSignal;
  /** Called with each answer and its verdict. */
  onOutcome?: OutcomeHandler;
}

const MS_PER_SECOND = 1_000;
const DEFAULT_TIMEOUT_MS = 90_000;

/** The open requests of a run. */
class OpenRequests {
  readonly #open = new Set<Promise<void>>();
  readonly #failures: unknown[] = [];

  /** Follows a request until it ends. */
  add(request: Promise<void>): void {
    const followed = request
      .catch((failure) => void this.#failures.push(failure))
      .finally(() => this.#open.delete(followed));
    this.#open.add(followed);
  }

  /** Waits for all; throws the first failure of the tool itself. */
  async drain(): Promise<void> {
    await Promise.all(this.#open);
    if (this.#failures.length > 0) throw this.#failures[0];
  }
}

/** Runs the load and reports; every request has ended when it resolves. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const balancer = options.balancer ?? new Balancer(options);
  try {
    return await runWith(balancer, options);
  } finally {
    if (options.balancer === undefined) await balancer.close();
  }
}

async function runWith(
  balancer: Balancer,
  options: LoadOptions,
): Promise<LoadReport> {
  const { seconds = 10, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const started = performance.now();
  const timeline = new Timeline(started);
  const { onOutcome } = options;
  const chatLoad = new ChatLoad({ balancer, timeline, timeoutMs, onOutcome });
  const bookingLoad = createBookingLoad(balancer, options);
  const open = new OpenRequests();
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
    open: OpenRequests;
    started: number;
  },
): Promise<void>[] {
  const { seconds = 10, rate = 20, surge, signal } = options;
  const chats = new Chats(options);
  const steady = runArrivals(() => open.add(chatLoad.sendNext(chats)), {
    random: createRandom(options, 1),
    rate,
    startMs: started,
    endMs: started + seconds * MS_PER_SECOND,
    signal,
  });
  if (surge === undefined) return [steady];
  const seed = (options.seed ?? 1) + 1;
  const extra = new Chats({ ...options, keys: [surge.key], seed });
  const startMs = started + surge.fromSecond * MS_PER_SECOND;
  const surging = runArrivals(() => open.add(chatLoad.sendNext(extra)), {
    random: createRandom(options, 3),
    rate: surge.rate,
    startMs,
    endMs: startMs + surge.seconds * MS_PER_SECOND,
    signal,
  });
  return [steady, surging];
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
    secondTapShare: options.secondTapShare ?? 0.2,
    lateTapShare: options.lateTapShare ?? 0.1,
    timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    onOutcome: options.onOutcome,
  });
}

/** A random source of its own for each use, so that none disturbs another. */
function createRandom({ seed = 1 }: LoadOptions, use: number): Random {
  return new Random(Math.imul(seed, 31) + use);
}

function createReport(
  chatLoad: ChatLoad,
  { options, timeline, bookings, bookingRuns }: {
    options: LoadOptions;
    timeline: Timeline;
    bookings: KindReport;
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
