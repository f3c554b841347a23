/**
 * Sends orders to engines over HTTP and lists the orders they carried out.
 */
import { Buffer } from "node:buffer";
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { Upstream } from "../config/manifest.ts";
import type { Order } from "../policy/order_fencing_record.ts";
import type { HttpClient, IncomingResponse } from "../transport/http_client.ts";

const CarriedOutSchema = Type.Object({
  id: Type.String(),
  kind: Type.String(),
  model: Type.Optional(Type.String()),
  version: Type.Optional(Type.String()),
  adapter: Type.Optional(Type.String()),
});

const OrdersSchema = Type.Object({ orders: Type.Array(CarriedOutSchema) });

/** An order that an engine reports as carried out. */
export type CarriedOutOrder = Readonly<Static<typeof CarriedOutSchema>>;

/** Outcome of sending an order. */
export type SendOutcome =
  /** The engine has carried the order out. */
  | "accepted"
  /** The engine has seen a newer fencing number. */
  | "fenced"
  /** Nothing was written, or the engine reports that it did not run. */
  | "not-sent"
  /** It is unknown whether the order arrived. */
  | "unclear";

/** Client of the engines' order endpoint. */
export interface UpstreamOrders {
  /** Lists the carried-out orders, oldest first; undefined on a failure. */
  list(upstream: Upstream): Promise<readonly CarriedOutOrder[] | undefined>;
  /** Sends an order; the request is written synchronously within the call. */
  send(
    upstream: Upstream,
    order: Order,
    options: { fence: number },
  ): Promise<SendOutcome>;
}

/** Options of `createUpstreamOrders`. */
export interface UpstreamOrdersOptions {
  readonly client: HttpClient;
  /** Timeout of a read of the list, in milliseconds. */
  readonly listTimeoutMs?: number;
  /** Timeout of the response to an order, in milliseconds. */
  readonly answerTimeoutMs?: number;
  /** Counts the estimated bytes of headers and bodies. */
  onBytes(direction: "in" | "out", bytes: number): void;
}

const ORDERS_PATH = "/v1/orders";
const LIST_TIMEOUT_MS = 2_000;
const RESPONSE_TIMEOUT_MS = 10_000;
/** Estimated size of the request line, headers and blank line. */
const REQUEST_BYTES = 110;
/** Estimated size of the status line, headers and blank line. */
const RESPONSE_HEAD_BYTES = 190;

/** Creates a client of the engines' order endpoint. */
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

  async list(
    upstream: Upstream,
  ): Promise<readonly CarriedOutOrder[] | undefined> {
    const { client, listTimeoutMs = LIST_TIMEOUT_MS, onBytes } = this.#options;
    onBytes("out", REQUEST_BYTES);
    const sent = await client.send({
      address: upstream.address,
      method: "GET",
      path: ORDERS_PATH,
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
    const { answerTimeoutMs = RESPONSE_TIMEOUT_MS } = this.#options;
    const body = Buffer.from(JSON.stringify({ ...order, fence }));
    onBytes("out", REQUEST_BYTES + body.length);
    const sent = await client.send({
      address: upstream.address,
      method: "POST",
      path: ORDERS_PATH,
      headers: { "content-type": "application/json" },
      body,
      firstByteTimeoutMs: answerTimeoutMs,
      betweenBytesTimeoutMs: answerTimeoutMs,
      signal: AbortSignal.timeout(answerTimeoutMs),
      // A stale pooled connection could deliver the order much later.
      isFresh: true,
    });
    if (sent.err) return sent.val.kind === "not-sent" ? "not-sent" : "unclear";
    await this.#readText(sent.val);
    return toOutcome(sent.val);
  }

  async #readText({ body }: IncomingResponse): Promise<string | undefined> {
    try {
      const text = await body.text();
      this.#options.onBytes("in", RESPONSE_HEAD_BYTES + text.length);
      return text;
    } catch {
      return undefined;
    }
  }
}

function toOutcome({ status, headers }: IncomingResponse): SendOutcome {
  if (status === 200) return "accepted";
  if (status === 409) return "fenced";
  const hasNotRun = status === 503 && headers["x-not-run"] === "1";
  return hasNotRun ? "not-sent" : "unclear";
}

function parseOrders(text: string): readonly CarriedOutOrder[] | undefined {
  try {
    const body: unknown = JSON.parse(text);
    return Value.Check(OrdersSchema, body) ? body.orders : undefined;
  } catch {
    return undefined;
  }
}
