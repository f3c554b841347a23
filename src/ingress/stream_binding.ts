/**
 * Binds a stream that may be resumed to the software version that makes its
 * first event, within the answer and for requests that resume it later.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { RoutingView } from "../control/routing_controller.ts";
import type { StreamExchange } from "../control/stream_exchange.ts";
import type { StreamPosition } from "../policy/event_order.ts";
import { createStreamKey } from "../policy/request_digest.ts";
import { isSameProcess, type ReportedStart } from "../policy/process_proofs.ts";
import { MAX_STREAM_MS, type StreamOrigin } from "../policy/stream_origins.ts";
import type { VersionFinding } from "../policy/version_history.ts";
import type {
  RoutedService,
  ServiceRoute,
  UpstreamEntry,
} from "../routing/types.ts";
import type { IngressExchange } from "./ingress_exchange.ts";
import type { ProcessChecks } from "./process_check.ts";

/** Options of a `StreamBinding`. */
export interface StreamBindingOptions {
  readonly routing: Pick<RoutingView, "directory" | "confirmView">;
  readonly processes: Pick<ProcessChecks, "ask" | "isProven">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Called when an upstream is not the process of its entry. */
  readonly onOtherProcess: (upstream: string) => void;
  readonly streams: Pick<
    StreamExchange,
    "find" | "recordStart" | "recordEnd"
  >;
}

/**
 * Shortest time for which a stream is taken to last, with all requests for it, in
 * milliseconds. Callers resume streams until their own time limit, which may be
 * longer than the route's timeout; twice the longest that the users state.
 */
const MIN_STREAM_SPAN_MS = 30_000;
/** No upstream has this version. */
const NO_VERSION = "\u0000";
/**
 * Told to other routers in place of a version that is in doubt, so that they
 * don't guess it. Routers of an older release look for upstreams that have it.
 */
const UNSETTLED_VERSION = "(unsettled)";
/** Calls to an upstream that does not state when it started. */
const MAX_ASKS = 3;
/** Interval of these calls, in milliseconds. */
const SETTLE_INTERVAL_MS = 100;
/** Interval of looks at the view of the upstreams, in milliseconds. */
const LOOK_INTERVAL_MS = 250;
/**
 * Time for which an answer that broke off waits for the version of its stream,
 * in milliseconds; exceeds the time for a report and a read of the store. Callers
 * abandon a stream after two seconds without an event.
 */
const MAX_SETTLE_WAIT_MS = 800;

/** A stream of which it is not certain which process began it. */
interface StreamDoubt {
  /** Entry by which the upstream was chosen. */
  readonly entry: UpstreamEntry;
  /** Time for which an upstream that has started is cold, in milliseconds. */
  readonly coldStartMs: number;
  /** Monotonic time of the first event, in milliseconds. */
  readonly startedAt: number;
}

/** The binding of the stream that one request begins or resumes. */
export class StreamBinding {
  readonly #route: ServiceRoute;
  readonly #options: StreamBindingOptions;
  readonly #key: string;
  readonly #isResumption: boolean;
  #softwareVersion: string | undefined;
  /** Ids of the upstreams whose process was checked. */
  readonly #checked = new Set<string>();
  #hasEnded = false;
  #isRunning = false;
  #origin: StreamOrigin | undefined;
  /** Upstream that began the stream, while it goes on with it. */
  #connectedId: string | undefined;
  #doubt: StreamDoubt | undefined;
  #lookTimer: NodeJS.Timeout | undefined;
  /** Monotonic times, in milliseconds. */
  #lastDataAt = -Infinity;
  #otherEntryAt: number | undefined;
  /** Settles when the version of the stream is known or given up. */
  #settling: Promise<void> | undefined;

  constructor(
    { traits, workspace, route }: IngressExchange,
    options: StreamBindingOptions,
  ) {
    const { lastEventId, resumedId, requestId } = traits;
    this.#route = route!;
    this.#options = options;
    this.#key = createStreamKey(workspace?.name, resumedId ?? requestId);
    this.#isResumption = this.#isResumable &&
      (lastEventId !== undefined || resumedId !== undefined);
  }

  /** Whether the caller has events of a stream that the route lets resume. */
  get isResumption(): boolean {
    return this.#isResumption;
  }

  /** What began the stream, as far as that is certain. */
  get origin(): StreamOrigin | undefined {
    return this.#origin;
  }

  /** Version that the stream is bound to; undefined while it may have any. */
  get softwareVersion(): string | undefined {
    return this.#softwareVersion;
  }

