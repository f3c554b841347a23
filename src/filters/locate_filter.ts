/**
 * Finds the router that owns the request's pool and has the request served
 * there: in this process, or by forwarding it to that router.
 */
import { Buffer } from "node:buffer";
import type { PoolDirectory } from "../control/pool.ts";
import type { Clock, LivenessView } from "../control/views.ts";
import type { Log } from "../log.ts";
import { createRefusal, type Refusal } from "../diagnostics.ts";
import {
  copyResponseHeaders,
  renderForwardHeaders,
} from "../transport/forward_headers.ts";
import type {
  HttpClient,
  IncomingResponse,
  SendFailure,
} from "../transport/http_client.ts";
import { REFUSAL_HEADER, tryReadRefusal } from "../transport/router_hop.ts";
import type { Router } from "../types.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  type FilterChain,
  MAX_BUFFERED_RESPONSE_BYTES,
  type Outcome,
  type TryResult,
} from "./exchange.ts";
import { cancelAttempt } from "./cancel_attempt.ts";
import { isTokenStream, streamResponse } from "./stream_response.ts";

/** Header that says that the owner checked the call's idempotency record. */
export const CALL_CHECKED_HEADER = "x-cf-call-checked";

/** Options of `LocateFilter`. */
export interface LocateFilterOptions {
  /** Name of this router. */
  readonly self: string;
  readonly pools: PoolDirectory;
  readonly liveness: LivenessView;
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  /** Token that authenticates this router to the owner. */
  readonly forwardToken: string;
  /** Serves requests for pools that this router owns. */
  readonly ownerChain: FilterChain;
  findRouter(name: string): Router | undefined;
  /** Returns the address of an upstream, to resume its streams. */
  findUpstreamAddress(name: string): string | undefined;
  /** Takes one retry from the retry budget; false if it is exhausted. */
  tryRetry(): boolean;
  /** Counts a request, which increases the retry budget. */
  recordRequest(): void;
}

const MAX_HOPS = 2;
const MAX_TRIES = 3;
/** Time that the ingress waits after the deadline for the owner's refusal. */
const DEADLINE_GRACE_MS = 500;
/** Time without any data after which a forward counts as failed. */
const FORWARD_SILENCE_TIMEOUT_MS = 3_500;
/** Time for which a router that failed a forward is tried last. */
const SUSPECT_DURATION_MS = 3_000;
/** Interval of the keep-alive comments on forwarded streams. */
export const FORWARD_KEEP_ALIVE_MS = 1_000;

/** Has a request served by the owner of its pool. */
export class LocateFilter implements Filter {
  readonly name = "locate";
  readonly #options: LocateFilterOptions;
  /** Routers that failed a forward, with the time until they are tried last. */
  readonly #suspectUntil = new Map<string, number>();

  constructor(options: LocateFilterOptions) {
    this.#options = options;
  }

  async handle(exchange: Exchange): Promise<Outcome> {
    this.#options.recordRequest();
    const tried = new Set<string>();
    let failure: Refusal | undefined;
    let ran: Refusal["ran"] = "no";
    while (tried.size < MAX_TRIES) {
      // Evaluated for each try: the owner may have changed in the meantime.
      const targets = this.#getTargets(exchange);
      const target = targets.find((name) => !tried.has(name));
      if (target === undefined) break;
      tried.add(target);
      this.#logRoute(exchange, target);
      if (target === this.#options.self) {
        const outcome = await this.#serveLocally(exchange, ran);
        if (!isOwnedElsewhere(outcome)) return outcome;
        failure = outcome.refusal;
        continue;
      }
      const result = await this.#forward(exchange, target);
      if (result.kind === "outcome") return withRan(result.outcome, ran);
      failure = result.refusal;
      this.#markSuspect(target);
      if (!result.isNotRun) ran = "unknown";
      if (exchange.signal.aborted) break;
      // A non-idempotent call may be sent again because its record prevents a
      // second execution.
      const mayRetry = result.isNotRun || !exchange.isIdempotent ||
        this.#tryRetry(exchange);
      if (!mayRetry) break;
    }
    const detail = "No router that owns the pool can be reached.";
    return createRefusedOutcome({
      ...(failure ?? createRefusal("no-owner", detail)),
      ran,
    });
  }

