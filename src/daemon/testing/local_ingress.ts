/**
 * Fixture that runs a router in the test process, with a metadata store and
 * scripted upstreams on loopback.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as sendRequest,
} from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { findFreeAddress } from "../../../testing/free_address.ts";
import { MetadataStoreServer } from "../../../testing/metadata_store.ts";
import {
  INGRESS_SETTING_DEFAULTS,
  type IngressSettings,
} from "../../config/ingress_settings.ts";
import { createLogFactory } from "../../log.ts";
import { type IngressDaemon, startIngressDaemon } from "../ingress_daemon.ts";

/** API key of the only workspace. */
export const API_KEY = "key-of-workspace";
/** Host name of the routes. */
export const HOST = "chats.example";

const DEFAULT_TIMEOUT_MS = 2_000;

/** A request that reached an upstream. */
export interface ReceivedRequest {
  readonly id: string;
  readonly head: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly socket: Socket;
}

/** Answers a request on its socket. */
export type Script = (request: ReceivedRequest) => void;

/** An upstream whose script writes raw bytes to the socket. */
export interface ScriptedUpstream {
  readonly id: string;
  readonly address: string;
  readonly arrived: ReceivedRequest[];
  script: Script;
  /** Refuses new connections; the open ones stay. */
  stopListening(): void;
  /**
   * Writes `text` to `last` and closes all connections and the port, as for a
   * process that ends.
   */
  crash(last: Socket, text: string): void;
  /** Listens at its address again, as a process that starts after `crash`. */
  restart(): Promise<void>;
  close(): void;
}

/**
 * Returns the status line and the identifying headers of an answer to
 * `request`; `more` holds further headers and the blank line.
 */
export function createSignedHead(
  { id }: ReceivedRequest,
  { status = 200, more = "" }: { status?: number; more?: string } = {},
): string {
  return `HTTP/1.1 ${status} X\r\nx-attempt-id: ${id}\r\n` +
    `x-response-stamp: s-${id}\r\n${more}`;
}

/** Sends a complete answer with a length to `request`. */
export function sendCompleteResponse(
  request: ReceivedRequest,
  { status = 200, body = "ok" }: { status?: number; body?: string } = {},
): void {
  const more = `content-length: ${body.length}\r\n\r\n${body}`;
  request.socket.write(createSignedHead(request, { status, more }));
}

/** Sends the head of a chunked event stream. */
export function beginStream(request: ReceivedRequest): void {
  request.socket.write(createSignedHead(request, {
    more: "content-type: text/event-stream\r\n" +
      "transfer-encoding: chunked\r\n\r\n",
  }));
}

/** Sends one event of a stream. */
export function sendEvent({ socket }: ReceivedRequest, id: number): void {
  const event = `id: ${id}\ndata: d${id}\n\n`;
  socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
}

/** Sends the last chunk of a stream. */
export function endStream({ socket }: ReceivedRequest): void {
  socket.write("0\r\n\r\n");
}

function parseHead(head: string): Record<string, string> {
  const lines = head.split("\r\n").slice(1).filter((line) => line !== "");
  return Object.fromEntries(lines.map((line) => {
    const [name = "", ...value] = line.split(":");
    return [name.toLowerCase(), value.join(":").trim()];
  }));
}

