/**
 * Last filter at the owner: acquires an upstream from the pool, sends the
 * request and returns the response.
 */
import { Buffer } from "node:buffer";
import type { AttemptOutcome, Grant, Pool } from "../control/pool.ts";
import type { Clock } from "../control/views.ts";
import type { Log } from "../log.ts";
import { createRefusal, type Refusal } from "../diagnostics.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import {
  copyEndToEndHeaders,
  copyResponseHeaders,
} from "../transport/forward_headers.ts";
import type {
  HttpClient,
  IncomingResponse,
  SendFailure,
} from "../transport/http_client.ts";
import { parseLoadHeaders } from "../transport/load_header.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  MAX_BUFFERED_RESPONSE_BYTES,
  type Outcome,
  type TryResult,
} from "./exchange.ts";
import { cancelAttempt } from "./cancel_attempt.ts";
import { isTokenStream, streamResponse } from "./stream_response.ts";

/** Options of `UpstreamFilter`. */
export interface UpstreamFilterOptions {
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the pool of the request if this router is one of its replicas. */
  findPool(exchange: Exchange): Pool | undefined;
  /** Takes one retry from the retry budget; false if it is exhausted. */
  tryRetry(): boolean;
  hashChat(chat: string): ChatHash;
}

/** An attempt that was sent to an upstream. */
interface Attempt {
  readonly grant: Grant;
  readonly pool: Pool;
  /** Monotonic time of sending, in milliseconds. */
  readonly sentAt: number;
  /** Whether it was sent on a connection of its own. */
  readonly isFresh: boolean;
}

const MAX_ATTEMPTS = 2;
const NOT_RUN_STATUS = 503;

/** Sends requests to the upstreams of pools that this router replicates. */
export class UpstreamFilter implements Filter {
  readonly name = "upstream";
  readonly #options: UpstreamFilterOptions;

  constructor(options: UpstreamFilterOptions) {
    this.#options = options;
  }

  async handle(exchange: Exchange): Promise<Outcome> {
    const pool = this.#options.findPool(exchange);
    if (pool === undefined) {
      const detail = "This router is no replica of the pool.";
      return createRefusedOutcome(createRefusal("no-owner", detail));
    }
    return await this.#serve(exchange, pool);
  }

