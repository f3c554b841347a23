/**
 * Stand-in for an upstream that registers itself in the metadata store. It
 * implements the users' protocol: it runs requests, marks the ones that it did
 * not run, and reports every request that it receives.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { makeCloseDelimited } from "./close_delimited_response.ts";
import {
  createEndlessAnswer,
  type EndlessAnswer,
  sendEndlessly,
} from "./endless_bytes.ts";
import { findFreePort } from "./free_address.ts";
import { closeServer, listen, readJson, sendJson } from "./stand_in_http.ts";
import type { MetadataStoreServer } from "./metadata_store.ts";
import { createRelay, type Relay } from "./relay.ts";

/** A request that an upstream received. */
export interface UpstreamArrival {
  readonly requestId: string;
  /** Id of the upstream's process. */
  readonly upstream: string;
  readonly failureDomain: string;
  /** Time of receipt on the monotonic clock, in milliseconds. */
  readonly atMs: number;
  /** False if the upstream refused the request and marked it as not run. */
  readonly isRun: boolean;
  /** Whether the request resumes a stream that an earlier request began. */
  readonly isResumed: boolean;
  readonly softwareVersion: string;
  readonly isCold: boolean;
  /** Whether the answer has no end. */
  readonly isEndless: boolean;
  /** Whether the answer is an error of the upstream; absent for no. */
  readonly isFailed?: boolean;
  readonly workspace: string;
  /** Limit that the upstream named at that time; undefined for none. */
  readonly limitPerSecond: number | undefined;
  /** Ids of the parts of the prompt, in order. */
  readonly promptParts: readonly string[];
}

/** Options of an upstream. */
export interface RegisteredUpstreamOptions {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Duration of the cold state after a start, in milliseconds; 0 for none. */
  readonly coldMs: number;
  /** Version of the software; "v1" by default. */
  readonly softwareVersion?: string;
  /** Time between two events of a stream, in milliseconds. */
  readonly eventIntervalMs?: number;
  readonly store: MetadataStoreServer;
  readonly onArrival: (arrival: UpstreamArrival) => void;
  /**
   * Ids of prompt parts that crash each upstream that begins to answer a
   * request with them; the set may change while the upstream runs.
   */
  readonly crashingParts?: ReadonlySet<string>;
  /**
   * JSON bodies of requests that crash each upstream that begins to run them;
   * the set may change while the upstream runs.
   */
  readonly crashingBodies?: ReadonlySet<string>;
  /** Called when the process has crashed. */
  readonly onCrash?: (crash: UpstreamCrash) => void;
  /** Called when the upstream itself has cut an answer off. */
  readonly onCut?: (cut: UpstreamCut) => void;
}

/** An answer that the upstream cut off, by its end or on purpose. */
export interface UpstreamCut {
  readonly upstream: string;
  readonly requestId: string;
  /** Whether the connection was closed, as by the end of a process, or reset. */
  readonly how: "close" | "reset";
  /** Whether a length or chunks tell that the answer was cut off. */
  readonly isFramed: boolean;
  /** Id of the last event that was sent, or bytes of another body. */
  readonly sent: number;
  /** Time on the monotonic clock, in milliseconds. */
  readonly atMs: number;
}

/** The end of an upstream's process under a request. */
export interface UpstreamCrash {
  readonly upstream: string;
  readonly requestId: string;
  /** Part of the prompt, or body of the request, that caused it. */
  readonly cause: string;
  /** Time on the monotonic clock, in milliseconds. */
  readonly atMs: number;
}

