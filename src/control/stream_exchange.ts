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
import type { StreamPosition } from "../policy/event_order.ts";
import type { Hash } from "../policy/rendezvous.ts";
import {
  decideInquiry,
  type InquiryAnswer,
  type UnknownReason,
} from "../policy/stream_inquiry.ts";
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
   * Returns what this router's view of the store says of the software versions
   * that a service had in the last `spanMs` milliseconds.
   */
  readonly findVersions: (service: string, spanMs: number) => VersionFinding;
  /**
   * Time since the store confirmed that view, in milliseconds; infinite before
   * the first time.
   */
  readonly getViewAgeMs: () => number;
  /**
   * Resolves with whether that view holds all that the store had accepted when
   * this was called.
   */
  readonly confirmView: () => Promise<boolean>;
  /** Called with the end of each inquiry about a stream unknown here. */
  readonly onInquiryEnd?: (report: InquiryReport) => void;
}

/** How an inquiry about a stream has ended. */
export interface InquiryReport {
  readonly service: string;
  readonly outcome: "told" | "sole-version" | UnknownReason;
  /** Number of routers that were asked. */
  readonly asked: number;
  /** Number of them that answered. */
  readonly answers: number;
  readonly viewAgeMs: number;
  /** Time that it took, in milliseconds. */
  readonly ms: number;
}

/** A stream that this router forwards. */
export interface RunningStream extends StreamOrigin {
  readonly key: string;
  /** Longest time that the stream can last, in milliseconds. */
  readonly spanMs: number;
}

interface PendingQuestion {
  readonly question: StreamQuestion;
  /** Monotonic time at which the question arrived, in milliseconds. */
  readonly askedAt: number;
  readonly askedCount: number;
  /** Routers that have not answered yet. */
  readonly unanswered: Set<string>;
  /** Answers without the stream. */
  readonly answers: InquiryAnswer[];
  isDue: boolean;
  view: "pending" | "confirmed" | "unconfirmed";
  readonly timers: NodeJS.Timeout[];
  readonly resolve: (origin: StreamOrigin | undefined) => void;
}

/** Interval at which running streams are told again, in milliseconds. */
const REPEAT_INTERVAL_MS = 1_000;
/**
 * Time in which other routers answer, in milliseconds; several times a round
 * trip between hosts that are busy.
 */
const ANSWER_TIMEOUT_MS = 200;
/** Time after which a question is sent again, in milliseconds. */
const RESEND_MS = 100;
/**
 * Time after which a view counts as unconfirmed, in milliseconds; a slow store
 * takes some hundred milliseconds for a read and a poll.
 */
const CONFIRMATION_TIMEOUT_MS = 1_000;
/**
 * Age of the view up to which routers of older builds are told the only version,
 * in milliseconds; those take it as it is.
 */
