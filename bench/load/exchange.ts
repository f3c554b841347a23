/** Sends one request and collects its response with the times of its chunks. */
import { performance } from "node:perf_hooks";
import type { Balancer, RouterTarget } from "./balancer.ts";

/** A request that any router can serve. */
export interface OutgoingRequest {
  readonly method: "POST" | "PUT";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A response, as far as it was received. */
export interface Exchange {
  /** HTTP status; 0 if no response head was received. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
  /** Code or name of the error that ended the response early, if any. */
  readonly failure?: string;
  readonly router: RouterTarget;
  /** Time from sending to the first byte of the body, in ms. */
  readonly firstByteMs?: number;
  /** Times between the chunks of the body, in ms. */
  readonly gapsMs: readonly number[];
  readonly totalMs: number;
}

/** Options of `send`. */
export interface SendOptions {
  /** Router to try first; picked by the balancer if absent. */
  router?: RouterTarget;
  /** Router to avoid if there is another one. */
  except?: RouterTarget;
  /** Maximum wait for the head, and between two chunks of the body, in ms. */
  timeoutMs: number;
}

const MAX_CONNECT_ATTEMPTS = 3;

/** Sends to a router, and to another one if the connection is refused. */
export async function send(
  balancer: Balancer,
  request: OutgoingRequest,
  { router: firstRouter, except, timeoutMs }: SendOptions,
): Promise<Exchange> {
  let router = firstRouter ?? balancer.pick(except);
  for (let attempt = 1;; attempt++) {
    const exchange = await sendTo(router, request, timeoutMs);
    const isRefused = exchange.failure === "ECONNREFUSED";
    if (!isRefused || attempt === MAX_CONNECT_ATTEMPTS) return exchange;
    router = balancer.pick(router);
  }
}

async function sendTo(
  router: RouterTarget,
  request: OutgoingRequest,
  timeoutMs: number,
): Promise<Exchange> {
  const startedMs = performance.now();
  const gapsMs: number[] = [];
  const decoder = new TextDecoder();
  const result = {
    status: 0,
    headers: {},
    text: "",
    failure: undefined as string | undefined,
    firstByteMs: undefined as number | undefined,
  };
  try {
    const answer = await router.dispatcher.request({
      ...request,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    result.status = answer.statusCode;
    result.headers = flattenHeaders(answer.headers);
    let lastMs: number | undefined;
    for await (const chunk of answer.body) {
      const nowMs = performance.now();
      if (lastMs === undefined) result.firstByteMs = nowMs - startedMs;
      else gapsMs.push(nowMs - lastMs);
      lastMs = nowMs;
      result.text += decoder.decode(chunk as Uint8Array, { stream: true });
    }
  } catch (error) {
    result.failure = getFailureName(error);
  }
  const totalMs = performance.now() - startedMs;
  return { ...result, router, gapsMs, totalMs };
}

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    flat[name] = Array.isArray(value) ? value.join(", ") : value ?? "";
  }
  return flat;
}

function getFailureName(error: unknown): string {
  if (!(error instanceof Error)) return "unknown";
  const code = (error as NodeJS.ErrnoException).code;
  return code ?? error.name;
}
