/**
 * Fixture that runs routers in the test process, with simulated platform
 * services and upstreams.
 *
 * The configuration is committed before the first router starts, so that a
 * test's first request waits for no proposal and no hold-down.
 */
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { stringify } from "ini";
import { Agent, request } from "undici";
import { Engine, type EngineOptions } from "../../../testing/engine.ts";
import { Operator } from "../../../testing/fleet_operator.ts";
import { findFreeAddress } from "../../../testing/free_address.ts";
import { createHostListServer } from "../../../testing/host_list_server.ts";
import {
  createKeyValueServer,
  type KeyValueServer,
} from "../../../testing/kv_server.ts";
import {
  PlainService,
  type PlainServiceOptions,
} from "../../../testing/plain_service.ts";
import { createRelay, type Relay } from "../../../testing/relay.ts";
import type { Manifest, Service, Upstream } from "../../config/manifest.ts";
import { checkManifest } from "../../config/manifest_check.ts";
import { readSettings } from "../../config/settings.ts";
import type { RouterStatus } from "../../types_status.ts";
import { type Daemon, startDaemon } from "../daemon.ts";
import { type LogFields, SILENT_LOG } from "../../log.ts";

/** Options of `LocalFleet.start`. */
export interface LocalFleetOptions {
  routers?: number;
  engines?: number;
  plainServices?: number;
  engine?: Partial<EngineOptions>;
  plain?: Partial<PlainServiceOptions>;
  /** Overrides for every service of the manifest. */
  service?: Partial<Service>;
  upstream?: Partial<Upstream>;
  limits?: Readonly<Record<string, number>>;
  timing?: Readonly<Record<string, number>>;
}

/** A router and the relays on its links. */
export interface LocalRouter {
  readonly name: string;
  /** `ip:port` for callers. */
  readonly callers: string;
  readonly control: Relay;
  readonly forward: Relay;
  readonly keyValue: Relay;
  readonly lines: readonly LogLine[];
  daemon: Daemon;
}

interface RouterPlan {
  readonly name: string;
  readonly listen: Readonly<Record<"callers" | "control" | "forward", string>>;
  readonly control: Relay;
  readonly forward: Relay;
  readonly keyValue: Relay;
}

/** A line of a router's log. */
export interface LogLine {
  readonly message: string;
  readonly fields: LogFields;
}

/** An upstream and the relay on its link. */
export interface LocalUpstream {
  readonly name: string;
  /** `ip:port` that bypasses the relay. */
  readonly address: string;
  readonly relay: Relay;
}

/** A complete answer. */
export interface LocalResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Options of a request. */
export interface LocalRequest {
  method?: string;
  headers?: Record<string, string | string[]>;
  body?: string | Buffer | AsyncIterable<Uint8Array> | null;
  router?: number;
  signal?: AbortSignal;
}

/** Key of the first workspace. */
export const WORKSPACE_KEY = "hakata-workspace-key";
/** Model of the engines. */
export const MODEL = "kiln";

const MAX_POLLS = 600;
const POLL_INTERVAL_MS = 25;
const TIMING = {
  "heartbeat_ms": 200,
  "loan_ms": 1_500,
  "liveness_ms": 1_200,
  "drift_ms": 20,
  "transit_ms": 400,
  "hold_down_ms": 15_000,
};

/**
 * Polls `check` until it returns true.
 *
 * @throws Error after `MAX_POLLS` polls.
 */
