/**
 * Test doubles for the dependencies of the filters: an HTTP client with scripted
 * responses and a pool that records its grants.
 */
import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { arrayBuffer, json, text } from "node:stream/consumers";
import { Err, Ok, type Result } from "ts-results";
import type { Service, Upstream, Workspace } from "../../config/manifest.ts";
import type {
  AcquireRequest,
  AttemptOutcome,
  Grant,
  Pool,
} from "../../control/pool.ts";
import { createRefusal, type Refusal } from "../../diagnostics.ts";
import {
  type HttpClient,
  type IncomingResponse,
  type OutgoingRequest,
  SendFailure,
  type SendFailureKind,
} from "../../transport/http_client.ts";
import type { Exchange, Outcome } from "../exchange.ts";

/** Result of sending a request. */
export type SendResult = Result<IncomingResponse, SendFailure>;

/** Returns the result for a request; `index` counts the requests from 0. */
export type SendHandler = (
  request: OutgoingRequest,
  index: number,
) => SendResult | Promise<SendResult>;

/** HTTP client that gets its results from a script and records requests. */
export class ScriptedClient implements HttpClient {
  readonly sent: OutgoingRequest[] = [];
  readonly #answer: SendHandler;

  constructor(answer: SendHandler) {
    this.#answer = answer;
  }

  async send(request: OutgoingRequest): Promise<SendResult> {
    this.sent.push(request);
    return await this.#answer(request, this.sent.length - 1);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Creates the result of a request that got no response. */
export function createSendFailure(kind: SendFailureKind): SendResult {
  return Err(new SendFailure(kind, kind));
}

/** Creates a response; an `Error` among the chunks fails the body there. */
export function createIncomingResponse(
  status: number,
  headers: Record<string, string>,
  chunks: readonly (string | Buffer | Error)[] = [],
): SendResult {
  async function* produceChunks() {
    for (const chunk of chunks) {
      await Promise.resolve();
      if (chunk instanceof Error) throw chunk;
      yield Buffer.from(chunk);
    }
  }
  const body = Readable.from(produceChunks());
  body.on("error", () => {});
  Object.assign(body, {
    arrayBuffer: () => arrayBuffer(body),
    json: () => json(body),
    text: () => text(body),
    dump: () => Promise.resolve(void body.resume()),
  });
  return Ok({ status, headers, body: body as never });
}

const upstreamLimits = { hardLimit: 8, coldLimit: 2, checksFencing: false };

/** Creates an upstream; nothing listens at its address. */
export function createUpstream(name: string): Upstream {
  return {
    name,
    host: `host-${name}`,
    failureDomain: "a",
    address: `${name}:1`,
    ...upstreamLimits,
  };
}

/** Creates an engine service with the upstreams `names`. */
export function createService(
  names: readonly string[],
  changes: Partial<Service> = {},
): Service {
  return {
    name: "assistant",
    kind: "engine",
    model: "kiln",
    loadFactor: 2,
    queueLimit: 16,
    firstByteTimeoutMs: 1_000,
    betweenBytesTimeoutMs: 1_000,
    deadlineMs: 10_000,
    routes: [],
    upstreams: names.map(createUpstream),
    ...changes,
  };
}

const workspace: Workspace = {
  name: "hakata",
  key: "hakata-key",
  weight: 1,
  requestsPerSecond: 1_000,
  burst: 1_000,
};

/** Creates an exchange with the fields that earlier filters fill in. */
export function createTestExchange(changes: Partial<Exchange> = {}): Exchange {
  return {
    requestId: "request-1",
    method: "POST",
    target: "/v1/chat/completions",
    path: "/v1/chat/completions",
    headers: {},
    signal: new AbortController().signal,
    arrivedAt: 0,
    readBody: () => Promise.resolve(Ok(Buffer.alloc(0))),
    body: Buffer.from("{}"),
    service: createService(["u1", "u2", "u3"]),
    workspace,
    isIdempotent: true,
    isStreaming: false,
    isCallChecked: false,
    deadlineAt: 10_000,
    promptTokens: 1,
    hops: 0,
    hasRetried: false,
    ...changes,
  };
}

/** Pool that grants the first upstream that is not excluded. */
export class RecordingPool implements Pool {
  readonly id = "assistant/0";
  readonly grants: Grant[] = [];
  readonly ends: AttemptOutcome[] = [];
  readonly reports: string[] = [];
  /** Whether the grant with this index is usable when its request is sent. */
  isGrantUsable: (index: number) => boolean = () => true;
  service: Service;

  constructor(service: Service) {
    this.service = service;
  }

  acquire(request: AcquireRequest): Promise<Result<Grant, Refusal>> {
    const upstream = this.service.upstreams.find(({ name }) =>
      !request.excluded.includes(name)
    );
    if (upstream === undefined || request.signal.aborted) {
      const refusal = createRefusal(
        "no-capacity",
        "All upstreams are excluded.",
      );
      return Promise.resolve(Err(refusal));
    }
    const grant = {
      attemptId: `attempt-${this.grants.length + 1}`,
      pool: this.id,
      service: this.service,
      upstream,
      beganAt: 0,
      utilisation: 0.5,
      sendBy: 1_000,
      request,
    };
    this.grants.push(grant);
    return Promise.resolve(Ok(grant));
  }

  isUsable(grant: Grant): boolean {
    return this.isGrantUsable(this.grants.indexOf(grant));
  }

  release(_grant: Grant, end: AttemptOutcome): void {
    this.ends.push(end);
  }

  recordReport(upstream: string): void {
    this.reports.push(upstream);
  }
}

/** Reads an outcome to its end and returns it as text. */
export async function readOutcome(outcome: Outcome): Promise<string> {
  if (outcome.kind === "refused") {
    const { code, ran } = outcome.refusal;
    return `${code}, ran: ${ran}`;
  }
  if (outcome.kind === "whole") return outcome.body.toString();
  const chunks: Uint8Array[] = [];
  for await (const chunk of outcome.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}