/** Starts an upstream that answers all requests until it is given a script. */
export async function startUpstream(id: string): Promise<ScriptedUpstream> {
  const arrived: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  const upstream = {
    script: (request: ReceivedRequest) => sendCompleteResponse(request),
  };
  const server = createServer((socket) => {
    let pending = "";
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    socket.on("data", (chunk) => {
      pending += chunk.toString("latin1");
      for (;;) {
        const end = pending.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = pending.slice(0, end);
        const headers = parseHead(head);
        const size = end + 4 + Number(headers["content-length"] ?? 0);
        if (pending.length < size) return;
        pending = pending.slice(size);
        const request = {
          id: headers["x-attempt-id"] ?? "",
          head,
          headers,
          socket,
        };
        arrived.push(request);
        upstream.script(request);
      }
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return Object.assign(upstream, {
    id,
    address: `127.0.0.1:${port}`,
    arrived,
    stopListening() {
      server.close();
    },
    crash(last: Socket, text: string) {
      last.end(text);
      for (const socket of sockets) if (socket !== last) socket.destroy();
      server.close();
    },
    async restart() {
      server.listen(port, "127.0.0.1");
      await once(server, "listening");
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  });
}

/** An answer as the caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** Whether the answer was received completely according to its framing. */
  readonly isComplete: boolean;
  /** Whether the connection was reset before the end. */
  readonly isReset: boolean;
}

/** A configuration as the operators write it to the store. */
export interface StoredConfiguration {
  readonly version: number;
  readonly routes: readonly object[];
  readonly services: readonly object[];
  readonly limits: object;
  readonly tenants: readonly object[];
}

/** A request of a caller. */
export interface CallerRequest {
  readonly id?: string;
  readonly method?: string;
  readonly path?: string;
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly deadlineMs?: number;
  /** Settings of the router that is asked; by default the first one. */
  readonly router?: IngressSettings;
}

/** The part of a router that tests use. */
export type StartedDaemon = Pick<
  IngressDaemon,
  "stop" | "reload" | "rejectReload"
>;

/** Options of `LocalIngress.start`. */
export interface LocalIngressOptions {
  readonly upstreams?: number;
  readonly bounds?: Partial<IngressSettings["bounds"]>;
  /** Whether the upstreams are engines, which report on themselves. */
  readonly areEngines?: boolean;
  /** Whether the store holds a configuration; the router is ready only then. */
  readonly hasConfiguration?: boolean;
  /** Delay of each call to the store, in milliseconds. */
  readonly storeDelayMs?: number;
  /** Timeout of all routes, in milliseconds. */
  readonly timeoutMs?: number;
  /** Whether to wait until the router has read the store. */
  readonly awaitsReadiness?: boolean;
  /** Memory that the host grants the router, in MB. */
  readonly memoryMb?: number;
  /** Starts a router; by default in this process. */
  readonly startDaemon?: (settings: IngressSettings) => Promise<StartedDaemon>;
}

/** A router, its metadata store and its upstreams. */
export class LocalIngress {
  readonly store = new MetadataStoreServer();
  readonly upstreams: ScriptedUpstream[] = [];
  readonly lines: Record<string, unknown>[] = [];
  daemon!: StartedDaemon;
  settings!: IngressSettings;
  readonly #others = new Map<string, StartedDaemon>();
  #version = 1;
  #areEngines = false;
  #timeoutMs = DEFAULT_TIMEOUT_MS;
  #startDaemonElsewhere: LocalIngressOptions["startDaemon"];

  /**
   * Starts everything; resolves once the router reports its readiness or, with
   * `awaitsReadiness` false, once it listens.
   */
  async start(
    {
      upstreams = 2,
      bounds = {},
      areEngines = false,
      hasConfiguration = true,
      storeDelayMs = 0,
      timeoutMs = DEFAULT_TIMEOUT_MS,
      awaitsReadiness = true,
      memoryMb = INGRESS_SETTING_DEFAULTS.limits.memoryMb,
      startDaemon,
    }: LocalIngressOptions = {},
  ): Promise<this> {
    this.#startDaemonElsewhere = startDaemon;
    await this.store.open();
    this.store.faults.delayMs = storeDelayMs;
    this.#areEngines = areEngines;
    this.#timeoutMs = timeoutMs;
    if (hasConfiguration) this.putConfiguration();
    for (let index = 0; index < upstreams; index++) {
      this.putUpstream(await this.addUpstream(`up-${index}`));
    }
    this.settings = {
      listen: await findListenAddresses(),
      store: { address: this.store.address },
      ...INGRESS_SETTING_DEFAULTS,
      router: { name: "router-1", failureDomain: "east", linkMbps: 0 },
      bounds: { ...INGRESS_SETTING_DEFAULTS.bounds, retrySlack: 50, ...bounds },
      limits: { ...INGRESS_SETTING_DEFAULTS.limits, memoryMb },
    };
    await this.#startDaemon();
    if (awaitsReadiness) await this.untilReady(hasConfiguration ? 200 : 503);
    return this;
  }

  /** Stops the router and starts another in its place. */
  async restart(): Promise<void> {
    await this.daemon.stop();
    await this.#startDaemon();
    await this.untilReady(200);
  }

  /**
   * Starts another router, which reads the store at `storeAddress`; resolves
   * with its settings once it is ready.
   */
  async addRouter(
    { name, storeAddress = this.store.address, listen }: {
      name: string;
      storeAddress?: string;
      listen?: IngressSettings["listen"];
    },
  ): Promise<IngressSettings> {
    const settings: IngressSettings = {
      ...this.settings,
      listen: listen ?? await findListenAddresses(),
      store: { address: storeAddress },
      router: { ...this.settings.router, name },
    };
    this.#others.set(name, await this.#start(settings));
    await this.untilReady(200, settings);
    return settings;
  }

  /** Stops a router that was added. */
  async removeRouter(name: string): Promise<void> {
    const daemon = this.#others.get(name);
    this.#others.delete(name);
    await daemon?.stop();
  }

  #start(settings: IngressSettings): Promise<StartedDaemon> {
    if (this.#startDaemonElsewhere !== undefined) {
      return this.#startDaemonElsewhere(settings);
    }
    return startIngressDaemon({
      settings,
      logs: createLogFactory({
        router: settings.router.name,
        level: "debug",
        write: (line) => this.lines.push(JSON.parse(line)),
      }),
    });
  }

  async #startDaemon(): Promise<void> {
    this.daemon = await this.#start(this.settings);
  }

  async close(): Promise<void> {
    this.store.faults.isSilent = false;
    for (const name of [...this.#others.keys()]) await this.removeRouter(name);
    await this.daemon.stop();
    for (const upstream of this.upstreams) upstream.close();
    await this.store.close();
  }

  /**
   * Writes a configuration of a newer version, with a service of plain upstreams
   * or of engines, as `edit` returns it.
   */
  putConfiguration(
    { keys = [API_KEY], isEngine = this.#areEngines, edit = (each) => each }: {
      keys?: string[];
      isEngine?: boolean;
      edit?: (configuration: StoredConfiguration) => unknown;
    } = {},
  ): void {
    const service = { name: "svc", maxConns: 50, coldStartS: 0, coldPerS: 0 };
    const route = {
      host: HOST,
      timeoutMs: this.#timeoutMs,
      goalMs: 200,
      priority: 1,
      service: "svc",
      maxAttempts: 2,
      public: false,
      sticky: false,
    };
    const configuration = {
      version: this.#version++,
      routes: [
        { ...route, name: "read", prefix: "/read/", kind: "idempotent" },
        { ...route, name: "book", prefix: "/book/", kind: "non_idempotent" },
        {
          ...route,
          name: "chat",
          prefix: "/chat/",
          kind: "stream",
          resumable: true,
        },
        { ...route, name: "plan", prefix: "/plan/", kind: "stream" },
      ],
      services: [isEngine ? { ...service, engine: {} } : service],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 100_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: "workspace", apiKeys: keys, priority: 1 }],
    };
    this.store.put("op/config", edit(configuration));
  }

  /** Writes the store entry of an upstream. */
  putUpstream(
    { id, address }: Pick<ScriptedUpstream, "id" | "address">,
    fields: Record<string, unknown> = {},
  ): void {
    this.store.put(`servers/${id}`, {
      service: "svc",
      address,
      zone: "east",
      version: "v1",
      slots: 4,
      state: "ready",
      coldLeftMs: 0,
      seq: 1,
      ...fields,
    });
  }

  /** Sets the script of every upstream. */
  script(script: Script): void {
    for (const upstream of this.upstreams) upstream.script = script;
  }

  /** Requests that reached any upstream. */
  get arrived(): ReceivedRequest[] {
    return this.upstreams.flatMap(({ arrived }) => arrived);
  }

  /** Sends a request; resolves once the head of its answer is received. */
  open(
    {
      id = "id-1",
      method = "GET",
      path = "/read/x",
      key = API_KEY,
      body = "",
      headers = {},
      deadlineMs = 2_000,
      router = this.settings,
    }: CallerRequest,
  ): Promise<IncomingMessage> {
    const [host, port] = router.listen.callers.split(":");
    return new Promise((resolve, reject) => {
      const request = sendRequest({
        host,
        port,
        method,
        path,
        headers: {
          host: HOST,
          "x-attempt-id": id,
          "x-deadline-ms": String(deadlineMs),
          authorization: `Bearer ${key}`,
          "content-length": String(body.length),
          ...headers,
        },
      }, resolve);
      request.on("error", reject);
      request.end(body);
    });
  }

  /** Sends a request and reads its whole answer. */
  async ask(
    request: CallerRequest = {},
    { onChunk = () => {} }: { onChunk?: (text: string) => void } = {},
  ): Promise<CallerResponse> {
    const answer = await this.open(request);
    const chunks: Buffer[] = [];
    let isReset = false;
    try {
      for await (const chunk of answer) {
        chunks.push(chunk as Buffer);
        onChunk(Buffer.concat(chunks).toString());
      }
    } catch {
      // `complete` is false for a framed answer that was cut off.
      isReset = true;
    }
    return {
      status: answer.statusCode ?? 0,
      headers: answer.headers,
      text: Buffer.concat(chunks).toString(),
      isComplete: answer.complete,
      // Node reports a response without framing that was reset as complete.
      isReset: isReset || Boolean(answer.socket?.errored),
    };
  }

  /** Waits until the readiness path responds with `status`. */
  async untilReady(
    status: number,
    { listen }: IngressSettings = this.settings,
  ): Promise<void> {
    for (;;) {
      const url = `http://${listen.ready}/corianderflow/ready`;
      if ((await fetch(url)).status === status) return;
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Waits until a log line contains all of `fields`. */
  async untilLogged(fields: Record<string, unknown>): Promise<void> {
    const expectedFields = Object.entries(fields);
    while (
      !this.lines.some((line) =>
        expectedFields.every(([name, value]) => line[name] === value)
      )
    ) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Starts an upstream, which has no entry in the store yet. */
  async addUpstream(id: string): Promise<ScriptedUpstream> {
    const upstream = await startUpstream(id);
    this.upstreams.push(upstream);
    return upstream;
  }
}

export async function findListenAddresses(): Promise<
  IngressSettings["listen"]
> {
  return {
    callers: await findFreeAddress(),
    ready: await findFreeAddress(),
    peers: await findFreeAddress(),
    metrics: await findFreeAddress(),
  };
}