  /** Takes the only retry of a request, whichever router makes it. */
  #tryRetry(exchange: Exchange): boolean {
    if (exchange.hasRetried) return false;
    exchange.hasRetried = this.#options.tryRetry();
    return exchange.hasRetried;
  }

  async #serveLocally(
    exchange: Exchange,
    ran: Refusal["ran"],
  ): Promise<Outcome> {
    const outcome = await this.#options.ownerChain.handle(exchange);
    return withRan(outcome, ran);
  }

  #markSuspect(router: string): void {
    this.#suspectUntil.set(router, this.#options.clock() + SUSPECT_DURATION_MS);
  }

  #isSuspect(router: string): boolean {
    const until = this.#suspectUntil.get(router);
    return until !== undefined && this.#options.clock() < until;
  }

  /** Routers to try: the presumed owner first, suspected routers last. */
  #getTargets(exchange: Exchange): readonly string[] {
    const { pools, liveness, self } = this.#options;
    const { service, chat } = exchange;
    const { replicas } = pools.locate(service!, chat);
    const live = replicas.filter((name) => liveness.isLive(name));
    const notLive = replicas.filter((name) => !liveness.isLive(name));
    // A request that has reached the hop limit is served here or refused.
    if (exchange.hops >= MAX_HOPS) return [self];
    const ordered = [...live, ...notLive];
    return [
      ...ordered.filter((name) => !this.#isSuspect(name)),
      ...ordered.filter((name) => this.#isSuspect(name)),
    ];
  }

  #logRoute(exchange: Exchange, target: string): void {
    this.#options.log.info("Routed a request.", {
      requestId: exchange.requestId,
      workspace: exchange.workspace!.name,
      service: exchange.service!.name,
      owner: target,
      hops: exchange.hops,
    });
  }

  async #forward(exchange: Exchange, target: string): Promise<TryResult> {
    const { findRouter, client, clock, forwardToken: token } = this.#options;
    const router = findRouter(target);
    if (router === undefined) return createUnreachableResult(target);
    const now = clock();
    const remainingMs = Math.max(1, exchange.deadlineAt - now);
    const sent = await client.send({
      address: router.forwardAddress,
      method: exchange.method,
      path: exchange.target,
      headers: renderForwardHeaders(exchange, { token, now }),
      body: exchange.body.length > 0 ? exchange.body : undefined,
      firstByteTimeoutMs: remainingMs + DEADLINE_GRACE_MS,
      inactivityTimeoutMs: FORWARD_SILENCE_TIMEOUT_MS,
      betweenBytesTimeoutMs: exchange.isStreaming
        ? FORWARD_SILENCE_TIMEOUT_MS
        : exchange.service!.betweenBytesTimeoutMs,
      signal: exchange.signal,
      isFresh: !exchange.isIdempotent,
    });
    if (sent.err) return this.#handleSendFailure(exchange, sent.val);
    return await this.#handleAnswer(exchange, sent.val);
  }

  #handleSendFailure(exchange: Exchange, failure: SendFailure): TryResult {
    this.#options.log.warn("A forwarded request got no response.", {
      requestId: exchange.requestId,
      kind: failure.kind,
      detail: failure.message,
    });
    if (failure.kind === "not-sent") {
      return createUnreachableResult("the owner");
    }
    return {
      kind: "failed",
      refusal: createBrokenForwardRefusal(exchange),
      isNotRun: false,
    };
  }

  async #handleAnswer(
    exchange: Exchange,
    answer: IncomingResponse,
  ): Promise<TryResult> {
    if (answer.headers[REFUSAL_HEADER] !== undefined) {
      return await this.#handleOwnerRefusal(exchange, answer);
    }
    const headers = copyResponseHeaders(answer.headers);
    const hasTokenEvents = isTokenStream(exchange.service!, answer.headers);
    const length = headers["content-length"];
    if (length !== undefined && Number(length) <= MAX_BUFFERED_RESPONSE_BYTES) {
      return await this.#readWholeAnswer(exchange, { answer, headers });
    }
    const { client } = this.#options;
    const attempt = this.#getResumableAttempt(exchange, answer);
    const body = streamResponse(exchange, {
      answer,
      attempt,
      hasTokenEvents,
      client,
      onEnd: (isComplete) => {
        // An intermediate router leaves the cancellation to the ingress router,
        // which may still resume the stream.
        const isIngress = exchange.hops === 0;
        if (isComplete || !hasTokenEvents || !isIngress || !attempt) return;
        cancelAttempt(client, attempt);
      },
    });
    const { status } = answer;
    return {
      kind: "outcome",
      outcome: { kind: "stream", status, headers, body },
    };
  }

  #getResumableAttempt(exchange: Exchange, { headers }: IncomingResponse) {
    const attemptId = headers["x-attempt-id"];
    const upstream = headers["x-upstream"];
    if (typeof attemptId !== "string" || typeof upstream !== "string") {
      return undefined;
    }
    const address = this.#options.findUpstreamAddress(upstream);
    if (address === undefined) return undefined;
    const { betweenBytesTimeoutMs } = exchange.service!;
    return { attemptId, address, betweenBytesTimeoutMs };
  }

  async #readWholeAnswer(
    exchange: Exchange,
    { answer, headers }: {
      answer: IncomingResponse;
      headers: Record<string, string | string[]>;
    },
  ): Promise<TryResult> {
    try {
      const body = Buffer.from(await answer.body.arrayBuffer());
      const { status } = answer;
      return {
        kind: "outcome",
        outcome: { kind: "whole", status, headers, body },
      };
    } catch {
      return {
        kind: "failed",
        refusal: createBrokenForwardRefusal(exchange),
        isNotRun: false,
      };
    }
  }

  async #handleOwnerRefusal(
    exchange: Exchange,
    answer: IncomingResponse,
  ): Promise<TryResult> {
    exchange.isCallChecked ||= answer.headers[CALL_CHECKED_HEADER] === "1";
    const refusal = await readRefusal(answer);
    if (refusal === undefined) {
      return {
        kind: "failed",
        refusal: createBrokenForwardRefusal(exchange),
        isNotRun: false,
      };
    }
    const isUnableToServe = refusal.code === "no-owner" ||
      refusal.code === "not-ready";
    if (isUnableToServe && refusal.ran === "no") {
      return { kind: "failed", refusal, isNotRun: true };
    }
    return { kind: "outcome", outcome: createRefusedOutcome(refusal) };
  }
}