  /**
   * Finds out what began the stream that the caller resumes, and binds it to
   * that; undefined if no router knows.
   */
  async findOrigin(service: string): Promise<StreamOrigin | undefined> {
    const origin = await this.#options.streams.find(this.#key, {
      service,
      spanMs: this.#spanMs,
    });
    const proven = origin?.softwareVersion === UNSETTLED_VERSION
      ? await this.#proveOrigin(origin)
      : origin;
    this.#softwareVersion = proven?.softwareVersion;
    const position = origin?.position;
    return proven && position ? { ...proven, position } : proven;
  }

  /**
   * Asks the upstream that began a stream, if its process was that of its entry,
   * whether that process still runs; it has made the first event then.
   */
  async #proveOrigin(
    { service, unproven }: StreamOrigin,
  ): Promise<StreamOrigin | undefined> {
    if (unproven === undefined) return undefined;
    const { upstream, bornAt, softwareVersion } = unproven;
    const { routing, processes } = this.#options;
    const origin = { service, softwareVersion };
    const entry = routing.directory.find(upstream)?.entry;
    if (entry?.bornAt === bornAt) {
      const { start } = await processes.ask(entry.address);
      if (isSameProcess(entry, start)) return origin;
      if (start.kind === "stated") return undefined;
    }
    return await this.#isSoleVersion(origin) ? origin : undefined;
  }

  /**
   * Whether a service has had one version only for as long as the stream can
   * have lasted, by a view that the store confirms now. Decides for a process
   * that has ended, which can't be asked.
   */
  async #isSoleVersion(
    { service, softwareVersion }: StreamOrigin,
  ): Promise<boolean> {
    if (!await this.#options.routing.confirmView()) return false;
    const finding = this.#findVersions(service);
    return finding.kind === "sole" && finding.version === softwareVersion;
  }

  #findVersions(service: string): VersionFinding {
    const { routing, clock } = this.#options;
    const spanMs = Math.min(this.#spanMs, MAX_STREAM_MS);
    return routing.directory.findVersions(service, { now: clock(), spanMs });
  }

  /**
   * Records that a request was sent to an upstream. While a service has several
   * versions, a process that may not be that of its entry is asked beside the
   * request: nothing else tells its version once it has ended.
   */
  recordSent(entry: UpstreamEntry, service: RoutedService): void {
    if (this.#softwareVersion !== undefined) return;
    if (
      this.#isInDoubt(entry, service) &&
      this.#findVersions(entry.service).kind !== "sole"
    ) {
      void this.#options.processes.ask(entry.address)
        .then(() => this.#look());
    }
  }

  /** Records that data of an upstream has come. */
  recordData(upstream: string): void {
    if (upstream === this.#connectedId) {
      this.#lastDataAt = this.#options.clock();
    }
  }

  /** Records that an upstream no longer works on the request. */
  recordTryEnd(upstream: string): void {
    if (upstream === this.#connectedId) this.#connectedId = undefined;
  }

  /** Binds the stream, whose first events from `entry` are about to be sent. */
  recordStart(entry: UpstreamEntry, service: RoutedService): void {
    const isBound = this.#softwareVersion !== undefined;
    this.#connectedId = entry.id;
    if (isBound || !this.#isInDoubt(entry, service)) {
      this.recordOrigin(entry);
      return;
    }
    const { id, bornAt, softwareVersion } = entry;
    this.#softwareVersion = NO_VERSION;
    this.#doubt = {
      entry,
      coldStartMs: service.coldStartMs,
      startedAt: this.#options.clock(),
    };
    this.#tell({
      service: entry.service,
      softwareVersion: UNSETTLED_VERSION,
      unproven: {
        upstream: id,
        bornAt: bornAt!,
        softwareVersion: softwareVersion!,
      },
    });
    this.#lookTimer = setInterval(() => this.#look(), LOOK_INTERVAL_MS);
    this.#lookTimer.unref();
  }

  /** Binds the stream to a version that is certain; undefined binds to none. */
  recordOrigin(
    { service, softwareVersion }: Pick<
      UpstreamEntry,
      "service" | "softwareVersion"
    >,
  ): void {
    if (!this.#isResumable) return;
    this.#endDoubt();
    this.#softwareVersion = softwareVersion ?? NO_VERSION;
    if (softwareVersion === undefined) return;
    this.#origin = { service, softwareVersion };
    this.#tell(this.#origin);
  }

  /**
   * Asks for the version of a stream that broke off while it was in doubt, and
   * waits a short time until it is known.
   */
  async untilSettled(): Promise<void> {
    if (this.#doubt === undefined) return;
    this.#settling ??= this.#settle(this.#doubt);
    const timeout = sleep(MAX_SETTLE_WAIT_MS, undefined, { ref: false });
    await Promise.race([this.#settling, timeout]);
  }

  /**
   * Records that this router no longer forwards the stream; `position` is where
   * one that is not complete has ended.
   */
  recordEnd(position?: StreamPosition): void {
    if (this.#isRunning) this.#options.streams.recordEnd(this.#key, position);
    this.#isRunning = false;
    this.#hasEnded = true;
    this.#endDoubt();
  }

  /**
   * Whether the stream is bound and an upstream of `service` may have restarted
   * with another version.
   */
  needsProcessCheck(
    entry: UpstreamEntry,
    { isEngine }: RoutedService,
  ): boolean {
    return this.#softwareVersion !== undefined && isEngine &&
      !this.#checked.has(entry.id) &&
      !this.#options.processes.isProven(entry);
  }

  /**
   * Avoids an upstream for streams of its version, if its process is not
   * certainly that of its entry, until a new entry has had time to arrive.
   */
  async checkProcess(
    entry: UpstreamEntry,
    { coldStartMs }: RoutedService,
  ): Promise<void> {
    const { start } = await this.#options.processes.ask(entry.address);
    // Several tries may ask at a time.
    if (this.#checked.has(entry.id)) return;
    this.#checked.add(entry.id);
    if (!isSameProcess(entry, start)) {
      this.#recordOther(entry, { start, coldStartMs });
    }
  }

  #recordOther(
    { id }: UpstreamEntry,
    { start, coldStartMs }: { start: ReportedStart; coldStartMs: number },
  ): void {
    const { routing, clock, onOtherProcess } = this.#options;
    const known = routing.directory.find(id)?.entry;
    if (known !== undefined && isSameProcess(known, start)) return;
    const coldMs = start.kind === "silent" ? 0 : coldStartMs;
    routing.directory.recordRestarted(id, { coldMs, now: clock() });
    if (start.kind !== "silent") onOtherProcess(id);
  }

  /** Whether a stream that an upstream begins may be of another version. */
  #isInDoubt(entry: UpstreamEntry, { isEngine }: RoutedService): boolean {
    return this.#isResumable && isEngine &&
      entry.softwareVersion !== undefined &&
      !this.#options.processes.isProven(entry);
  }

  #tell(origin: StreamOrigin): void {
    const { streams } = this.#options;
    streams.recordStart({ ...origin, key: this.#key, spanMs: this.#spanMs });
    if (this.#hasEnded) streams.recordEnd(this.#key);
    else this.#isRunning = true;
  }

  #endDoubt(): void {
    clearInterval(this.#lookTimer);
    this.#doubt = undefined;
  }

  /**
   * Binds the stream once the view of the upstreams tells which process began
   * it: that of a new entry, or that of the known one if none has come in time.
   */
  #look(): void {
    const { processes, routing } = this.#options;
    if (this.#doubt === undefined || this.#connectedId === undefined) return;
    const { entry } = this.#doubt;
    const known = routing.directory.find(entry.id)?.entry;
    if (known?.address !== entry.address) return;
    if (known.bornAt === entry.bornAt) {
      if (processes.isProven(entry)) this.recordOrigin(known);
      return;
    }
    // What still sends data after a later process has written its entry is that
    // process; an open connection may also be left of a host without power.
    if ((known.bornAt ?? 0) <= (entry.bornAt ?? 0)) return;
    this.#otherEntryAt ??= this.#options.clock();
    if (this.#lastDataAt > this.#otherEntryAt) this.recordOrigin(known);
  }

  /** Asks the upstream which process began the stream, and binds the stream. */
  async #settle(
    { entry, coldStartMs, startedAt }: StreamDoubt,
  ): Promise<void> {
    const { processes } = this.#options;
    for (let asks = 1; asks <= MAX_ASKS; asks++) {
      const { start, askedAt } = await processes.ask(entry.address);
      if (this.#doubt === undefined) return;
      if (isSameProcess(entry, start)) {
        // A process of the entry that runs after the first event has made it.
        const isCertain = askedAt >= startedAt || processes.isProven(entry);
        if (isCertain) return this.recordOrigin(entry);
        continue;
      }
      this.#recordOther(entry, { start, coldStartMs });
      // The connection has closed, so that it may have been either process.
      if (start.kind === "stated") return;
      const { service, softwareVersion } = entry;
      const isSole = await this.#isSoleVersion({
        service,
        softwareVersion: softwareVersion!,
      });
      if (isSole && this.#doubt !== undefined) return this.recordOrigin(entry);
      await sleep(SETTLE_INTERVAL_MS, undefined, { ref: false });
    }
  }

  get #isResumable(): boolean {
    return this.#route.kind === "stream" && this.#route.isResumable;
  }

  /**
   * Longest time for which a stream may last, in milliseconds: that for which
   * its caller may be kept waiting, with all requests for it.
   */
  get #spanMs(): number {
    return Math.max(this.#route.timeoutMs, MIN_STREAM_SPAN_MS);
  }
}
