/**
 * One try of a request at one upstream: sends the request, checks that the
 * response is complete and belongs to it, and forwards a stream as it arrives.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import {
  copyResponseHeaders,
  decodeResponse,
} from "../platform/message_headers.ts";
import type { Refusal } from "../diagnostics.ts";
import {
  type AnswerMeaning,
  interpretAnswer,
  isFinalStatus,
  isSuccess,
} from "../policy/answer_proof.ts";
import type { TryFailure } from "../policy/attempt_plan.ts";
import {
  type Holding,
  type MemoryBudget,
  MIN_HOLDING_BYTES,
} from "../policy/memory_budget.ts";
import { InputAllowance } from "../policy/input_allowance.ts";
import type { ResponseTraits, UpstreamLoad } from "../routing/types.ts";
import { isFramed } from "../transport/body_framing.ts";
import { ByteCollector } from "../transport/byte_collector.ts";
import { EventSplitter, type StreamEvent } from "../transport/event_stream.ts";
import { decodeRefusedId, tryReadRefusal } from "../transport/router_hop.ts";
import type {
  UpstreamConnections,
  UpstreamExchange,
  UpstreamRequest,
} from "../transport/upstream_connections.ts";
import type { AnswerEndCheck } from "./answer_end_checks.ts";
import type { FlowControl, RelayedResponse } from "./stream_relay.ts";

/** A response that was received to its end. */
export interface WholeResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
}

/** How a try ended. */
export type TryResult =
  | { readonly kind: "answered"; readonly answer: WholeResponse }
  /** The stream was forwarded to its end. */
  | { readonly kind: "stream-complete" }
  | {
    readonly kind: "ended";
    readonly end: TryFailure;
    readonly detail: string;
    /** Error response of the upstream, if it may be forwarded to the caller. */
    readonly answer?: WholeResponse;
    /** Whether the upstream closed the connection before a whole response. */
    readonly isCutOff?: boolean;
    /** Whether another try was preferred because no data arrived for too long. */
    readonly isSilent?: boolean;
    /** Whether the response may be a late copy of an earlier one. */
    readonly isUnclear?: boolean;
    /** Whether the upstream sent more than an answer may have. */
    readonly isExcess?: boolean;
    /** Whether it was given up for want of memory. */
    readonly isGivenUp?: boolean;
    /** Whether the upstream asked for a pause. */
    readonly isPause?: boolean;
    /** Headers of the response, if a router serves the request. */
    readonly headers?: IncomingHttpHeaders;
  }
  /** The router that was to serve the request has refused it. */
  | { readonly kind: "router-refused"; readonly refusal: Refusal };

/** What a try shows of the work of its request. */
export interface TryMeasures {
  /** Time until the first event, in milliseconds; undefined without one. */
  readonly firstMs: number | undefined;
  readonly events: number;
  /** Undefined if the upstream stated none. */
  readonly load: UpstreamLoad | undefined;
}

/** The other tries of the request that are open. */
export interface OtherTries {
  readonly areOpen: boolean;
  /** Ends them, since the caller gets the answer of this one. */
  leave(): void;
}

/** Options of a try. */
export interface UpstreamTryOptions {
  readonly connections: UpstreamConnections;
  readonly request: UpstreamRequest;
  readonly requestId: string;
  /** Memory that is held for others; without a limit if absent. */
  readonly memory?: {
    readonly budget: MemoryBudget;
    /** Id of the upstream or name of the router that answers. */
    readonly source: string;
  };
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  readonly relay: RelayedResponse;
  readonly others: OtherTries;
  /**
   * Set if another router serves the request. It sends signs of life until the
   * response begins; the try is silent if none comes for `lifeSignTimeoutMs`
   * milliseconds. The time without data counts from the head then.
   */
  readonly router?: { readonly lifeSignTimeoutMs: number };
  /**
   * Time without data after which the try is silent, in milliseconds; Infinity
   * for a try that never is.
   */
  readonly silenceTimeoutMs: number;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Judges the end of a response without a length. */
  readonly endCheck: Pick<AnswerEndCheck, "recordHead" | "judge">;
  /** Whether the upstream should be avoided by now. */
  isSuspect(): boolean;
  /**
   * Called when the try has become silent, and every SILENCE_CHECK_INTERVAL_MS
   * while it is. It does not end: its upstream may still answer.
   */
  onSilent(): void;
  /**
   * Called with the headers of the response before the first events of a stream
   * are written to the caller.
   */
  onStreamStart(headers: IncomingHttpHeaders): void;
  /** Called with each part of the response. */
  onData?(): void;
  /** Called once if no head has arrived for SUSPECT_SILENCE_MS. */
  onLateHead?(): void;
  /** Called with the load that the upstream reports in its response. */
  onLoad(load: UpstreamLoad): void;
  /**
   * Called once when the upstream has gone on sending a successful response for
   * SURVIVAL_MS, so that it can't crash from beginning it.
   */
  onSurvival(): void;
  /**
   * Called with the status, the traits and the headers of each response head,
   * also if the response is refused or belongs to another request.
   */
  onNotice(
    status: number,
    traits: ResponseTraits,
    headers: IncomingHttpHeaders,
  ): void;
}