function createUnreachableResult(router: string): TryResult {
  const refusal = createRefusal("no-owner", `${router} can't be reached.`);
  return { kind: "failed", refusal, isNotRun: true };
}

/** Whether a refusal says that another router owns the pool and nothing ran. */
function isOwnedElsewhere(
  outcome: Outcome,
): outcome is Outcome & { kind: "refused" } {
  return outcome.kind === "refused" &&
    outcome.refusal.code === "no-owner" && outcome.refusal.ran === "no";
}

/** Marks a refusal as possibly run if an earlier try may have run. */
function withRan(outcome: Outcome, ran: Refusal["ran"]): Outcome {
  if (outcome.kind !== "refused" || ran === "no") return outcome;
  return createRefusedOutcome({ ...outcome.refusal, ran });
}

function createBrokenForwardRefusal(exchange: Exchange): Refusal {
  const code = exchange.isIdempotent ? "upstream-failed" : "outcome-unknown";
  const detail = "The router that served the request broke off.";
  return createRefusal(code, detail, { ran: "unknown" });
}

async function readRefusal(
  answer: IncomingResponse,
): Promise<Refusal | undefined> {
  try {
    return tryReadRefusal(answer.headers, await answer.body.text());
  } catch {
    // The response broke off; the caller reports that.
    return undefined;
  }
}