/** Maximum number of concurrent requests. */
const SLOTS = 8;
const HEARTBEAT_MS = 400;
/** Number of missed heartbeats after which an entry expires. */
const EXPIRY_HEARTBEATS = 3;
const SERVICE_MS = 15;
const DEFAULT_EVENT_INTERVAL_MS = 20;
/** Time that a draining upstream still serves requests. */
const DRAIN_MS = 3_500;
/** Time from the head of an answer to the crash, in milliseconds. */
const CRASH_DELAY_MS = 50;
/** Time until a crashed upstream starts again, in milliseconds. */
const RESTART_MS = 1_500;
/** Time in which rejections add up, in milliseconds. */
const REJECTION_WINDOW_MS = 1_000;
/** Every such request's answer ends with its connection, without framing. */
const UNFRAMED_SHARE = 4;
/** While an upstream answers without end, it does so to every such request. */
const ENDLESS_SHARE = 2;
/** Path of requests whose answers are as large as the users' pages allow. */
export const LARGE_ANSWER_PATH = "/read/large";
const LARGE_ANSWER = Buffer.alloc(4_194_304, "a");
const REPORT_PATH = "/corianderflow/report";
const STATUS_MISDIRECTED = 421;
const STATUS_FAILED = 500;
const STATUS_FULL = 503;

/** Returns the number of events in the stream of a request. */
export function getEventCount(requestId: string): number {
  return 3 + [...requestId].reduce((sum, c) => sum + c.charCodeAt(0), 0) % 12;
}

/** Tokens of an event where ids count tokens. */
const EVENT_TOKENS = 6;

/**
 * Returns the id of the event at `index`, from 1 on, in the stream of a request.
 * The ids of a third of the streams count the events, those of another count
 * tokens, and the others rise by a step that grows.
 */
export function getEventId(requestId: string, index: number): number {
  switch (requestId.charCodeAt(requestId.length - 1) % 3) {
    case 0:
      return index * EVENT_TOKENS;
    case 1:
      return index;
    default:
      return index * (index + 1) / 2;
  }
}

/** Returns the number of events up to the one with `id`. */
export function countEventsUpTo(requestId: string, id: number): number {
  let count = 0;
  while (getEventId(requestId, count + 1) <= id) count++;
  return count;
}

/** Returns the value of `x-response-stamp` in an upstream's answer. */
export function createResponseStamp(
  upstream: string,
  requestId: string,
): string {
  return `${upstream}/${requestId}`;
}

/** Returns the ids of the prompt parts that a header lists. */
function parsePromptParts(header: string | string[] | undefined): string[] {
  return String(header ?? "").split(",").map((part) => part.split(":")[0]!);
}

/** Whether the answer to a request is sent with neither length nor chunks. */
function isUnframed(requestId: string): boolean {
  return getEventCount(requestId) % UNFRAMED_SHARE === 0;
}

/** Whether a pause of the upstream comes after the head of an answer. */
function hasEarlyHead(requestId: string): boolean {
  return getEventCount(requestId) % 2 === 0;
}

/** Whether a request gets an answer without end from a faulty upstream. */
function isOfEndlessShare(requestId: string): boolean {
  return getEventCount(requestId) % ENDLESS_SHARE === 0;
}

/** Returns the data of an event, before the version of the software. */
export function formatEventData(requestId: string, index: number): string {
  return `${requestId}#${index}`;
}

/** Pattern of the version in the data of an event. */
export const EVENT_VERSION_PATTERN = / version=(\S+)\n/;

