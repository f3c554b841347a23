/**
 * Stand-in for the platform's host list. `GET /hosts` returns a change only after
 * the configured lag.
 *
 * `PUT /hosts/<name>` with `{state}` adds or changes a host; `DELETE
 * /hosts/<name>` removes it.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { closeServer, listen, readJson, sendJson } from "./stand_in_http.ts";

/** State of a host; "gone" removes it from the list. */
export type HostState = "live" | "leaving" | "gone";

/** Options of the stand-in. */
export interface HostListServerOptions {
  /** A free port by default. */
  port?: number;
  /** Names of the hosts that are live at the start. */
  hosts?: readonly string[];
  /** Time until `GET /hosts` returns a change, in milliseconds. */
  lagMs?: number;
  /** Monotonic clock, in milliseconds. */
  now?: () => number;
}

/** A running stand-in. */
export interface HostListServer {
  /** `ip:port`. */
  readonly address: string;
  setState(name: string, state: HostState): void;
  close(): Promise<void>;
}

/** A change that the list returns from `visibleAtMs` on. */
interface PendingChange {
  readonly name: string;
  readonly state: HostState;
  readonly visibleAtMs: number;
}

const HOST_PATH = /^\/hosts\/([^/]+)$/;

/** Host states whose changes become visible after a lag. */
class DelayedHostList {
  #visible: Map<string, HostState>;
  #pending: PendingChange[] = [];
  readonly #lagMs: number;
  readonly #now: () => number;

  constructor(
    { hosts = [], lagMs = 0, now = () => performance.now() }:
      HostListServerOptions,
  ) {
    this.#visible = new Map(hosts.map((name) => [name, "live"]));
    this.#lagMs = lagMs;
    this.#now = now;
  }

  set(name: string, state: HostState): void {
    const visibleAtMs = this.#now() + this.#lagMs;
    this.#pending.push({ name, state, visibleAtMs });
  }

  list(): { name: string; state: HostState }[] {
    const now = this.#now();
    while (this.#pending.length > 0 && this.#pending[0]!.visibleAtMs <= now) {
      const { name, state } = this.#pending.shift()!;
      if (state === "gone") this.#visible.delete(name);
      else this.#visible.set(name, state);
    }
    return [...this.#visible].map(([name, state]) => ({ name, state }));
  }
}

async function handle(
  hosts: DelayedHostList,
  request: IncomingMessage,
  { response }: { response: ServerResponse },
): Promise<void> {
  const body = await readJson(request) as { state?: unknown };
  if (request.method === "GET" && request.url === "/hosts") {
    return sendJson(response, 200, { hosts: hosts.list() });
  }
  const name = HOST_PATH.exec(request.url ?? "")?.[1];
  if (name === undefined) return sendJson(response, 404, {});
  const state = request.method === "DELETE" ? "gone" : body.state;
  if (state !== "live" && state !== "leaving" && state !== "gone") {
    return sendJson(response, 400, { error: "unknown state" });
  }
  hosts.set(decodeURIComponent(name), state);
  sendJson(response, 200, {});
}

/** Starts the stand-in on loopback. */
export async function createHostListServer(
  options: HostListServerOptions = {},
): Promise<HostListServer> {
  const hosts = new DelayedHostList(options);
  const server = createServer((request, response) => {
    handle(hosts, request, { response }).catch(() => response.destroy());
  });
  const address = await listen(server, options.port ?? 0);
  return {
    address,
    setState: (name, state) => hosts.set(name, state),
    close: () => closeServer(server),
  };
}