const MIN_SERVER_ERROR_STATUS = 500;
const EVENT_STREAM_TYPE = "text/event-stream";
/**
 * Time without data after which a try is silent if its upstream is avoided by
 * then, in milliseconds; that of a connection attempt.
 */
const SUSPECT_SILENCE_MS = 400;
/** Interval of the checks of a try without data, in milliseconds. */
const SILENCE_CHECK_INTERVAL_MS = 200;
/**
 * Time from the first data of a response, in milliseconds, in which an upstream
 * that its request crashes has ended.
 */
const SURVIVAL_MS = 500;
/** Larger than any refusal of a router. */
const MAX_REFUSAL_BYTES = 65_536;
/** Largest response, other than a stream, that is held in memory. */
const MAX_WHOLE_RESPONSE_BYTES = 16_777_216;

/** Events of any size that a stream may replay at once. */
const MAX_BURST_EVENTS = 8_192;

/** Whether `result` passes on what the upstream has sent, as complete. */
function passesOn(result: TryResult): boolean {
  return result.kind === "stream-complete" ||
    result.kind !== "router-refused" && result.answer !== undefined;
}

/** A try in progress. */
export class UpstreamTry {
  /** Resolves with how the try ended; stays pending after `cancel`. */
  readonly result: Promise<TryResult>;
  readonly #options: UpstreamTryOptions;
  readonly #exchange: UpstreamExchange;
  readonly #body = new ByteCollector();
  readonly #splitter = new EventSplitter({
    allows: (event) => this.#allowsEvent(event),
  });
  #resolve!: (result: TryResult) => void;
  /** Runs after the last data. */
  #silenceTimer: NodeJS.Timeout | undefined;
  /** Time without data, in milliseconds; undefined unless the try is silent. */
  #silentMs: number | undefined;
  /** Whether reading waits for the caller. */
  #isPaused = false;
  /** Runs until the head arrives. */
  #headTimer: NodeJS.Timeout | undefined;
  #firstDataAt: number | undefined;
  #hasSurvived = false;
  #eventCount = 0;
  #firstEventAt: number | undefined;
  readonly #sentAt: number;
  /** Memory of the answer or of an incomplete event. */
  #holding: Holding | undefined;
  /** Counts the events; set with the first of them. */
  #allowance: InputAllowance | undefined;
  #isDone = false;
  /** Pauses reading while the caller reads slowly. */
  readonly #flow: FlowControl = {
    pause: () => {
      this.#isPaused = true;
      this.#exchange.pause();
    },
    resume: () => {
      this.#isPaused = false;
      if (!this.#isDone) this.#recordSignOfLife();
      this.#exchange.resume();
    },
  };
  #head: {
    status: number;
    headers: IncomingHttpHeaders;
    traits: ResponseTraits;
    meaning: AnswerMeaning;
    isStream: boolean;
  } | undefined;

  constructor(options: UpstreamTryOptions) {
    this.#options = options;
    this.#sentAt = options.clock();
    this.result = new Promise((resolve) => this.#resolve = resolve);
    const request = { ...options.request, memory: options.memory };
    this.#exchange = options.connections.send(request, {
      onInformation: () => {
        const { router } = options;
        if (router !== undefined) this.#watchSilence(router.lifeSignTimeoutMs);
      },
      onHead: (status, headers) => this.#onHead(status, headers),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onFailure: (failure, detail) => {
        if (failure === "excess") {
          this.#rejectExcess(detail);
          return;
        }
        if (failure === "given-up") {
          this.#reject({ end: "no-answer", detail, isGivenUp: true });
          return;
        }
        const end = failure === "not-sent" ? "not-sent" : "no-answer";
        this.#end({ kind: "ended", end, detail, isCutOff: end !== "not-sent" });
      },
    });
    this.#startHeadTimers();
  }

  /** Whether the connection had served another request before. */
  get isReused(): boolean {
    return this.#exchange.isReused;
  }

  /** Whether the upstream went on with a response for SURVIVAL_MS. */
  get hasSurvived(): boolean {
    return this.#hasSurvived;
  }

  /** Number and times of the events, and the load that the upstream stated. */
  get measures(): TryMeasures {
    return {
      firstMs: this.#eventCount === 0
        ? undefined
        : this.#firstEventAt! - this.#sentAt,
      events: this.#eventCount,
      load: this.#head?.traits.load,
    };
  }

  /**
   * Time without data if that counts as silence, in milliseconds; undefined
   * otherwise.
   */
  get silentMs(): number | undefined {
    return this.#silentMs;
  }

  /** Closes the connection, so that the upstream drops the request. */
  cancel(): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#clearTimers();
    this.#release();
    this.#exchange.cancel();
  }

  #release(): void {
    this.#holding?.close();
    this.#body.clear();
    this.#splitter.clear();
  }

  /** Sets the bytes that the try holds; false if it was given up for them. */
  #hold(bytes: number): boolean {
    const { memory } = this.#options;
    if (memory === undefined) return true;
    if (this.#holding === undefined) {
      if (bytes < MIN_HOLDING_BYTES) return true;
      this.#holding = this.#openHolding(memory);
    }
    return this.#holding.resize(bytes);
  }

  #openHolding(
    { budget, source }: NonNullable<UpstreamTryOptions["memory"]>,
  ): Holding {
    const { headers, isStream } = this.#head!;
    const length = Number(headers["content-length"] ?? 0);
    const expectedBytes = !isStream && length > 0 ? length : undefined;
    return budget.open({
      kind: "answer",
      source,
      expectedBytes,
      onEvict: ({ reason }) =>
        this.#reject({
          end: "no-answer",
          detail: "the memory for answers is full",
          // A known length may be that of a sound answer.
          isExcess: reason === "source-share" && expectedBytes === undefined,
          isGivenUp: true,
        }),
    });
  }

  #clearTimers(): void {
    clearTimeout(this.#silenceTimer);
    clearTimeout(this.#headTimer);
  }

  #startHeadTimers(): void {
    const { router, onLateHead, silenceTimeoutMs } = this.#options;
    if (router !== undefined) {
      this.#watchSilence(router.lifeSignTimeoutMs);
      return;
    }
    if (onLateHead !== undefined) {
      this.#headTimer = setTimeout(onLateHead, SUSPECT_SILENCE_MS);
    }
    this.#watchSilence(silenceTimeoutMs, SUSPECT_SILENCE_MS);
  }

  /**
   * Ends the silence and watches for another: `limitMs` without data, or the time
   * of a check, from `firstCheckMs` on, if the upstream is avoided by then.
   */
  #watchSilence(limitMs: number, firstCheckMs = limitMs): void {
    clearTimeout(this.#silenceTimer);
    this.#silentMs = undefined;
    if (!Number.isFinite(limitMs)) return;
    const delayMs = Math.min(firstCheckMs, limitMs);
    this.#scheduleSilenceCheck({ delayMs, quietMs: delayMs, limitMs });
  }

  #scheduleSilenceCheck(
    { delayMs, quietMs, limitMs }: {
      delayMs: number;
      /** Time without data at the check, in milliseconds. */
      quietMs: number;
      limitMs: number;
    },
  ): void {
    this.#silenceTimer = setTimeout(() => {
      // A slow caller holds the upstream up, which may be sound.
      if (this.#isPaused) {
        this.#silenceTimer?.refresh();
        return;
      }
      const leftMs = limitMs - quietMs;
      const isSilent = leftMs <= 0 ||
        this.#head === undefined && this.#options.isSuspect();
      this.#silentMs = isSilent ? quietMs : undefined;
      const nextMs = leftMs <= 0
        ? SILENCE_CHECK_INTERVAL_MS
        : Math.min(SILENCE_CHECK_INTERVAL_MS, leftMs);
      this.#scheduleSilenceCheck({
        delayMs: nextMs,
        quietMs: quietMs + nextMs,
        limitMs,
      });
      if (isSilent) this.#options.onSilent();
    }, delayMs);
  }

  #recordSignOfLife(): void {
    const { silenceTimeoutMs } = this.#options;
    if (this.#silentMs === undefined) this.#silenceTimer?.refresh();
    else this.#watchSilence(silenceTimeoutMs);
  }

  #onHead(status: number, headers: IncomingHttpHeaders): void {
    clearTimeout(this.#headTimer);
    this.#watchSilence(this.#options.silenceTimeoutMs);
    if (!isFinalStatus(status)) {
      const detail = `status ${status} is not one of HTTP`;
      this.#reject({ end: "no-answer", detail });
      return;
    }
    const traits = decodeResponse(status, headers);
    const { onLoad, onNotice, onData, router } = this.#options;
    onData?.();
    onNotice(status, traits, headers);
    const statedId = traits.requestId ??
      (router === undefined ? undefined : decodeRefusedId(headers));
    const meaning = this.#interpret(status, { ...traits, statedId });
    if (meaning === "unclear") {
      const detail = statedId === undefined
        ? `status ${status} may answer another request`
        : `the answer is for ${statedId}`;
      const isUnclear = this.isReused;
      this.#reject({ end: "no-answer", detail, isUnclear });
      return;
    }
    if (traits.load !== undefined) onLoad(traits.load);
    const type = headers["content-type"] ?? "";
    const isStream = isSuccess(status) && type.startsWith(EVENT_STREAM_TYPE);
    if (isSuccess(status) && !traits.isSigned) {
      this.#reject({ end: "no-answer", detail: "the answer is not signed" });
      return;
    }
    this.#head = { status, headers, traits, meaning, isStream };
    this.#options.endCheck.recordHead({ status, isFramed: this.#isFramed });
  }

  #interpret(
    status: number,
    { statedId, isNotRun }: {
      statedId: string | undefined;
      isNotRun: boolean;
    },
  ): AnswerMeaning {
    const { requestId, isRepeatable } = this.#options;
    return interpretAnswer({ status, statedId, isNotRun }, {
      id: requestId,
      isReused: this.isReused,
      isRepeatable,
    });
  }

  #onData(chunk: Buffer): void {
    if (this.#isDone || this.#head === undefined) return;
    this.#recordSignOfLife();
    this.#options.onData?.();
    this.#recordData();
    if (this.#head.isStream) {
      this.#forwardEvents(chunk);
      return;
    }
    if (this.#body.length + chunk.length > MAX_WHOLE_RESPONSE_BYTES) {
      this.#rejectExcess("the answer is too large");
      return;
    }
    this.#body.push(chunk);
    this.#hold(this.#body.heldBytes);
  }

  #recordData(): void {
    const now = this.#options.clock();
    this.#firstDataAt ??= now;
    if (this.#hasSurvived || now - this.#firstDataAt < SURVIVAL_MS) return;
    this.#hasSurvived = true;
    if (isSuccess(this.#head!.status)) this.#options.onSurvival();
  }

  #forwardEvents(chunk: Buffer): void {
    let events;
    try {
      events = this.#splitter.push(chunk);
    } catch (cause) {
      this.#rejectExcess(String(cause));
      return;
    }
    if (!this.#hold(this.#splitter.heldBytes)) return;
    if (events.length === 0) return;
    this.#firstEventAt ??= this.#options.clock();
    this.#eventCount += events.length;
    this.#forwardSelected(events);
  }

  #forwardSelected(events: readonly StreamEvent[]): void {
    const { relay, others } = this.#options;
    const { events: selected, isInOrder } = relay.select(events);
    // While other tries are open, comments don't decide which one the caller gets.
    const goesOn = selected
      .some(({ hasData, idText }) => hasData || idText !== undefined);
    if (!others.areOpen || goesOn) {
      this.#startStream();
      if (selected.length > 0) relay.write(selected, this.#flow);
    }
    if (!isInOrder) {
      this.#reject({ end: "no-answer", detail: relay.fault });
    }
  }

  /** Whether the stream may have `event` by now; comments bring nothing. */
  #allowsEvent({ bytes, isComment }: StreamEvent): boolean {
    const { clock } = this.#options;
    this.#allowance ??= new InputAllowance(clock(), {
      baseParts: MAX_BURST_EVENTS,
    });
    return this.#allowance.recordPart(isComment ? 0 : bytes.length, clock);
  }

  #onEnd(): void {
    if (this.#isDone) return;
    if (this.#head === undefined) {
      this.#end({
        kind: "ended",
        end: "no-answer",
        detail: "no head",
        isCutOff: true,
      });
      return;
    }
    const { isStream } = this.#head;
    // The copy of a whole answer exceeds the limit only until the try ends.
    this.#holding?.complete();
    const result = isStream ? this.#classifyStream() : this.#classifyAnswer();
    if (passesOn(result) && !this.#isFramed) void this.#checkEnd(result);
    else this.#end(result);
  }

  get #isFramed(): boolean {
    const { status, headers } = this.#head!;
    const { method } = this.#options.request;
    return isFramed({ method, status, headers });
  }

  /** Ends with `result` if it is proven that the upstream sent all of it. */
  async #checkEnd(result: TryResult): Promise<void> {
    this.#clearTimers();
    const end = await this.#options.endCheck.judge();
    if (end === "whole") {
      this.#end(result);
      return;
    }
    const detail = end === "cut"
      ? "the upstream ended with its connection"
      : "nothing proves that the answer without a length is whole";
    this.#end({ kind: "ended", end: "no-answer", detail, isCutOff: true });
  }

  #classifyStream(): TryResult {
    if (this.#splitter.hasIncompleteEvent) {
      const detail = "the stream ended within an event";
      return { kind: "ended", end: "no-answer", detail, isCutOff: true };
    }
    if (!this.#isFramed && this.#eventCount === 0) {
      const detail = "the stream ended without an event";
      return { kind: "ended", end: "no-answer", detail, isCutOff: true };
    }
    if (this.#options.relay.isBehind) {
      const detail = "the stream ended before its last forwarded event";
      return { kind: "ended", end: "no-answer", detail };
    }
    return { kind: "stream-complete" };
  }

  /** Makes this the try that the caller gets the stream from. */
  #startStream(): void {
    const { relay, others } = this.#options;
    others.leave();
    if (relay.isStarted) return;
    const { status, headers } = this.#head!;
    this.#options.onStreamStart(headers);
    relay.start(status, copyResponseHeaders(headers));
  }

  #classifyAnswer(): TryResult {
    const { status, headers, traits, meaning } = this.#head!;
    const detail = `status ${status}`;
    const body = this.#body.take();
    const isRefusal = this.#options.router !== undefined &&
      body.length <= MAX_REFUSAL_BYTES;
    if (isRefusal) {
      const refusal = tryReadRefusal(headers, body.toString());
      if (refusal !== undefined) return { kind: "router-refused", refusal };
    }
    if (meaning === "misdirected") {
      return { kind: "ended", end: "misdirected", detail };
    }
    const isPause = traits.pauseMs !== undefined;
    if (meaning === "not-run") {
      return { kind: "ended", end: "refused", detail, isPause };
    }
    if (meaning === "unfounded") {
      return { kind: "ended", end: "no-answer", detail, isPause };
    }
    const answer = {
      status,
      headers: copyResponseHeaders(headers),
      body,
    };
    if (status < MIN_SERVER_ERROR_STATUS) return { kind: "answered", answer };
    return { kind: "ended", end: "failed", detail, answer, isPause };
  }

  #rejectExcess(detail: string): void {
    this.#reject({ end: "no-answer", detail, isExcess: true });
  }

  #reject(
    ended: {
      end: TryFailure;
      detail: string;
      isUnclear?: boolean;
      isExcess?: boolean;
      isGivenUp?: boolean;
    },
  ): void {
    if (this.#isDone) return;
    this.#exchange.cancel();
    this.#end({ kind: "ended", ...ended });
  }

  #end(result: TryResult): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#clearTimers();
    this.#release();
    if (result.kind === "stream-complete") this.#startStream();
    const { router } = this.#options;
    if (router !== undefined && result.kind === "ended") {
      this.#resolve({ ...result, headers: this.#head?.headers });
    } else this.#resolve(result);
  }
}
