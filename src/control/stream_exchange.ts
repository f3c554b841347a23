/**
 * Tells other routers which software version began a stream, and asks them for
 * streams that callers resume here.
 *
 * A stream is told as its first event is sent, so that a router which ends right
 * after that leaves it known, and again while it runs, since messages can be
 * lost and routers restart. It is told while its service has one version, too:
 * another may join before the stream is resumed, after this router has ended.
 */
import {
  createJSONRPCNotification,
  createJSONRPCRequest,
  createJSONRPCSuccessResponse,
  type JSONRPCID,
} from "json-rpc-2.0";
import type { Hash } from "../policy/rendezvous.ts";
import {
  listHolders,
  MAX_STREAM_MS,
  type StreamOrigin,
  StreamOrigins,
  type StreamRecord,
} from "../policy/stream_origins.ts";
import type { VersionFinding } from "../policy/version_history.ts";
import {
  MAX_MESSAGE_STREAMS,
  type StreamFinding,
  type StreamMessage,
  type StreamQuestion,
} from "./stream_messages.ts";

/** Options of a `StreamExchange`. */
export interface StreamExchangeOptions {
  /** Name of this router. */
  readonly self: string;
  readonly hash: Hash;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Names of the fleet's routers. */
  readonly listRouters: () => readonly string[];
  /** Sends a JSON-RPC message to a router; it may be lost. */
  readonly send: (message: object, router: string) => void;
  /**
   * Returns what is known of the software versions that a service had in the
   * last `spanMs` milliseconds.
   */
  readonly findVersions: (service: string, spanMs: number) => VersionFinding;
}

/** A stream that this router forwards. */
export interface RunningStream extends StreamOrigin {
  readonly key: string;
  /** Longest time that the stream can last, in milliseconds. */
  readonly spanMs: number;
}

interface PendingQuestion {
  readonly service: string;
  /** Routers that have not answered yet. */
  readonly asked: Set<string>;
  /** Answers without the stream after which a sole version counts. */
  readonly quorum: number;
  answerCount: number;
  /** Sole versions that this router and others have seen. */
  readonly soleVersions: Set<string>;
  /** Whether one of them has seen several versions. */
  hasSeveralVersions: boolean;
  readonly resolve: (origin: StreamOrigin | undefined) => void;
}

/** Interval at which running streams are told again, in milliseconds. */
const REPEAT_INTERVAL_MS = 1_000;
/**
 * Time in which other routers answer, in milliseconds; several times a round
 * trip between hosts that are busy.
 */
const ANSWER_TIMEOUT_MS = 200;

/** Exchanges what began streams with the other routers. */
export class StreamExchange {
  readonly #options: StreamExchangeOptions;
  readonly #origins = new StreamOrigins();
  readonly #running = new Map<string, RunningStream>();
  readonly #pending = new Map<JSONRPCID, PendingQuestion>();
  #timer: NodeJS.Timeout | undefined;
  #questionCount = 0;

  constructor(options: StreamExchangeOptions) {
    this.#options = options;
  }

  /** Number of streams whose origin is known. */
  get knownCount(): number {
    return this.#origins.size;
  }

  open(): void {
    this.#timer = setInterval(() => this.#repeat(), REPEAT_INTERVAL_MS);
  }

