/**
 * Binds a stream that may be resumed to the software version that makes its
 * first event, within the answer and for requests that resume it later.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import type { StreamExchange } from "../control/stream_exchange.ts";
import { createStreamKey } from "../policy/request_digest.ts";
import type { StreamOrigin } from "../policy/stream_origins.ts";
import type {
  RoutedService,
  ServiceRoute,
  UpstreamEntry,
} from "../routing/types.ts";
import type { IngressExchange } from "./ingress_exchange.ts";
import {
  checkProcess,
  isProvenProcess,
  type ProcessCheckOptions,
} from "./process_check.ts";

/** Options of a `StreamBinding`. */
export interface StreamBindingOptions extends ProcessCheckOptions {
  readonly routing: RoutingView;
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

/** The binding of the stream that one request begins or resumes. */
export class StreamBinding {
  readonly #route: ServiceRoute;
  readonly #options: StreamBindingOptions;
  readonly #key: string;
  readonly #isResumption: boolean;
  #softwareVersion: string | undefined;
  /** Ids of the upstreams whose process was checked. */
  readonly #checked = new Set<string>();
  #isRunning = false;

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
    this.#softwareVersion = origin?.softwareVersion;
    return origin;
  }

  /** Binds the stream, whose first events are about to be sent. */
  recordStart(
    { service, softwareVersion }: Pick<
      UpstreamEntry,
      "service" | "softwareVersion"
    >,
  ): void {
    if (!this.#isResumable) return;
    this.#softwareVersion = softwareVersion ?? NO_VERSION;
    if (softwareVersion === undefined) return;
    this.#isRunning = true;
    this.#options.streams.recordStart({
      key: this.#key,
      service,
      softwareVersion,
      spanMs: this.#spanMs,
    });
  }

  /** Records that this router no longer forwards the stream. */
  recordEnd(): void {
    if (this.#isRunning) this.#options.streams.recordEnd(this.#key);
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
      !this.#checked.has(entry.id) && !isProvenProcess(entry, this.#options);
  }

  /**
   * Avoids an upstream for streams of its version, if its process is not
   * certainly that of its entry, until a new entry has had time to arrive.
   */
  async checkProcess(
    entry: UpstreamEntry,
    { coldStartMs }: RoutedService,
  ): Promise<void> {
    this.#checked.add(entry.id);
    const state = await checkProcess(entry, this.#options);
    if (state === "same") return;
    const { routing, clock } = this.#options;
    const coldMs = state === "other" ? coldStartMs : 0;
    routing.directory.recordRestarted(entry.id, { coldMs, now: clock() });
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