export async function until(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    if (await check()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error("timed out waiting for the condition");
}

/** A fleet that runs in this process. */
export class LocalFleet {
  readonly agent = new Agent({ connections: 256, pipelining: 1 });
  readonly routers: LocalRouter[] = [];
  engines: readonly LocalUpstream[] = [];
  plainServices: readonly LocalUpstream[] = [];
  keyValue!: KeyValueServer;
  operator!: Operator;
  readonly #closers: (() => unknown)[] = [];

  /** Starts the fleet; resolves once every router serves requests. */
  async start(options: LocalFleetOptions = {}): Promise<this> {
    const { routers = 1 } = options;
    await this.#openPlatform(options);
    const hostList = await createHostListServer();
    this.#closers.push(() => hostList.close());
    const plans = [];
    for (let index = 0; index < routers; index++) {
      plans.push(await this.#createRouterPlan(index));
    }
    await this.operator.commit({
      kind: "routers",
      routers: plans.map(({ name, control, forward }) => ({
        name,
        failureDomain: "a",
        controlAddress: control.address,
        forwardAddress: forward.address,
      })),
    });
    const started = plans.map((plan) =>
      this.#startRouter(plan, { options, hostList: hostList.address })
    );
    this.routers.push(...await Promise.all(started));
    await this.untilServing();
    return this;
  }

  /** Waits until each router is ready and serves each service. */
  async untilServing(): Promise<void> {
    for (const router of this.routers.keys()) {
      await until(async () =>
        (await this.get("/readyz", router)).status === 200
      );
      await until(async () => (await this.chat("probe", { router })).isOk);
      await until(async () =>
        (await this.send("/sheets", { method: "GET", router })).status === 200
      );
    }
  }

  /** Sends a request with the key of the first workspace. */
  async send(path: string, options: LocalRequest = {}): Promise<LocalResponse> {
    const { router = 0, method = "POST", headers, ...rest } = options;
    const answer = await request(
      `http://${this.routers[router]!.callers}${path}`,
      {
        dispatcher: this.agent,
        method: method as "POST",
        headers: { authorization: `Bearer ${WORKSPACE_KEY}`, ...headers },
        body: toBody(rest.body),
        signal: rest.signal,
      },
    );
    return {
      status: answer.statusCode,
      headers: answer.headers,
      text: await answer.body.text(),
    };
  }

  /** Sends a GET request, such as to an admin path. */
  get(path: string, router = 0): Promise<LocalResponse> {
    return this.send(path, { method: "GET", router });
  }

  /** Requests a chat completion. */
  async chat(
    content: string,
    { stream = false, tokens, ...rest }:
      & LocalRequest
      & { stream?: boolean; tokens?: number } = {},
  ): Promise<LocalResponse & { isOk: boolean }> {
    const body = JSON.stringify(createChat(content, { stream, tokens }));
    const headers = { "x-chat-id": `chat-${content}`, ...rest.headers };
    const answer = await this.send("/v1/chat/completions", {
      ...rest,
      headers,
      body,
    });
    return { ...answer, isOk: answer.status === 200 };
  }

  /** Opens a stream; resolves once its first bytes are readable. */
  async openStream(
    content: string,
    { tokens = 8, router = 0 }: { tokens?: number; router?: number } = {},
  ): Promise<{ text: Promise<string> }> {
    const answer = await request(
      `http://${this.routers[router]!.callers}/v1/chat/completions`,
      {
        dispatcher: this.agent,
        method: "POST",
        headers: {
          authorization: `Bearer ${WORKSPACE_KEY}`,
          "x-chat-id": `chat-${content}`,
        },
        body: JSON.stringify(createChat(content, { stream: true, tokens })),
      },
    );
    const { body } = answer;
    await new Promise((resolve) => body.once("readable", resolve));
    return { text: body.text().catch(() => "reset") };
  }

  /** Returns the index of the router that owns a service's first pool. */
  async getOwner(service: string): Promise<number> {
    const { pools } = await this.getStatus();
    const { owner } = pools.find((pool) => pool.service === service)!;
    return this.routers.findIndex(({ name }) => name === owner);
  }

  /** Reads the status of a router. */
  async getStatus(router = 0): Promise<RouterStatus> {
    return JSON.parse((await this.get("/admin/status", router)).text);
  }

  /** Returns how many requests the router counts in flight at upstreams. */
  async getInFlight(router = 0): Promise<number> {
    const { pools } = await this.getStatus(router);
    return pools.flatMap(({ upstreams }) => upstreams)
      .reduce((sum, { inFlight }) => sum + inFlight, 0);
  }

  /** Sends a control command to an upstream, bypassing its relay. */
  async control(upstream: LocalUpstream, order: unknown): Promise<void> {
    await this.#callUpstream(upstream, JSON.stringify(order));
  }

  /** Reads an upstream's record of its requests, bypassing its relay. */
  // deno-lint-ignore no-explicit-any
  async getRecord(upstream: LocalUpstream): Promise<any> {
    return JSON.parse(await this.#callUpstream(upstream));
  }

  /** Stops the routers, then the other servers. */
  async close(): Promise<void> {
    await this.agent.destroy();
    await Promise.all(this.routers.map(({ daemon }) => daemon.stop()));
    for (const close of this.#closers.reverse()) await close();
  }

  async #callUpstream(
    { address }: LocalUpstream,
    body?: string,
  ): Promise<string> {
    const answer = await request(`http://${address}/control`, {
      method: body === undefined ? "GET" : "POST",
      body,
      reset: true,
    });
    return await answer.body.text();
  }

  async #openPlatform(options: LocalFleetOptions): Promise<void> {
    this.keyValue = await createKeyValueServer();
    this.#closers.push(() => this.keyValue.close());
    const { address } = this.keyValue;
    this.operator = new Operator({ author: "test", address });
    this.#closers.push(() => this.operator.close());
    this.engines = await this.#openEngines(options);
    this.plainServices = await this.#openPlainServices(options);
    const manifest = createManifest(this, options);
    await this.operator.commit({ kind: "manifest", manifest });
  }

  #openEngines({ engines = 2, engine }: LocalFleetOptions) {
    return this.#openUpstreams(
      engines,
      (name) =>
        new Engine({ name, tokenMs: 1, coldMs: 0, hardLimit: 64, ...engine }),
    );
  }

  #openPlainServices({ plainServices = 2, plain }: LocalFleetOptions) {
    return this.#openUpstreams(
      plainServices,
      (name) => new PlainService({ name, coldMs: 0, hardLimit: 64, ...plain }),
    );
  }

  async #openUpstreams(
    count: number,
    create: (name: string) => Engine | PlainService,
  ): Promise<LocalUpstream[]> {
    const upstreams: LocalUpstream[] = [];
    for (let index = 0; index < count; index++) {
      const name = `u${index + 1}`;
      const server = create(name);
      const address = await server.listen(0);
      const relay = await this.#createRelay(address);
      this.#closers.push(() => server.close());
      upstreams.push({ name, address, relay });
    }
    return upstreams;
  }

  async #createRelay(target: string): Promise<Relay> {
    const relay = await createRelay({ target });
    this.#closers.push(() => relay.close());
    return relay;
  }

  async #createRouterPlan(index: number): Promise<RouterPlan> {
    const listen = {
      callers: await findFreeAddress(),
      control: await findFreeAddress(),
      forward: await findFreeAddress(),
    };
    return {
      name: `r${index + 1}`,
      listen,
      control: await this.#createRelay(listen.control),
      forward: await this.#createRelay(listen.forward),
      keyValue: await this.#createRelay(this.keyValue.address),
    };
  }

  async #startRouter(
    plan: RouterPlan,
    { options, hostList }: { options: LocalFleetOptions; hostList: string },
  ): Promise<LocalRouter> {
    const { name, listen, control, forward, keyValue } = plan;
    const ini = stringify({
      router: { name, "failure_domain": "a", host: `host-${name}` },
      listen: {
        ...listen,
        "announce_control": control.address,
        "announce_forward": forward.address,
      },
      platform: { "key_value": keyValue.address, "host_list": hostList },
      fleet: { key: FLEET_KEY },
      limits: { "drain_ms": 0, ...options.limits },
      timing: { ...TIMING, ...options.timing },
    });
    const settings = readSettings(ini, "test.ini").unwrap();
    const lines: LogLine[] = [];
    const recordLine = (message: string, fields: LogFields = {}) => {
      lines.push({ message, fields });
    };
    const daemon = await startDaemon({
      settings,
      fleetKey: FLEET_KEY,
      logs: () => ({
        ...SILENT_LOG,
        info: recordLine,
        warn: recordLine,
        error: recordLine,
      }),
    });
    const { callers } = listen;
    return { name, callers, control, forward, keyValue, lines, daemon };
  }
}

