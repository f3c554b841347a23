/**
 * One try of a request at another router, which serves it in place of this one.
 */
import type { IncomingHttpHeaders } from "node:http";
import { encodeRouterHeaders } from "../platform/message_headers.ts";
import type { MemoryBudget } from "../policy/memory_budget.ts";
import type { ResponseTraits } from "../routing/types.ts";
import {
  decodeServed,
  encodeForwarded,
  type ForwardedTraits,
  type ServedTraits,
} from "../transport/router_hop.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";
import type { AnswerEndCheck } from "./answer_end_checks.ts";
import type { IngressExchange } from "./ingress_exchange.ts";
import {
  type ForwardTarget,
  NON_REPEATABLE_LIFE_SIGN_TIMEOUT_MS,
  REPEATABLE_LIFE_SIGN_TIMEOUT_MS,
} from "./router_forwarding.ts";
import type { RelayedResponse } from "./stream_relay.ts";
import { type OtherTries, UpstreamTry } from "./upstream_try.ts";

/** Options of `createRouterTry`. */
export interface RouterTryOptions {
  readonly target: ForwardTarget;
  readonly connections: UpstreamConnections;
  readonly memory: MemoryBudget;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  readonly endCheck: AnswerEndCheck;
  readonly relay: RelayedResponse;
  readonly others: OtherTries;
  readonly forwarded: ForwardedTraits;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Longest time without data after the head, in milliseconds. */
  readonly silenceTimeoutMs: number;
  /** Longest idle time of a reused connection, in milliseconds. */
  readonly maxIdleMs: number;
  /** Whether it needs a new connection. */
  readonly isFresh: boolean;
  /** Called when the try has become silent, and at intervals while it is. */
  onSilent(): void;
  /** Called before the first events of a stream are written to the caller. */
  onStreamStart(served: ServedTraits): void;
  /** Called with what the upstream states of itself. */
  onNotice(
    upstream: string | undefined,
    notice: { status: number; traits: ResponseTraits },
  ): void;
}

/**
 * Time that the other router may need for a try beside a silent one, in
 * milliseconds, in addition to the time without data that it waits for itself.
 */
const REPLACEMENT_MS = 500;

/** Sends a request to another router. */
export function createRouterTry(
  exchange: IngressExchange,
  options: RouterTryOptions,
): UpstreamTry {
  const { request, traits, body } = exchange;
  const { target, relay, remainingMs, isRepeatable, maxIdleMs } = options;
  const lastEventId = relay.resumeAfter;
  return new UpstreamTry({
    connections: options.connections,
    clock: options.clock,
    memory: { budget: options.memory, source: target.name },
    request: {
      address: target.address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: [
        ...encodeRouterHeaders(request, { remainingMs, lastEventId }),
        ...encodeForwarded(options.forwarded),
      ],
      body: body !== undefined && body.length > 0 ? body : undefined,
      maxIdleMs,
      isFresh: options.isFresh,
    },
    requestId: traits.requestId,
    isRepeatable,
    relay,
    others: options.others,
    router: {
      lifeSignTimeoutMs: isRepeatable
        ? REPEATABLE_LIFE_SIGN_TIMEOUT_MS
        : NON_REPEATABLE_LIFE_SIGN_TIMEOUT_MS,
    },
    silenceTimeoutMs: options.silenceTimeoutMs + REPLACEMENT_MS,
    endCheck: options.endCheck,
    onSilent: () => options.onSilent(),
    isSuspect: () => false,
    onStreamStart: (headers) => options.onStreamStart(decodeServed(headers)),
    // The other router records what the response says of the request and of the
    // load of the upstream.
    onSurvival: () => {},
    onLoad: () => {},
    onNotice: (status, each, headers) =>
      options.onNotice(getUpstream(headers), { status, traits: each }),
  });
}

function getUpstream(headers: IncomingHttpHeaders): string | undefined {
  return decodeServed(headers).upstream;
}
