/** Sends one request and collects its answer with the times of its parts. */
import { performance } from "node:perf_hooks";
import type { Balancer, RouterTarget } from "./balancer.ts";

/** A request to any router. */
export interface OutgoingRequest {
  readonly method: "POST" | "PUT";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** An answer, as far as it came. */
export interface Exchange {
  /** 0 when no answer began. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
  /** Name of the failure that cut the answer short; absent when it ended. */
  readonly failure?: string;
  readonly router: RouterTarget;
  /** Time from sending to the first byte of the body. */
  readonly firstByteMs?: number;
  /** Times between the parts of the body. */
  readonly gapsMs: readonly number[];
  readonly totalMs: number;
}

/** Options of sending. */
export interface SendOptions {
  /** Router to try first; the balancer picks one unless given. */
  router?: RouterTarget;
  /** Router not to send to, where there is another. */
  except?: RouterTarget;
  /** Longest wait for the head, and between two parts of the body. */
  timeoutMs: number;
}

const MAX_CONNECT_TRIES = 3;

/** Sends to a router, and to the next when the connection was refused. */
export async function send(
  balancer: Balancer,
  request: OutgoingRequest,
  { router: wanted, except, timeoutMs }: SendOptions,
): Promise<Exchange> {
  let router = wanted ?? balancer.pick(except);
  for (let tries = 1;; tries++) {
    const exchange = await sendTo(router, request, timeoutMs);
    const refused = exchange.failure === "ECONNREFUSED";
    if (!refused || tries === MAX_CONNECT_TRIES) return exchange;
    router = balancer.pick(router);
  }
}

async function sendTo(
  router: RouterTarget,
  request: OutgoingRequest,
  timeoutMs: number,
): Promise<Exchange> {
  const started = performance.now();
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
    let last: number | undefined;
    for await (const part of answer.body) {
      const now = performance.now();
      if (last === undefined) result.firstByteMs = now - started;
      else gapsMs.push(now - last);
      last = now;
      result.text += decoder.decode(part as Uint8Array, { stream: true });
    }
  } catch (error) {
    result.failure = getFailureName(error);
  }
  const totalMs = performance.now() - started;
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
