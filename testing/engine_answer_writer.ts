/** Writes the answer of an attempt to one open connection. */
import type { ServerResponse } from "node:http";
import {
  formatLastEvents,
  formatTokenEvent,
  formatWholeBody,
} from "./answer.ts";
import type { Attempt, AttemptListener } from "./engine_attempt.ts";
import type { Headers, UpstreamServer } from "./upstream_http.ts";

/** Options of a writer. */
export interface AnswerWriterOptions {
  server: UpstreamServer;
  response: ServerResponse;
  attempt: Attempt;
  /** Answer headers at the time that the head is written. */
  getHeaders: () => Headers;
  stream: boolean;
  /** First token to send on a stream. */
  offset?: number;
  /** Closes the connection before the answer is whole. */
  failsAmid?: boolean;
}

/** Follows an attempt and writes what is there. */
export class AnswerWriter implements AttemptListener {
  readonly #options: AnswerWriterOptions;
  #next: number;
  #wroteHead = false;

  constructor(options: AnswerWriterOptions) {
    this.#options = options;
    this.#next = options.offset ?? 0;
  }

  /** Starts to follow the attempt, until it ends or the connection closes. */
  start(): void {
    const { attempt, response } = this.#options;
    attempt.listeners.add(this);
    response.once("close", () => attempt.listeners.delete(this));
    if (attempt.state === "aborted") this.onAborted();
    else this.onProgress();
  }

  onProgress(): void {
    if (this.#options.stream) this.#writeEvents();
    else if (this.#options.attempt.state === "done") this.#writeWhole();
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
    const { answer, produced, state } = attempt;
    let text = "";
    for (; this.#next < produced; this.#next++) {
      text += formatTokenEvent(answer, this.#next);
    }
    if (text === "" && state !== "done") return;
    this.#writeHead({ "content-type": "text/event-stream" });
    server.write(response, text);
    if (failsAmid && produced * 2 >= answer.tokens.length) this.onAborted();
    else if (state === "done") {
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

  #writeWhole(): void {
    const { attempt, server, response, getHeaders, failsAmid } = this.#options;
    this.#detach();
    if (failsAmid) return this.onAborted();
    const body = formatWholeBody(attempt.answer);
    server.sendJson(response, 200, { headers: getHeaders(), body });
  }
}
