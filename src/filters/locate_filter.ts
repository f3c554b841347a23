/**
 * Finds the router that owns the request's pool and serves the request there:
 * in this process, or by one forward to that router.
 */
import { Buffer } from "node:buffer";
import type { PoolDirectory } from "../control/pool.ts";
import type { Clock, LivenessView } from "../control/views.ts";
import type { Log } from "../log.ts";
import {
  createRefusal,
  type DiagnosticCode,
  getDiagnosticCodes,
  type Refusal,
} from "../diagnostics.ts";
import {
  copyAnswerHeaders,
  renderForwardHeaders,
} from "../transport/forward_headers.ts";
import type {
  HttpClient,
  IncomingAnswer,
  SendFailure,
} from "../transport/http_client.ts";
import type { Problem } from "../transport/problem.ts";
import type { Router } from "../types.ts";
import {
  type Exchange,
  type Filter,
  type FilterChain,
  MAX_WHOLE_ANSWER_BYTES,
  type Outcome,
  refused,
  type TryResult,
} from "./exchange.ts";
import { cancelAttempt } from "./cancel_attempt.ts";
import { isTokenStream, streamAnswer } from "./stream_answer.ts";

/** Header by which the owner marks a refusal of its own. */
export const REFUSAL_HEADER = "x-cf-refusal";
/** Header by which the owner says that it looked at the call's record. */
export const CALL_CHECKED_HEADER = "x-cf-call-checked";

/** Options of the filter. */
export interface LocateFilterOptions {
  readonly self: string;
  readonly pools: PoolDirectory;
  readonly liveness: LivenessView;
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  /** Proves to the owner that the request comes from a router. */
  readonly forwardToken: string;
  /** Serves requests of pools that this router owns. */
  readonly ownerChain: FilterChain;
  findRouter(name: string): Router | undefined;
  /** Address of an upstream, for the resumption of its streams. */
  findUpstreamAddress(name: string): string | undefined;
  tryRetry(): boolean;
  /** Notes a request, by which the budget of retries grows. */
  onRequest(): void;
}

const MAX_HOPS = 2;
const MAX_TRIES = 3;
/** How long the ingress waits past the deadline for the owner's refusal. */
const DEADLINE_GRACE_MS = 500;
/** Silence after which a forward counts as broken. */
const FORWARD_SILENCE_MS = 3_500;
/** How long a router that failed a forward goes last. */
const SUSPECT_MS = 3_000;
/** Interval of the keep-alive comments on forwarded streams. */
export const FORWARD_KEEP_ALIVE_MS = 1_000;

/** Serves a request at the owner of its pool. */
export class LocateFilter implements Filter {
  readonly name = "locate";
  readonly #options: LocateFilterOptions;
  /** Until when each router that failed a forward goes last. */
  readonly #suspects = new Map<string, number>();

  constructor(options: LocateFilterOptions) {
    this.#options = options;
  }

  async handle(exchange: Exchange): Promise<Outcome> {
    this.#options.onRequest();
    const tried = new Set<string>();
    let failure: Refusal | undefined;
    let ran: Refusal["ran"] = "no";
    while (tried.size < MAX_TRIES) {
      // The owner may have changed while the request waited.
      const targets = this.#targetsOf(exchange);
      const target = targets.find((name) => !tried.has(name));
      if (target === undefined) break;
      tried.add(target);
      this.#logRoute(exchange, target);
      if (target === this.#options.self) {
        const outcome = await this.#serveHere(exchange, ran);
        if (!isOwnedElsewhere(outcome)) return outcome;
        failure = outcome.refusal;
        continue;
      }
      const result = await this.#forward(exchange, target);
      if (result.kind === "outcome") return withRan(result.outcome, ran);
      failure = result.refusal;
      this.#suspect(target);
      if (!result.isNotRun) ran = "unknown";
      if (exchange.signal.aborted) break;
      // The record of a non-idempotent call guards its repetition.
      const mayRepeat = result.isNotRun || !exchange.isIdempotent ||
        this.#tryRetry(exchange);
      if (!mayRepeat) break;
    }
    const detail = "No router that owns the pool can be reached.";
    return refused({ ...(failure ?? createRefusal("no-owner", detail)), ran });
  }