/** A stand-in upstream; callers connect through a relay that injects faults. */
export class RegisteredUpstream {
  readonly #options: Required<RegisteredUpstreamOptions>;
  #server: Server | undefined;
  #relay!: Relay;
  #incarnation = 0;
  #startedAtMs = 0;
  #sequence = 0;
  #runningRequests = 0;
  /** Number of consecutive heartbeats that the store did not accept. */
  #missedHeartbeats = 0;
  #coldUntilMs = -Infinity;
  /** Version of the software of the next process. */
  softwareVersion: string;
  #runningVersion: string;
  /** Requests a second that the upstream names in its answers, if set. */
  limitPerSecond: number | undefined;
  /**
   * Requests that it can reject in a second for want of room, which it names in
   * its answers, if set. Its process ends if there are more.
   */
  brittlePerSecond: number | undefined;
  /** Monotonic times of the latest rejections, in milliseconds. */
  #rejectedAtMs: number[] = [];
  /** Whether it resets answers without a length when half of them is sent. */
  resetsAnswers = false;
  /** Monotonic time until which it sends nothing of its answers, in ms. */
  pausedUntilMs = -Infinity;
  /** Whether it rejects all requests for want of room. */
  isFull = false;
  /** What never ends in its answers to some requests, if set. */
  endlessAnswer: EndlessAnswer | undefined;
  /** Share of the requests that it runs and answers with an error, 0 to 1. */
  failingShare = 0;
  /** Part of a failure that is due by that share. */
  #failureCredit = 0;
  /** Number of times that its process ended from rejections. */
  fallCount = 0;
  #state: "ready" | "draining" = "ready";
  #heartbeatTimer: NodeJS.Timeout | undefined;
  #expiryTimer: NodeJS.Timeout | undefined;
  #restartTimer: NodeJS.Timeout | undefined;
  /** Whether the relay refuses connections because the process has crashed. */
  #hasCrashed = false;
  #isClosed = false;