function toBody(body: LocalRequest["body"] = null) {
  const isWhole = body === null || typeof body === "string" ||
    Buffer.isBuffer(body);
  return isWhole ? body : Readable.from(body, { objectMode: false });
}

const FLEET_KEY = "a-fleet-key-of-the-tests";

/** Creates the request body of a chat completion. */
export function createChat(
  content: string,
  { stream = false, tokens = 8 }: { stream?: boolean; tokens?: number } = {},
) {
  return {
    model: MODEL,
    messages: [{ role: "user", content }],
    "max_tokens": tokens,
    stream,
  };
}

function createManifest(
  { engines, plainServices }: LocalFleet,
  { service, upstream }: LocalFleetOptions,
): Manifest {
  const createUpstreamEntry =
    (prefix: string) => ({ name, relay }: LocalUpstream) => ({
      name: `${prefix}-${name}`,
      host: `host-${prefix}-${name}`,
      failureDomain: "a",
      address: relay.address,
      hardLimit: 64,
      coldLimit: 16,
      ...upstream,
    });
  const manifest = checkManifest({
    failureDomains: [{ name: "a" }, { name: "b" }],
    services: [
      {
        name: "assistant",
        kind: "engine",
        model: MODEL,
        loadFactor: 4,
        firstByteTimeoutMs: 5_000,
        betweenBytesTimeoutMs: 1_000,
        deadlineMs: 20_000,
        ...service,
        upstreams: engines.map(createUpstreamEntry("engine")),
      },
      {
        name: "registry",
        kind: "plain",
        loadFactor: 4,
        firstByteTimeoutMs: 5_000,
        betweenBytesTimeoutMs: 1_000,
        deadlineMs: 20_000,
        ...service,
        routes: [
          { method: "GET", path: "/sheets", idempotent: true },
          { method: "POST", path: "/sheets", idempotent: false },
        ],
        upstreams: plainServices.map(createUpstreamEntry("plain")),
      },
    ],
    workspaces: [
      {
        name: "hakata",
        key: WORKSPACE_KEY,
        requestsPerSecond: 100_000,
        burst: 100_000,
      },
      {
        name: "small",
        key: "small-workspace-key",
        requestsPerSecond: 1,
        burst: 1,
      },
    ],
  });
  return manifest.unwrap();
}

/**
 * Writes `parts` to a new connection, where a number is a pause in
 * milliseconds, and returns the bytes received until the connection closes.
 */
export async function exchangeRaw(
  address: string,
  parts: readonly (string | number)[],
): Promise<string> {
  const [host, port] = address.split(":");
  const socket = connect({ host: host!, port: Number(port) });
  socket.on("error", () => {});
  const answer = text(socket).catch(() => "");
  for (const part of parts) {
    if (typeof part === "string") socket.write(Buffer.from(part, "latin1"));
    else await new Promise((resolve) => setTimeout(resolve, part));
  }
  return await answer;
}