  /** Takes the one retry that a request may have, here or at an owner. */
  #tryRetry(exchange: Exchange): boolean {
    if (exchange.hasRetried) return false;
    exchange.hasRetried = this.#options.tryRetry();
    return exchange.hasRetried;
  }

  async #serveHere(
    exchange: Exchange,
    ran: Refusal["ran"],
  ): Promise<Outcome> {
    const outcome = await this.#options.ownerChain.handle(exchange);
    return withRan(outcome, ran);
  }

  #suspect(router: string): void {
    this.#suspects.set(router, this.#options.clock() + SUSPECT_MS);
  }

  #isSuspect(router: string): boolean {
    const until = this.#suspects.get(router);
    return until !== undefined && this.#options.clock() < until;
  }

  /** Routers to try, the believed owner first and suspects last. */
  #targetsOf(exchange: Exchange): readonly string[] {
    const { pools, liveness, self } = this.#options;
    const { service, chat } = exchange;
    const { replicas } = pools.locate(service!, chat);
    const live = replicas.filter((name) => liveness.isLive(name));
    const others = replicas.filter((name) => !liveness.isLive(name));
    // A request that has used up its hops is served here or not at all.
    if (exchange.hops >= MAX_HOPS) return [self];
    const ordered = [...live, ...others];
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
    if (router === undefined) return unreachable(target);
    const now = clock();
    const remainingMs = Math.max(1, exchange.deadlineAt - now);
    const sent = await client.send({
      address: router.forwardAddress,
      method: exchange.method,
      path: exchange.target,
      headers: renderForwardHeaders(exchange, { token, now }),
      body: exchange.body.length > 0 ? exchange.body : undefined,
      firstByteTimeoutMs: remainingMs + DEADLINE_GRACE_MS,
      silenceMs: FORWARD_SILENCE_MS,
      betweenBytesTimeoutMs: exchange.isStreaming
        ? FORWARD_SILENCE_MS
        : exchange.service!.betweenBytesTimeoutMs,
      signal: exchange.signal,
      isFresh: !exchange.isIdempotent,
    });
    if (sent.err) return this.#forwardFailed(exchange, sent.val);
    return await this.#answered(exchange, sent.val);
  }

  #forwardFailed(exchange: Exchange, failure: SendFailure): TryResult {
    this.#options.log.warn("A forward got no answer.", {
      requestId: exchange.requestId,
      kind: failure.kind,
      detail: failure.message,
    });
    if (failure.kind === "not-sent") return unreachable("the owner");
    return { kind: "failed", refusal: brokenOff(exchange), isNotRun: false };
  }

  async #answered(
    exchange: Exchange,
    answer: IncomingAnswer,
  ): Promise<TryResult> {
    if (answer.headers[REFUSAL_HEADER] !== undefined) {
      return await this.#refusedByOwner(exchange, answer);
    }
    const headers = copyAnswerHeaders(answer.headers);
    const isEvents = isTokenStream(exchange.service!, answer.headers);
    const length = headers["content-length"];
    if (length !== undefined && Number(length) <= MAX_WHOLE_ANSWER_BYTES) {
      return await this.#whole(exchange, { answer, headers });
    }
    const { client } = this.#options;
    const attempt = this.#toResumable(exchange, answer);
    const body = streamAnswer(exchange, {
      answer,
      attempt,
      isEvents,
      client,
      onEnd: (isWhole) => {
        // A router in between leaves it to the one that the caller reached.
        const isIngress = exchange.hops === 0;
        if (isWhole || !isEvents || !isIngress || !attempt) return;
        cancelAttempt(client, attempt);
      },
    });
    const { status } = answer;
    return {
      kind: "outcome",
      outcome: { kind: "stream", status, headers, body },
    };
  }

  #toResumable(exchange: Exchange, { headers }: IncomingAnswer) {
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

  async #whole(
    exchange: Exchange,
    { answer, headers }: {
      answer: IncomingAnswer;
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
      return { kind: "failed", refusal: brokenOff(exchange), isNotRun: false };
    }
  }

  async #refusedByOwner(
    exchange: Exchange,
    answer: IncomingAnswer,
  ): Promise<TryResult> {
    exchange.isCallChecked ||= answer.headers[CALL_CHECKED_HEADER] === "1";
    const refusal = await readRefusal(answer);
    if (refusal === undefined) {
      return { kind: "failed", refusal: brokenOff(exchange), isNotRun: false };
    }
    const isElsewhere = refusal.code === "no-owner" ||
      refusal.code === "not-ready";
    if (isElsewhere && refusal.ran === "no") {
      return { kind: "failed", refusal, isNotRun: true };
    }
    return { kind: "outcome", outcome: refused(refusal) };
  }
}

function unreachable(router: string): TryResult {
  const refusal = createRefusal("no-owner", `${router} can't be reached.`);
  return { kind: "failed", refusal, isNotRun: true };
}

/** Whether the request did not run because another router owns the pool. */
function isOwnedElsewhere(
  outcome: Outcome,
): outcome is Outcome & { kind: "refused" } {
  return outcome.kind === "refused" &&
    outcome.refusal.code === "no-owner" && outcome.refusal.ran === "no";
}

/** A refusal after an earlier try that may have run is never "not run". */
function withRan(outcome: Outcome, ran: Refusal["ran"]): Outcome {
  if (outcome.kind !== "refused" || ran === "no") return outcome;
  return refused({ ...outcome.refusal, ran });
}

function brokenOff(exchange: Exchange): Refusal {
  const code = exchange.isIdempotent ? "upstream-failed" : "outcome-unknown";
  const detail = "The router that served the request broke off.";
  return createRefusal(code, detail, { ran: "unknown" });
}

function isDiagnosticCode(code: unknown): code is DiagnosticCode {
  return getDiagnosticCodes().includes(code as DiagnosticCode);
}

async function readRefusal(
  answer: IncomingAnswer,
): Promise<Refusal | undefined> {
  const code = answer.headers[REFUSAL_HEADER];
  if (!isDiagnosticCode(code)) return undefined;
  try {
    const problem = await answer.body.json() as Problem;
    const { detail, retryAfterMs } = problem;
    const ran = problem.ran === "no" ? "no" : "unknown";
    if (retryAfterMs === undefined) return { code, ran, detail };
    return { code, ran, detail, retryAfterMs };
  } catch {
    return undefined;
  }
}
