/**
 * Client of the routers' `/admin` paths.
 */
import { Ajv } from "ajv";
import { Err, Ok, type Result } from "ts-results/result";
import { Agent, request } from "undici";
import {
  type Explanation,
  ExplanationSchema,
  type RouterStatus,
  RouterStatusSchema,
} from "../types_status.ts";

/** A router without a usable response. */
export interface RouterFailure {
  /**
   * `refused`: the router rejected the request with a status below 500;
   * `malformed`: the response is not JSON or has an unexpected structure;
   * `unreachable`: no response, or a status of 500 or above.
   */
  readonly kind: "unreachable" | "refused" | "malformed";
  /** Address at which the router serves callers. */
  readonly address: string;
  readonly detail: string;
}

/** Identifies the chat to explain. */
export interface ChatQuery {
  readonly service: string;
  readonly workspace: string;
  readonly chat: string;
}

/** Client for any number of routers; each call has a time limit. */
export interface RouterClient {
  /** Requests the state of the router at `address`. */
  getStatus(address: string): Promise<Result<RouterStatus, RouterFailure>>;
  /** Requests where a chat would be placed, and why. */
  explain(
    address: string,
    chat: ChatQuery,
  ): Promise<Result<Explanation, RouterFailure>>;
  /** Closes all connections and aborts the calls in progress. */
  close(): Promise<void>;
}

/** Options of a router client. */
export interface RouterClientOptions {
  /** Time limit of a call, in milliseconds. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const MIN_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

const ajv = new Ajv();
const isRouterStatus = ajv.compile<RouterStatus>(RouterStatusSchema);
const isExplanation = ajv.compile<Explanation>(ExplanationSchema);

/** Creates a router client; the caller closes it. */
export function createRouterClient(
  { timeoutMs = DEFAULT_TIMEOUT_MS }: RouterClientOptions = {},
): RouterClient {
  return new HttpRouterClient(timeoutMs);
}

class HttpRouterClient implements RouterClient {
  readonly #timeoutMs: number;
  readonly #agent: Agent;

  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ maxResponseSize: MAX_RESPONSE_BYTES });
  }

  getStatus(address: string): Promise<Result<RouterStatus, RouterFailure>> {
    return this.#get({ address, path: "/admin/status" }, isRouterStatus);
  }

  explain(
    address: string,
    { service, workspace, chat }: ChatQuery,
  ): Promise<Result<Explanation, RouterFailure>> {
    const query = new URLSearchParams({ service, workspace, chat });
    const path = `/admin/explain?${query}`;
    return this.#get({ address, path }, isExplanation);
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #get<T>(
    { address, path }: { address: string; path: string },
    isExpected: (document: unknown) => document is T,
  ): Promise<Result<T, RouterFailure>> {
    try {
      const { statusCode, body } = await request(`http://${address}${path}`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = await body.text();
      if (statusCode >= MIN_ERROR_STATUS) {
        const kind = statusCode < MIN_SERVER_ERROR_STATUS
          ? "refused"
          : "unreachable";
        return Err({ kind, address, detail: `status ${statusCode}: ${text}` });
      }
      const document: unknown = JSON.parse(text);
      if (isExpected(document)) return Ok(document);
      const detail = "the response has an unexpected structure";
      return Err({ kind: "malformed", address, detail });
    } catch (cause) {
      return Err(toRouterFailure(address, cause));
    }
  }
}

function toRouterFailure(address: string, cause: unknown): RouterFailure {
  if (cause instanceof SyntaxError) {
    return {
      kind: "malformed",
      address,
      detail: "the response is not valid JSON",
    };
  }
  const { code, message } = cause as { code?: unknown; message?: string };
  const reason = typeof code === "string" ? code : message ?? "no response";
  return { kind: "unreachable", address, detail: reason };
}
