/**
 * Common part of the HTTP interfaces of both stand-in upstreams: answer
 * headers, refusals, and control requests from tests.
 */
import type { ServerResponse } from "node:http";
import { applyControl, type Control, Faults } from "./upstream_control.ts";
import {
  formatLoad,
  getHeader,
  type Handler,
  type Headers,
  UpstreamServer,
} from "./upstream_http.ts";
import {
  type Admission,
  UpstreamState,
  type UpstreamStateOptions,
} from "./upstream_state.ts";

/** Options of an endpoint. */
export interface UpstreamEndpointOptions {
  handler: Handler;
  /** Drops all requests in flight; called when the upstream crashes. */
  onCrash: () => void;
  state: UpstreamStateOptions;
  setSlowFactor: (factor: number) => void;
}

/** Server, state and faults of one stand-in upstream. */
export class UpstreamEndpoint {
  readonly server: UpstreamServer;
  readonly state: UpstreamState;
  readonly faults = new Faults();
  readonly #setSlowFactor: (factor: number) => void;

  constructor(
    { handler, onCrash, state, setSlowFactor }: UpstreamEndpointOptions,
  ) {
    this.server = new UpstreamServer(handler);
    this.state = new UpstreamState({ ...state, onCrash });
    this.#setSlowFactor = setSlowFactor;
  }

  /** Returns the headers of every answer. */
  getHeaders(): Headers {
    return {
      "x-incarnation": this.state.incarnation,
      "x-load": formatLoad(this.state.getReport()),
    };
  }

  /** Sends a JSON answer with the common headers. */
  send(response: ServerResponse, status: number, body: unknown): void {
    this.server.sendJson(response, status, {
      headers: this.getHeaders(),
      body,
    });
  }

  /** Refuses a request; closes the connection if the request caused a crash. */
  refuse(response: ServerResponse, admission: Admission): void {
    if (admission === "fell") return void response.destroy();
    const headers = this.getHeaders();
    if (admission === "leaving") headers["x-not-run"] = "1";
    const id = getHeader(response.req, "x-attempt-id");
    if (id !== undefined) headers["x-attempt-id"] = id;
    const body = { error: admission };
    this.server.sendJson(response, 503, { headers, body });
  }

  /** Applies the control request in `text` and answers it. */
  control(response: ServerResponse, text: string): void {
    applyControl(JSON.parse(text) as Control, {
      state: this.state,
      server: this.server,
      faults: this.faults,
      setSlowFactor: this.#setSlowFactor,
    });
    this.send(response, 200, {});
  }
}