  async #serve(exchange: Exchange, pool: Pool): Promise<Outcome> {
    const excluded: string[] = [];
    let ran: Refusal["ran"] = "no";
    let failure: Refusal | undefined;
    while (excluded.length < MAX_ATTEMPTS) {
      const grant = await pool.acquire(
        this.#createAcquireRequest(exchange, excluded),
      );
      // An earlier failure is more informative than the lack of an upstream.
      if (grant.err) {
        return createRefusedOutcome({ ...(failure ?? grant.val), ran });
      }
      const result = await this.#sendAttempt(exchange, {
        pool,
        grant: grant.val,
      });
      if (result === undefined) continue;
      if (result.kind === "outcome") return result.outcome;
      failure = result.refusal;
      if (!result.isNotRun) ran = "unknown";
      excluded.push(grant.val.upstream.name);
      if (!this.#tryRetry(exchange, result)) break;
    }
    return createRefusedOutcome({ ...failure!, ran });
  }

  #tryRetry(exchange: Exchange, { isNotRun }: { isNotRun: boolean }): boolean {
    const { isIdempotent, hasRetried, signal } = exchange;
    const mayRetry = isNotRun || (isIdempotent && !hasRetried);
    return mayRetry && !signal.aborted && this.#options.tryRetry();
  }

  #createAcquireRequest(exchange: Exchange, excluded: readonly string[]) {
    const workspace = exchange.workspace!;
    const { chat } = exchange;
    return {
      requestId: exchange.requestId,
      workspace: workspace.name,
      weight: workspace.weight,
      chat: chat === undefined
        ? undefined
        : this.#options.hashChat(scopeChat(workspace.name, chat)),
      promptTokens: exchange.promptTokens,
      deadlineAt: exchange.deadlineAt,
      excluded,
      signal: exchange.signal,
    };
  }

  /** Sends one attempt; `undefined` if the grant expired before that. */
  async #sendAttempt(
    exchange: Exchange,
    { pool, grant }: { pool: Pool; grant: Grant },
  ): Promise<TryResult | undefined> {
    const { clock, client } = this.#options;
    // Checked immediately before sending, because the grant may have expired.
    if (!pool.isUsable(grant)) {
      pool.release(grant, { fate: "not-sent", isOk: true });
      return undefined;
    }
    // A retry avoids the connection pool: the first try may have used a
    // connection that no longer responds.
    const isFresh = !exchange.isIdempotent ||
      grant.request.excluded.length > 0;
    const attempt = { grant, pool, sentAt: clock(), isFresh };
    const sent = await client.send({
      address: grant.upstream.address,
      method: exchange.method,
      path: exchange.target,
      headers: this.#createHeaders(exchange, grant),
      body: exchange.body.length > 0 ? exchange.body : undefined,
      firstByteTimeoutMs: grant.service.firstByteTimeoutMs,
      betweenBytesTimeoutMs: grant.service.betweenBytesTimeoutMs,
      signal: exchange.signal,
      isFresh,
    });
    if (sent.err) {
      return this.#handleSendFailure(exchange, { attempt, failure: sent.val });
    }
    return await this.#handleAnswer(exchange, { attempt, answer: sent.val });
  }

  #createHeaders(exchange: Exchange, grant: Grant): Record<string, string> {
    const remainingMs = exchange.deadlineAt - this.#options.clock();
    return {
      ...copyEndToEndHeaders(exchange.headers),
      "x-request-id": exchange.requestId,
      "x-attempt-id": grant.attemptId,
      ...(exchange.chat !== undefined && {
        "x-chat-id": scopeChat(exchange.workspace!.name, exchange.chat),
      }),
      "x-workspace": exchange.workspace!.name,
      "x-deadline-ms": String(Math.max(1, Math.round(remainingMs))),
    };
  }

  #handleSendFailure(
    exchange: Exchange,
    { attempt, failure }: { attempt: Attempt; failure: SendFailure },
  ): TryResult {
    const { grant } = attempt;
    const isNotRun = failure.kind === "not-sent";
    this.#options.log.warn("An attempt got no response.", {
      requestId: exchange.requestId,
      attemptId: grant.attemptId,
      upstream: grant.upstream.name,
      kind: failure.kind,
      detail: failure.message,
    });
    this.#release(attempt, {
      fate: isNotRun ? "not-sent" : "unclear",
      isOk: failure.kind === "cancelled",
    });
    if (!isNotRun) this.#cancel(attempt);
    if (isNotRun) {
      const detail = `${grant.upstream.name} refused the connection.`;
      const refusal = createRefusal("upstream-unreachable", detail);
      return { kind: "failed", refusal, isNotRun };
    }
    return {
      kind: "failed",
      refusal: createUnclearRefusal(exchange),
      isNotRun,
    };
  }

  async #handleAnswer(
    exchange: Exchange,
    { attempt, answer }: { attempt: Attempt; answer: IncomingResponse },
  ): Promise<TryResult> {
    const { grant, pool } = attempt;
    const report = parseLoadHeaders(answer.headers);
    if (report !== undefined) {
      pool.recordReport(grant.upstream.name, report, attempt.sentAt);
    }
    if (isNotRunResponse(answer, attempt)) {
      await answer.body.dump();
      this.#release(attempt, { fate: "finished", isOk: false });
      const detail = `${grant.upstream.name} did not take the request.`;
      const refusal = createRefusal("no-capacity", detail);
      return { kind: "failed", refusal, isNotRun: true };
    }
    if (answer.headers["x-attempt-id"] !== grant.attemptId) {
      answer.body.destroy();
      this.#release(attempt, { fate: "unclear", isOk: false });
      const refusal = createUnclearRefusal(exchange);
      return { kind: "failed", refusal, isNotRun: false };
    }
    return await this.#forwardAnswer(exchange, { attempt, answer });
  }

  async #forwardAnswer(
    exchange: Exchange,
    { attempt, answer }: { attempt: Attempt; answer: IncomingResponse },
  ): Promise<TryResult> {
    const { grant } = attempt;
    const headers = copyResponseHeaders(answer.headers);
    headers["x-upstream"] = grant.upstream.name;
    const end: AttemptOutcome = {
      fate: "finished",
      isOk: answer.status < 500,
      firstByteMs: this.#options.clock() - attempt.sentAt,
      promptTokens: Number(answer.headers["x-prompt-tokens"] ?? 0),
      cachedTokens: Number(answer.headers["x-cached-tokens"] ?? 0),
    };
    const hasTokenEvents = isTokenStream(grant.service, answer.headers);
    if (!hasTokenEvents && isBufferable(answer)) {
      return await this.#forwardWholeAnswer(exchange, {
        attempt,
        answer,
        headers,
        end,
      });
    }
    delete headers["content-length"];
    const body = streamResponse(exchange, {
      answer,
      attempt: createResumableAttempt(grant),
      hasTokenEvents,
      client: this.#options.client,
      onEnd: (isComplete) =>
        this.#handleStreamEnd(exchange, { attempt, end, isComplete }),
    });
    return {
      kind: "outcome",
      outcome: { kind: "stream", status: answer.status, headers, body },
    };
  }

  #handleStreamEnd(
    exchange: Exchange,
    { attempt, end, isComplete }: {
      attempt: Attempt;
      end: AttemptOutcome;
      isComplete: boolean;
    },
  ): void {
    if (isComplete) {
      this.#release(attempt, end);
      return;
    }
    this.#release(attempt, { fate: "unclear", isOk: false });
    // A router that forwarded the request may resume the stream at the upstream.
    // If it abandons the stream, it cancels the attempt itself.
    if (exchange.hops === 0) this.#cancel(attempt);
  }

  #endAttempt(attempt: Attempt, end: AttemptOutcome): void {
    this.#release(attempt, end);
    if (end.fate === "unclear") this.#cancel(attempt);
  }

  async #forwardWholeAnswer(
    exchange: Exchange,
    { attempt, answer, headers, end }: {
      attempt: Attempt;
      answer: IncomingResponse;
      headers: Record<string, string | string[]>;
      end: AttemptOutcome;
    },
  ): Promise<TryResult> {
    try {
      const body = Buffer.from(await answer.body.arrayBuffer());
      this.#release(attempt, end);
      headers["content-length"] = String(body.length);
      const { status } = answer;
      return {
        kind: "outcome",
        outcome: { kind: "whole", status, headers, body },
      };
    } catch {
      this.#endAttempt(attempt, { fate: "unclear", isOk: false });
      const refusal = createUnclearRefusal(exchange);
      return { kind: "failed", refusal, isNotRun: false };
    }
  }

  #release({ pool, grant }: Attempt, end: AttemptOutcome): void {
    pool.release(grant, end);
  }

  #cancel({ grant }: Attempt): void {
    if (grant.service.kind !== "engine") return;
    const { attemptId, upstream: { address } } = grant;
    cancelAttempt(this.#options.client, { attemptId, address });
  }
}

