/**
 * Stand-ins for what the filters call: a client whose answers are scripted and
 * a pool that keeps a record of its grants.
 */
import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { arrayBuffer, json } from "node:stream/consumers";
import { Err, Ok, type Result } from "ts-results";
import type { Service, Upstream, Workspace } from "../../config/manifest.ts";
import type {
  AcquireRequest,
  AttemptEnd,
  Grant,
  Pool,
} from "../../control/pool.ts";
import { createRefusal, type Refusal } from "../../diagnostics.ts";
import {
  type HttpClient,
  type IncomingAnswer,
  type OutgoingRequest,
  SendFailure,
  type SendFailureKind,
} from "../../transport/http_client.ts";
import type { Exchange, Outcome } from "../exchange.ts";

/** Result of a request that is sent. */
export type Sent = Result<IncomingAnswer, SendFailure>;

/** Decides about the request that is sent as number `index`, from 0. */
export type Script = (
  request: OutgoingRequest,
  index: number,
) => Sent | Promise<Sent>;

/** Client whose answers a test decides about. */
export class ScriptedClient implements HttpClient {
  readonly sent: OutgoingRequest[] = [];
  readonly #answer: Script;

  constructor(answer: Script) {
    this.#answer = answer;
  }

  async send(request: OutgoingRequest): Promise<Sent> {
    this.sent.push(request);
    return await this.#answer(request, this.sent.length - 1);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** A request that got no answer. */
export function failSend(kind: SendFailureKind): Sent {
  return Err(new SendFailure(kind, kind));
}

/** An answer; an error among the chunks breaks the body off there. */
export function answerWith(
  status: number,
  headers: Record<string, string>,
  chunks: readonly (string | Buffer | Error)[] = [],
): Sent {
  async function* produce() {
    for (const chunk of chunks) {
      await Promise.resolve();
      if (chunk instanceof Error) throw chunk;
      yield Buffer.from(chunk);
    }
  }
  const body = Readable.from(produce());
  body.on("error", () => {});
  Object.assign(body, {
    arrayBuffer: () => arrayBuffer(body),
    json: () => json(body),
    dump: () => Promise.resolve(void body.resume()),
  });
  return Ok({ status, headers, body: body as never });
}

const limits = { hardLimit: 8, coldLimit: 2, checksFencing: false };

/** An upstream; nothing listens at its address. */
export function createUpstream(name: string): Upstream {
  return {
    name,
    host: `host-${name}`,
    failureDomain: "a",
    address: `${name}:1`,
    ...limits,
  };
}

/** An engine service with the upstreams `names`. */
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

/** An exchange that the filters before have filled in. */
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

/** Pool that grants its upstreams in order, each not excluded. */
export class RecordingPool implements Pool {
  readonly id = "assistant/0";
  readonly grants: Grant[] = [];
  readonly ends: AttemptEnd[] = [];
  readonly reports: string[] = [];
  /** Whether the grant of this index is still usable when it is sent. */
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
      const refusal = createRefusal("no-capacity", "No upstream is left.");
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

  release(_grant: Grant, end: AttemptEnd): void {
    this.ends.push(end);
  }

  report(upstream: string): void {
    this.reports.push(upstream);
  }
}

/** Reads an outcome to its end. */
export async function collect(outcome: Outcome): Promise<string> {
  if (outcome.kind === "refused") {
    const { code, ran } = outcome.refusal;
    return `${code}, ran: ${ran}`;
  }
  if (outcome.kind === "whole") return outcome.body.toString();
  const chunks: Uint8Array[] = [];
  for await (const chunk of outcome.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}
