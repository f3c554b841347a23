/** Writes the answer of an attempt to one open connection. */
import type { ServerResponse } from "node:http";
import {
  formatJsonBody,
  formatLastEvents,
  formatTokenEvent,
} from "./answer.ts";
import type { Attempt, AttemptListener } from "./engine_attempt.ts";
import type { Headers, UpstreamServer } from "./upstream_http.ts";

/** Options of an answer writer. */
export interface AnswerWriterOptions {
  server: UpstreamServer;
  response: ServerResponse;
  attempt: Attempt;
  /** Returns the answer headers; called when the head is written. */
  getHeaders: () => Headers;
  /** Whether the answer is an event stream instead of a JSON document. */
  stream: boolean;
  /** Index of the first token to send on a stream. */
  offset?: number;
  /** Closes the connection before the answer is complete. */
  failsAmid?: boolean;
}

/** Listens to an attempt and writes its tokens as they are generated. */
export class AnswerWriter implements AttemptListener {
  readonly #options: AnswerWriterOptions;
  #nextToken: number;
  #wroteHead = false;

  constructor(options: AnswerWriterOptions) {
    this.#options = options;
    this.#nextToken = options.offset ?? 0;
  }

  /** Listens to the attempt until it ends or the connection closes. */
  start(): void {
    const { attempt, response } = this.#options;
    attempt.listeners.add(this);
    response.once("close", () => attempt.listeners.delete(this));
    if (attempt.state === "aborted") this.onAborted();
    else this.onProgress();
  }

  onProgress(): void {
    if (this.#options.stream) this.#writeEvents();
    else if (this.#options.attempt.state === "done") this.#writeJsonBody();
  }

  onAborted(): void {
    this.#detach();
    this.#options.response.destroy();
  }

  #detach(): void {
    this.#options.attempt.listeners.delete(this);
  }

  #writeEvents(): void {
    const { attempt, server, response, failsAmid } = this.#options;
    const { answer, producedTokens, state } = attempt;
    let text = "";
    for (; this.#nextToken < producedTokens; this.#nextToken++) {
      text += formatTokenEvent(answer, this.#nextToken);
    }
    if (text === "" && state !== "done") return;
    this.#writeHead({ "content-type": "text/event-stream" });
    server.write(response, text);
    if (failsAmid && producedTokens * 2 >= answer.tokens.length) {
      this.onAborted();
    } else if (state === "done") {
      server.end(response, formatLastEvents(answer));
      this.#detach();
    }
  }

  #writeHead(extra: Headers): void {
    if (this.#wroteHead) return;
    this.#wroteHead = true;
    const { server, response, getHeaders } = this.#options;
    const headers = { ...getHeaders(), ...extra };
    server.writeHead(response, 200, { headers });
  }

  #writeJsonBody(): void {
    const { attempt, server, response, getHeaders, failsAmid } = this.#options;
    this.#detach();
    if (failsAmid) return this.onAborted();
    const body = formatJsonBody(attempt.answer);
    server.sendJson(response, 200, { headers: getHeaders(), body });
  }
}
