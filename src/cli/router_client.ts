/**
 * Asks routers about themselves over HTTP.
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

/** A router that gave no usable answer. */
export interface RouterFailure {
  /** `refused`: it answered that it can't; the rest: no answer to use. */
  readonly kind: "unreachable" | "refused" | "malformed";
  /** Caller address of the router. */
  readonly address: string;
  readonly detail: string;
}

/** Names a chat. */
export interface ChatQuestion {
  readonly service: string;
  readonly workspace: string;
  readonly chat: string;
}

/** Asks routers; each call is bounded in time. */
export interface RouterClient {
  getStatus(address: string): Promise<Result<RouterStatus, RouterFailure>>;
  explain(
    address: string,
    chat: ChatQuestion,
  ): Promise<Result<Explanation, RouterFailure>>;
  close(): Promise<void>;
}

/** Options of a router client. */
export interface RouterClientOptions {
  /** Longest time that a call may take, in milliseconds. */
  readonly timeoutMs?: number;
}

const TIMEOUT_MS = 2_000;
const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

const ajv = new Ajv();
const isRouterStatus = ajv.compile<RouterStatus>(RouterStatusSchema);
const isExplanation = ajv.compile<Explanation>(ExplanationSchema);

/** Creates a router client. */
export function createRouterClient(
  { timeoutMs = TIMEOUT_MS }: RouterClientOptions = {},
): RouterClient {
  return new HttpRouterClient(timeoutMs);
}

class HttpRouterClient implements RouterClient {
  readonly #timeoutMs: number;
  readonly #agent: Agent;

  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ maxResponseSize: MAX_ANSWER_BYTES });
  }

  getStatus(address: string): Promise<Result<RouterStatus, RouterFailure>> {
    return this.#get({ address, path: "/admin/status" }, isRouterStatus);
  }

  explain(
    address: string,
    { service, workspace, chat }: ChatQuestion,
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
      if (statusCode >= FIRST_ERROR_STATUS) {
        const kind = statusCode < FIRST_SERVER_ERROR_STATUS
          ? "refused"
          : "unreachable";
        return Err({ kind, address, detail: `status ${statusCode}: ${text}` });
      }
      const document: unknown = JSON.parse(text);
      if (isExpected(document)) return Ok(document);
      const detail = "the answer has another shape";
      return Err({ kind: "malformed", address, detail });
    } catch (cause) {
      return Err(toFailure(address, cause));
    }
  }
}

function toFailure(address: string, cause: unknown): RouterFailure {
  if (cause instanceof SyntaxError) {
    return { kind: "malformed", address, detail: "the answer is not JSON" };
  }
  const { code, message } = cause as { code?: unknown; message?: string };
  const name = typeof code === "string" ? code : message ?? "no answer";
  return { kind: "unreachable", address, detail: name };
}