/**
 * Prefixes a chat id with its workspace, so that equal ids of two workspaces
 * differ at the upstreams.
 */
export function scopeChat(workspace: string, chat: string): string {
  return `${workspace}/${chat}`;
}

function createResumableAttempt({ attemptId, upstream, service }: Grant) {
  return {
    attemptId,
    address: upstream.address,
    betweenBytesTimeoutMs: service.betweenBytesTimeoutMs,
  };
}

/**
 * Whether the upstream states that it did not run the attempt. On a connection
 * of the pool, a response without the attempt's id may be a late copy.
 */
function isNotRunResponse(
  { status, headers }: IncomingResponse,
  { grant, isFresh }: Attempt,
): boolean {
  if (status !== NOT_RUN_STATUS || headers["x-not-run"] !== "1") return false;
  const statedId = headers["x-attempt-id"];
  return statedId === undefined ? isFresh : statedId === grant.attemptId;
}

function isBufferable({ headers }: IncomingResponse): boolean {
  const length = headers["content-length"];
  if (length === undefined) return false;
  return Number(length) <= MAX_BUFFERED_RESPONSE_BYTES;
}

function createUnclearRefusal(exchange: Exchange): Refusal {
  if (exchange.isIdempotent) {
    const detail = "The upstream broke off before its answer was whole.";
    return createRefusal("upstream-failed", detail, { ran: "unknown" });
  }
  const detail = "The call may have run; it will not be run again.";
  return createRefusal("outcome-unknown", detail, { ran: "unknown" });
}