  /** Stops; open questions end without a result. */
  close(): void {
    clearInterval(this.#timer);
    for (const id of [...this.#pending.keys()]) this.#settle(id, undefined);
  }

  /** Records a stream whose first event is about to be sent to the caller. */
  recordStart(stream: RunningStream): void {
    this.#running.set(stream.key, stream);
    this.#origins.record(createRecord(stream), this.#options.clock());
    this.#tell([stream]);
  }

  /** Records that this router no longer forwards a stream. */
  recordEnd(key: string): void {
    this.#running.delete(key);
  }

  /**
   * Finds out what began a stream that may have begun in the last `spanMs`
   * milliseconds; undefined if no router knows.
   */
  find(
    key: string,
    { service, spanMs: requestedMs }: { service: string; spanMs: number },
  ): Promise<StreamOrigin | undefined> {
    const { self, clock, findVersions, send } = this.#options;
    const known = this.#origins.find(key, clock());
    if (known !== undefined) return Promise.resolve(known);
    const spanMs = Math.min(requestedMs, MAX_STREAM_MS);
    const own = findVersions(service, spanMs);
    const ownVersion = own.kind === "sole" ? own.version : undefined;
    const ownOrigin = createOrigin(service, ownVersion);
    const asked = new Set(this.#listHolders(key));
    if (asked.size === 0) return Promise.resolve(ownOrigin);
    const id = `stream-${++this.#questionCount}`;
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#settleUnanswered(id),
        ANSWER_TIMEOUT_MS,
      );
      this.#pending.set(id, {
        service,
        asked,
        quorum: Math.ceil(asked.size / 2),
        answerCount: 0,
        soleVersions: new Set(ownVersion === undefined ? [] : [ownVersion]),
        hasSeveralVersions: own.kind === "several",
        resolve: (origin) => {
          clearTimeout(timer);
          resolve(origin);
        },
      });
      const question: StreamQuestion = { router: self, key, service, spanMs };
      const message = createJSONRPCRequest(id, "find-stream", question);
      for (const router of asked) send(message, router);
    });
  }

  /** Handles a message of another router of the fleet. */
  receive(received: StreamMessage): void {
    if (received.kind === "streams") {
      const now = this.#options.clock();
      for (const stream of received.message.streams) {
        this.#origins.record(stream, now);
      }
    } else if (received.kind === "find-stream") {
      this.#answer(received.id, received.question);
    } else this.#receiveFinding(received.id, received.finding);
  }

  #answer(id: JSONRPCID, { router, key, service, spanMs }: StreamQuestion) {
    const { self, clock, findVersions, send } = this.#options;
    const stream = this.#origins.find(key, clock());
    const versions = findVersions(service, spanMs);
    const finding: StreamFinding = {
      router: self,
      ...(stream !== undefined && { stream: roundRemaining(stream) }),
      ...(versions.kind === "sole" && { soleVersion: versions.version }),
      ...(versions.kind === "several" && { hasSeveralVersions: true }),
    };
    send(createJSONRPCSuccessResponse(id, finding), router);
  }

  #receiveFinding(
    id: JSONRPCID,
    { router, stream, soleVersion, hasSeveralVersions }: StreamFinding,
  ): void {
    const pending = this.#pending.get(id);
    if (pending === undefined || !pending.asked.delete(router)) return;
    if (stream !== undefined) {
      this.#origins.record(stream, this.#options.clock());
      this.#settle(id, stream);
      return;
    }
    pending.answerCount++;
    if (soleVersion !== undefined) pending.soleVersions.add(soleVersion);
    if (hasSeveralVersions === true) pending.hasSeveralVersions = true;
    const origin = getSoleOrigin(pending);
    const isEnough = pending.answerCount >= pending.quorum;
    if (pending.asked.size === 0 || isEnough && origin !== undefined) {
      this.#settle(id, origin);
    }
  }

  /** Ends a question for which some routers have not answered in time. */
  #settleUnanswered(id: JSONRPCID): void {
    const pending = this.#pending.get(id);
    if (pending !== undefined) this.#settle(id, getSoleOrigin(pending));
  }

  #settle(id: JSONRPCID, origin: StreamOrigin | undefined): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.resolve(origin);
  }

  #repeat(): void {
    const now = this.#options.clock();
    for (const stream of this.#running.values()) {
      this.#origins.record(createRecord(stream), now);
    }
    this.#tell([...this.#running.values()]);
  }

  /** Tells the holders of each stream. */
  #tell(streams: readonly RunningStream[]): void {
    const { self, send } = this.#options;
    const byRouter = new Map<string, StreamRecord[]>();
    for (const stream of streams) {
      for (const router of this.#listHolders(stream.key)) {
        const records = byRouter.get(router) ?? [];
        records.push(createRecord(stream));
        byRouter.set(router, records);
      }
    }
    for (const [router, records] of byRouter) {
      for (let from = 0; from < records.length; from += MAX_MESSAGE_STREAMS) {
        send(
          createJSONRPCNotification("streams", {
            router: self,
            streams: records.slice(from, from + MAX_MESSAGE_STREAMS),
          }),
          router,
        );
      }
    }
  }

  #listHolders(key: string): string[] {
    const { self, hash, listRouters } = this.#options;
    return listHolders(key, { self, hash, routers: listRouters() });
  }
}

function createRecord(
  { key, service, softwareVersion, spanMs }: RunningStream,
): StreamRecord {
  const remainingMs = Math.round(Math.min(spanMs, MAX_STREAM_MS));
  return { key, service, softwareVersion, remainingMs };
}

function roundRemaining(stream: StreamRecord): StreamRecord {
  return { ...stream, remainingMs: Math.floor(stream.remainingMs) };
}

function createOrigin(
  service: string,
  softwareVersion: string | undefined,
): StreamOrigin | undefined {
  return softwareVersion === undefined
    ? undefined
    : { service, softwareVersion };
}

/**
 * Returns the origin of a stream that no router knows, if the routers have seen
 * one version only.
 */
function getSoleOrigin(
  { service, soleVersions, hasSeveralVersions }: PendingQuestion,
): StreamOrigin | undefined {
  const [version, ...others] = soleVersions;
  if (hasSeveralVersions || others.length > 0) return undefined;
  return createOrigin(service, version);
}