const MAX_SOLE_VERSION_AGE_MS = 3_000;

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
    for (const id of [...this.#pending.keys()]) {
      this.#endQuestion(id, undefined);
    }
  }

  /** Records a stream whose first event is about to be sent to the caller. */
  recordStart(stream: RunningStream): void {
    this.#running.set(stream.key, stream);
    this.#origins.record(createRecord(stream), this.#options.clock());
    this.#tell([stream]);
  }

  /**
   * Records that this router no longer forwards a stream. One that has ended at
   * `position` may be resumed, so that the others are told.
   */
  recordEnd(key: string, position?: StreamPosition): void {
    const stream = this.#running.get(key);
    this.#running.delete(key);
    if (stream === undefined || position === undefined) return;
    const ended = { ...stream, position };
    this.#origins.record(createRecord(ended), this.#options.clock());
    this.#tell([ended]);
  }

  /**
   * Finds out what began a stream that may have begun in the last `spanMs`
   * milliseconds; undefined if no router knows.
   */
  find(
    key: string,
    { service, spanMs: requestedMs }: { service: string; spanMs: number },
  ): Promise<StreamOrigin | undefined> {
    const { self, clock } = this.#options;
    const known = this.#origins.find(key, clock());
    if (known !== undefined && known.unproven === undefined) {
      return Promise.resolve(known);
    }
    // Others count the span back from the time at which they answer.
    const spanMs = Math.min(requestedMs + ANSWER_TIMEOUT_MS, MAX_STREAM_MS);
    const unanswered = new Set(this.#listHolders(key));
    const id = `stream-${++this.#questionCount}`;
    return new Promise((resolve) => {
      this.#pending.set(id, {
        question: { router: self, key, service, spanMs },
        askedAt: clock(),
        askedCount: unanswered.size,
        unanswered,
        answers: [],
        isDue: false,
        view: "pending",
        timers: [
          setTimeout(() => this.#ask(id), RESEND_MS),
          setTimeout(() => this.#recordDue(id), ANSWER_TIMEOUT_MS),
          setTimeout(
            () => this.#recordView(id, false),
            CONFIRMATION_TIMEOUT_MS,
          ),
        ],
        resolve,
      });
      this.#ask(id);
      void this.#confirmView(id);
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

  /** Asks the routers that have not answered. */
  #ask(id: JSONRPCID): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    const message = createJSONRPCRequest(id, "find-stream", pending.question);
    for (const router of [...pending.unanswered]) {
      this.#options.send(message, router);
    }
  }

  async #confirmView(id: JSONRPCID): Promise<void> {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    const { findVersions, confirmView } = this.#options;
    const { service, spanMs } = pending.question;
    // A confirmation could not lessen the versions that are known.
    if (findVersions(service, spanMs).kind === "several") this.#decide(id);
    else this.#recordView(id, await confirmView());
  }

  #recordView(id: JSONRPCID, isConfirmed: boolean): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    pending.view = isConfirmed ? "confirmed" : "unconfirmed";
    this.#decide(id);
  }

  /** Records that the time for answers has passed. */
  #recordDue(id: JSONRPCID): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    pending.isDue = true;
    this.#decide(id);
  }

  #answer(id: JSONRPCID, { router, key, service, spanMs }: StreamQuestion) {
    const { self, clock, findVersions, getViewAgeMs, send } = this.#options;
    const stream = this.#origins.find(key, clock());
    const versions = findVersions(service, spanMs);
    const viewAgeMs = Math.ceil(getViewAgeMs());
    const isSole = versions.kind === "sole" &&
      viewAgeMs <= MAX_SOLE_VERSION_AGE_MS;
    const finding: StreamFinding = {
      router: self,
      ...(stream !== undefined && { stream: roundRemaining(stream) }),
      ...(isSole && { soleVersion: versions.version }),
      ...(versions.kind === "several" && { hasSeveralVersions: true }),
      ...(Number.isFinite(viewAgeMs) && { viewAgeMs }),
    };
    send(createJSONRPCSuccessResponse(id, finding), router);
  }

  #receiveFinding(
    id: JSONRPCID,
    { router, stream, ...answer }: StreamFinding,
  ): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    // An answer that is late may be to a question from before a restart.
    const isOther = stream !== undefined && stream.key !== pending.question.key;
    if (isOther || !pending.unanswered.delete(router)) return;
    if (stream !== undefined) {
      this.#origins.record(stream, this.#options.clock());
      this.#decide(id);
      return;
    }
    pending.answers.push(answer);
    this.#decide(id);
  }

  #decide(id: JSONRPCID): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    const { clock, findVersions } = this.#options;
    const { key, service, spanMs } = pending.question;
    const told = this.#origins.find(key, clock());
    if (told !== undefined) {
      const isDoubt = told.unproven !== undefined;
      // Another router may know what this one has in doubt.
      const isFinal = pending.isDue || pending.unanswered.size === 0;
      if (!isDoubt || isFinal) {
        this.#settle(id, { outcome: "told", origin: told });
      }
      return;
    }
    const decision = decideInquiry({
      ...pending,
      findVersions: (ms) => findVersions(service, ms),
      spanMs,
      elapsedMs: clock() - pending.askedAt,
    });
    if (decision.kind === "pending") return;
    if (decision.kind === "unknown") {
      this.#settle(id, { outcome: decision.reason, origin: undefined });
      return;
    }
    const origin = { service, softwareVersion: decision.version };
    this.#settle(id, { outcome: "sole-version", origin });
  }

  #settle(
    id: JSONRPCID,
    { outcome, origin }: Pick<InquiryReport, "outcome"> & {
      origin: StreamOrigin | undefined;
    },
  ): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    const { clock, getViewAgeMs, onInquiryEnd } = this.#options;
    this.#endQuestion(id, origin);
    onInquiryEnd?.({
      service: pending.question.service,
      outcome,
      asked: pending.askedCount,
      answers: pending.askedCount - pending.unanswered.size,
      viewAgeMs: Math.round(getViewAgeMs()),
      ms: Math.round(clock() - pending.askedAt),
    });
  }

  #endQuestion(id: JSONRPCID, origin: StreamOrigin | undefined): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    for (const timer of pending?.timers ?? []) clearTimeout(timer);
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
  { spanMs, ...stream }: RunningStream,
): StreamRecord {
  const remainingMs = Math.round(Math.min(spanMs, MAX_STREAM_MS));
  return { ...stream, remainingMs };
}

function roundRemaining(stream: StreamRecord): StreamRecord {
  return { ...stream, remainingMs: Math.floor(stream.remainingMs) };
}