  constructor(options: RegisteredUpstreamOptions) {
    this.#options = {
      softwareVersion: "v1",
      eventIntervalMs: DEFAULT_EVENT_INTERVAL_MS,
      crashingParts: new Set(),
      crashingBodies: new Set(),
      onCrash: () => {},
      onCut: () => {},
      ...options,
    };
    this.softwareVersion = this.#options.softwareVersion;
    this.#runningVersion = this.softwareVersion;
  }

  get name(): string {
    return this.#options.name;
  }

  /** Whether a process runs and takes new requests. */
  get isServing(): boolean {
    return this.#server !== undefined && this.#state === "ready";
  }

  get service(): string {
    return this.#options.service;
  }

  /** Requests that are being answered. */
  get runningRequests(): number {
    return this.#runningRequests;
  }

  get relay(): Relay {
    return this.#relay;
  }

  /** Id of the current process, or of the last one. */
  get id(): string {
    return `${this.#options.name}.${this.#incarnation}`;
  }

  /**
   * Starts a new process at the same address, cold and with a new id, unless it
   * `keepsId`. It writes its entry after `entryDelayMs` milliseconds.
   */
  async start(
    { isCold = true, keepsId = false, entryDelayMs = 0 } = {},
  ): Promise<void> {
    if (this.#isClosed) return;
    clearTimeout(this.#restartTimer);
    if (keepsId) clearTimeout(this.#expiryTimer);
    else this.#incarnation++;
    this.#runningVersion = this.softwareVersion;
    this.#startedAtMs = Date.now();
    this.#sequence = 0;
    this.#state = "ready";
    this.#coldUntilMs = performance.now() + (isCold ? this.#options.coldMs : 0);
    const server = createServer((request, response) => {
      this.#handleRequest(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 10_000;
    this.#server = server;
    const address = await listen(server, 0);
    if (this.#relay === undefined) {
      // An ephemeral port could be taken while the relay does not listen.
      const port = await findFreePort();
      this.#relay = await createRelay({ target: address, port });
    } else this.#relay.setTarget(address);
    if (this.#hasCrashed) await this.#relay.setFaults({ cut: false });
    this.#hasCrashed = false;
    if (this.#isClosed) return await this.#closeAll();
    if (entryDelayMs === 0) return this.#sendHeartbeat();
    clearTimeout(this.#heartbeatTimer);
    this.#heartbeatTimer = setTimeout(
      () => this.#sendHeartbeat(),
      entryDelayMs,
    );
  }

  /** Ends the process without deregistering; its entry expires later. */
  async kill(): Promise<void> {
    clearTimeout(this.#heartbeatTimer);
    clearTimeout(this.#restartTimer);
    const key = `servers/${this.id}`;
    const expiryMs = EXPIRY_HEARTBEATS * HEARTBEAT_MS;
    this.#expiryTimer = setTimeout(
      () => this.#options.store.remove(key),
      expiryMs,
    );
    await this.#closeServer();
  }

  /** Sets the state to draining; returns after publishing it to the store. */
  startDraining(): void {
    this.#state = "draining";
    clearTimeout(this.#heartbeatTimer);
    this.#sendHeartbeat();
  }

  /** Ends a draining process after the drain time and removes its entry. */
  async exit(): Promise<void> {
    await sleep(DRAIN_MS);
    clearTimeout(this.#heartbeatTimer);
    this.#options.store.remove(`servers/${this.id}`);
    await this.#closeServer();
  }

  /** Makes the upstream cold, as after a start. */
  turnCold(): void {
    this.#coldUntilMs = performance.now() + this.#options.coldMs;
    clearTimeout(this.#heartbeatTimer);
    this.#sendHeartbeat();
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    clearTimeout(this.#heartbeatTimer);
    clearTimeout(this.#expiryTimer);
    clearTimeout(this.#restartTimer);
    await this.#closeAll();
  }

  async #closeAll(): Promise<void> {
    await this.#closeServer();
    await this.#relay.close();
  }

  /** Ends the process because of a request. */
  async #crash(requestId: string, cause: string): Promise<void> {
    const crash = { upstream: this.id, requestId, cause };
    this.#options.onCrash({ ...crash, atMs: performance.now() });
    await this.#end();
  }

  /** Ends the process with all of its connections; it starts again later. */
  async #end(): Promise<void> {
    this.#hasCrashed = true;
    const ended = [this.kill(), this.#relay.setFaults({ cut: true })];
    this.#restartTimer = setTimeout(() => void this.start(), RESTART_MS);
    await Promise.all(ended);
  }

  /** Whether the next request is one of the failing share. */
  #takeFailure(): boolean {
    this.#failureCredit += this.failingShare;
    if (this.#failureCredit < 1) return false;
    this.#failureCredit--;
    return true;
  }

  #formatLoad(): string {
    return `${this.#runningRequests},0,${SLOTS}`;
  }

  /** Waits until answers go on. */
  async #untilResumed(): Promise<void> {
    for (;;) {
      const pauseMs = this.pausedUntilMs - performance.now();
      if (pauseMs <= 0) return;
      await sleep(pauseMs);
    }
  }

  /** Records a request that found no room; returns whether it was one too many. */
  #recordRejection(): boolean {
    if (this.brittlePerSecond === undefined) return false;
    const now = performance.now();
    this.#rejectedAtMs = this.#rejectedAtMs
      .filter((at) => now - at < REJECTION_WINDOW_MS);
    this.#rejectedAtMs.push(now);
    if (this.#rejectedAtMs.length <= this.brittlePerSecond) return false;
    this.#rejectedAtMs = [];
    this.fallCount++;
    void this.#end();
    return true;
  }

  /** Returns what of a request crashes the upstream; undefined if nothing. */
  #findCrashCause(
    promptParts: readonly string[],
    body: string,
  ): string | undefined {
    const { crashingParts, crashingBodies } = this.#options;
    if (crashingBodies.has(body)) return body;
    return promptParts.slice(0, -1).find((id) => crashingParts.has(id));
  }

  async #closeServer(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server !== undefined) await closeServer(server);
  }

  #sendHeartbeat(): void {
    const { store } = this.#options;
    // Another fault may strike an upstream that has crashed.
    clearTimeout(this.#heartbeatTimer);
    if (this.#server === undefined || this.#isClosed) return;
    this.#heartbeatTimer = setTimeout(
      () => this.#sendHeartbeat(),
      HEARTBEAT_MS,
    );
    if (store.faults.isSilent || store.faults.refusalStatus !== undefined) {
      // Half of the entries expire while the store is unavailable.
      this.#missedHeartbeats++;
      const isExpired = this.#missedHeartbeats >= EXPIRY_HEARTBEATS &&
        this.#startedAtMs % 2 === 0;
      if (isExpired) store.remove(`servers/${this.id}`);
      return;
    }
    this.#missedHeartbeats = 0;
    this.#register();
  }

  #register(): void {
    const { service, failureDomain, store } = this.#options;
    store.put(`servers/${this.id}`, {
      service,
      address: this.#relay.address,
      zone: failureDomain,
      version: this.#runningVersion,
      slots: SLOTS,
      state: this.#state,
      coldLeftMs: Math.round(
        Math.max(0, this.#coldUntilMs - performance.now()),
      ),
      seq: ++this.#sequence,
      born: this.#startedAtMs,
    });
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === REPORT_PATH) {
      sendJson(response, 200, {
        stage: "both",
        models: [],
        busy: false,
        seq: this.#sequence,
        queued: 0,
        active: this.#runningRequests,
        born: this.#startedAtMs,
      });
      return;
    }
    const server = this.#server;
    const requestId = String(request.headers["x-attempt-id"] ?? "");
    const isMisdirected = request.headers["x-expect-instance"] !== this.id;
    const isRun = !isMisdirected && !this.isFull &&
      this.#runningRequests < SLOTS;
    const lastEventId = Number(request.headers["last-event-id"] ?? 0);
    const promptParts = parsePromptParts(request.headers["x-prompt-prefix"]);
    const endlessAnswer = isRun && isOfEndlessShare(requestId)
      ? this.endlessAnswer
      : undefined;
    const isFailed = isRun && this.#takeFailure();
    this.#options.onArrival({
      requestId,
      upstream: this.id,
      failureDomain: this.#options.failureDomain,
      atMs: performance.now(),
      isRun,
      isResumed: lastEventId > 0,
      softwareVersion: this.#runningVersion,
      isCold: performance.now() < this.#coldUntilMs,
      isEndless: endlessAnswer !== undefined,
      isFailed,
      workspace: String(request.headers["x-tenant"] ?? ""),
      limitPerSecond: this.limitPerSecond,
      promptParts,
    });
    if (this.brittlePerSecond !== undefined) {
      response.setHeader("server-brittle", String(this.brittlePerSecond));
    }
    if (this.limitPerSecond !== undefined) {
      response.setHeader("server-limit", String(this.limitPerSecond));
    }
    const isRejected = !isMisdirected && !isRun && !this.isFull;
    if (isRejected && this.#recordRejection()) return;
    if (!isRun) {
      const status = isMisdirected ? STATUS_MISDIRECTED : STATUS_FULL;
      response.writeHead(status, {
        "x-attempt-id": requestId,
        "x-not-executed": "1",
        "x-runner-load": this.#formatLoad(),
        "content-length": "0",
      });
      response.end();
      return;
    }
    this.#runningRequests++;
    try {
      const body = JSON.stringify(await readJson(request));
      await sleep(SERVICE_MS);
      if (!hasEarlyHead(requestId)) await this.#untilResumed();
      if (this.#server !== server || response.destroyed) return;
      if (isFailed) {
        response.writeHead(STATUS_FAILED, {
          "x-attempt-id": requestId,
          "content-length": "0",
        });
        response.end();
        return;
      }
      if (endlessAnswer !== undefined) {
        const fields = {
          "x-attempt-id": requestId,
          "x-response-stamp": createResponseStamp(this.id, requestId),
        };
        const answer = createEndlessAnswer(endlessAnswer, fields);
        return await sendEndlessly(request.socket, answer);
      }
      response.setHeader("x-attempt-id", requestId);
      response.setHeader(
        "x-response-stamp",
        createResponseStamp(this.id, requestId),
      );
      response.setHeader("x-runner-load", this.#formatLoad());
      const isPlain = request.url!.startsWith("/read") ||
        request.url!.startsWith("/book");
      const cause = this.#findCrashCause(promptParts, body);
      if (cause !== undefined) {
        if (!isPlain) {
          response.writeHead(200, { "content-type": "text/event-stream" });
          response.flushHeaders();
        }
        await sleep(CRASH_DELAY_MS);
        if (this.#server === server) await this.#crash(requestId, cause);
      } else if (request.url === LARGE_ANSWER_PATH) {
        response.end(LARGE_ANSWER);
      } else if (isPlain) {
        await this.#sendBody(response, requestId);
      } else {
        const streamId = String(request.headers["resumes"] ?? requestId);
        await this.#streamEvents(response, {
          requestId,
          streamId,
          lastEventId,
        });
      }
    } finally {
      this.#runningRequests--;
    }
  }

  /** Sends the body of an answer that is not a stream. */
  async #sendBody(response: ServerResponse, requestId: string): Promise<void> {
    const body = JSON.stringify({ requestId, upstream: this.id });
    if (!isUnframed(requestId)) {
      response.end(body);
      return;
    }
    makeCloseDelimited(response);
    const half = Math.floor(body.length / 2);
    let sent = half;
    this.#watchCut(response, {
      requestId,
      isFramed: false,
      getSent: () => sent,
    });
    response.write(body.slice(0, half));
    const server = this.#server;
    await sleep(SERVICE_MS);
    await this.#untilResumed();
    if (response.destroyed || this.#server !== server) return;
    if (this.resetsAnswers) {
      this.#reset(response, { requestId, sent });
      return;
    }
    sent = body.length;
    response.end(body.slice(half));
  }

  /** Reports the end of this process if that cuts off the answer. */
  #watchCut(
    response: ServerResponse,
    { requestId, isFramed, getSent }:
      & Pick<
        UpstreamCut,
        "requestId" | "isFramed"
      >
      & { getSent: () => number },
  ): void {
    const server = this.#server;
    const upstream = this.id;
    response.once("close", () => {
      const isOwn = this.#server !== server && !response.writableFinished;
      if (!isOwn) return;
      this.#options.onCut({
        upstream,
        requestId,
        how: "close",
        isFramed,
        sent: getSent(),
        atMs: performance.now(),
      });
    });
  }

  #reset(
    response: ServerResponse,
    { requestId, sent }: Pick<UpstreamCut, "requestId" | "sent">,
  ): void {
    this.#options.onCut({
      upstream: this.id,
      requestId,
      how: "reset",
      isFramed: false,
      sent,
      atMs: performance.now(),
    });
    response.socket?.resetAndDestroy();
  }

  async #streamEvents(
    response: ServerResponse,
    { requestId, streamId, lastEventId }: {
      requestId: string;
      streamId: string;
      lastEventId: number;
    },
  ): Promise<void> {
    response.setHeader("content-type", "text/event-stream");
    const hasNoLength = isUnframed(streamId);
    if (hasNoLength) makeCloseDelimited(response);
    const server = this.#server;
    const version = this.#runningVersion;
    const last = getEventCount(streamId);
    const begun = countEventsUpTo(streamId, lastEventId);
    let sent = begun;
    response.flushHeaders();
    this.#watchCut(response, {
      requestId,
      isFramed: !hasNoLength,
      getSent: () => sent,
    });
    for (let index = begun + 1; index <= last; index++) {
      await this.#untilResumed();
      // Connections close some time after the process has ended.
      if (response.destroyed || this.#server !== server) return;
      const isHalf = index > begun + (last - begun) / 2;
      if (hasNoLength && isHalf && this.resetsAnswers) {
        this.#reset(response, { requestId, sent });
        return;
      }
      sent = index;
      const id = getEventId(streamId, index);
      const data = `${formatEventData(streamId, index)} version=${version}`;
      response.write(`id: ${id}\ndata: ${data}\n\n`);
      await sleep(this.#options.eventIntervalMs);
    }
    await this.#untilResumed();
    if (response.destroyed || this.#server !== server) return;
    response.end();
  }
}
