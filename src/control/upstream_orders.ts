/**
 * Gives orders to engines over HTTP, and reads which they have carried out.
 */
import { Buffer } from "node:buffer";
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { Upstream } from "../config/manifest.ts";
import type { Order } from "../policy/order_fencing_record.ts";
import type { HttpClient, IncomingAnswer } from "../transport/http_client.ts";

const CarriedOutSchema = Type.Object({
  id: Type.String(),
  kind: Type.String(),
  model: Type.Optional(Type.String()),
  version: Type.Optional(Type.String()),
  adapter: Type.Optional(Type.String()),
});

const OrdersSchema = Type.Object({ orders: Type.Array(CarriedOutSchema) });

/** An order that an engine says it has carried out. */
export type CarriedOut = Readonly<Static<typeof CarriedOutSchema>>;

/** How a send went. */
export type SendOutcome =
  | "accepted"
  /** The engine has seen a newer fencing number. */
  | "fenced"
  /** Nothing was written, or the engine says that it did not run. */
  | "not-sent"
  /** It may or may not have arrived. */
  | "unclear";

/** Orders of engines. */
export interface UpstreamOrders {
  /** Reads the orders carried out, oldest first; undefined on a failure. */
  list(upstream: Upstream): Promise<readonly CarriedOut[] | undefined>;
  /** Sends an order; the request is written in the turn of the call. */
  send(
    upstream: Upstream,
    order: Order,
    options: { fence: number },
  ): Promise<SendOutcome>;
}

/** Options of the orders over HTTP. */
export interface UpstreamOrdersOptions {
  readonly client: HttpClient;
  /** Time that a read of the list may take, in milliseconds. */
  readonly listTimeoutMs?: number;
  /** Time after which the answer to an order counts as lost, milliseconds. */
  readonly answerTimeoutMs?: number;
  /** Counts the estimated bytes of headers and bodies. */
  onBytes(direction: "in" | "out", bytes: number): void;
}

const PATH = "/v1/orders";
const LIST_TIMEOUT_MS = 2_000;
const ANSWER_TIMEOUT_MS = 10_000;
/** Request line, headers and blank line of a request. */
const REQUEST_BYTES = 110;
/** Status line, headers and blank line of an answer. */
const ANSWER_HEAD_BYTES = 190;

/** Creates the client of the engines' orders. */
export function createUpstreamOrders(
  options: UpstreamOrdersOptions,
): UpstreamOrders {
  return new HttpUpstreamOrders(options);
}

class HttpUpstreamOrders implements UpstreamOrders {
  readonly #options: UpstreamOrdersOptions;

  constructor(options: UpstreamOrdersOptions) {
    this.#options = options;
  }

  async list(upstream: Upstream): Promise<readonly CarriedOut[] | undefined> {
    const { client, listTimeoutMs = LIST_TIMEOUT_MS, onBytes } = this.#options;
    onBytes("out", REQUEST_BYTES);
    const sent = await client.send({
      address: upstream.address,
      method: "GET",
      path: PATH,
      headers: {},
      body: undefined,
      firstByteTimeoutMs: listTimeoutMs,
      betweenBytesTimeoutMs: listTimeoutMs,
      signal: AbortSignal.timeout(listTimeoutMs),
    });
    if (sent.err) return undefined;
    const text = await this.#readText(sent.val);
    if (text === undefined || sent.val.status !== 200) return undefined;
    return parseOrders(text);
  }

  async send(
    upstream: Upstream,
    order: Order,
    { fence }: { fence: number },
  ): Promise<SendOutcome> {
    const { client, onBytes } = this.#options;
    const { answerTimeoutMs = ANSWER_TIMEOUT_MS } = this.#options;
    const body = Buffer.from(JSON.stringify({ ...order, fence }));
    onBytes("out", REQUEST_BYTES + body.length);
    const sent = await client.send({
      address: upstream.address,
      method: "POST",
      path: PATH,
      headers: { "content-type": "application/json" },
      body,
      firstByteTimeoutMs: answerTimeoutMs,
      betweenBytesTimeoutMs: answerTimeoutMs,
      signal: AbortSignal.timeout(answerTimeoutMs),
      // A pooled connection may be dead and deliver the order much later.
      isFresh: true,
    });
    if (sent.err) return sent.val.kind === "not-sent" ? "not-sent" : "unclear";
    await this.#readText(sent.val);
    return toOutcome(sent.val);
  }

  async #readText({ body }: IncomingAnswer): Promise<string | undefined> {
    try {
      const text = await body.text();
      this.#options.onBytes("in", ANSWER_HEAD_BYTES + text.length);
      return text;
    } catch {
      return undefined;
    }
  }
}

function toOutcome({ status, headers }: IncomingAnswer): SendOutcome {
  if (status === 200) return "accepted";
  if (status === 409) return "fenced";
  const hasNotRun = status === 503 && headers["x-not-run"] === "1";
  return hasNotRun ? "not-sent" : "unclear";
}

function parseOrders(text: string): readonly CarriedOut[] | undefined {
  try {
    const body: unknown = JSON.parse(text);
    return Value.Check(OrdersSchema, body) ? body.orders : undefined;
  } catch {
    return undefined;
  }
}
