/**
 * Runs a complete fleet on loopback, each part in its own process: the stand-ins
 * of the platform's services, the upstreams of a manifest and the routers.
 *
 * For tests and benchmarks only. Runs the scripts of the last build.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { stringify } from "ini";
import type { Service } from "../src/config/manifest.ts";
import { type FleetLinks, openLinks } from "./fleet_links.ts";
import { Member, RouterMember, UpstreamMember } from "./fleet_member.ts";
import { waitFor, type WaitOptions } from "./fleet_http.ts";
import { Operator } from "./fleet_operator.ts";
import {
  countPorts,
  createFleetPlan,
  type FleetPlan,
  type FleetPlanOptions,
  type PlannedRouter,
  type StandInOptions,
} from "./fleet_plan.ts";
import { findPortBase } from "./fleet_ports.ts";
import type { HostState } from "./host_list_server.ts";
import type { KeyValueFaults } from "./kv_server.ts";
import { Processes } from "./processes.ts";

/** Options of a fleet. */
export interface FleetOptions extends FleetPlanOptions {
  /** Directory of the log files and the generated settings files. */
  directory: string;
  /** Whether to use free ports instead of those of the deployment. */
  freePorts?: boolean;
  /** Whether to route the links between processes through relays. */
  hasLinks?: boolean;
  /** Directory of the built scripts; `dist` by default. */
  scripts?: string;
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  graceMs?: number;
}

/** Result of stopping a fleet. */
export interface StopReport {
  /** Exit codes of the routers that did not exit with 0, by name. */
  readonly failed: Readonly<Record<string, number | null>>;
}

const DEFAULT_GRACE_MS = 30_000;
const PROBE_TIMEOUT_MS = 30_000;

/**
 * Starts every process of a fleet without applying a manifest. If a process
 * fails to start, stops the others and rethrows the error.
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const plan = await createPlan(options);
  const { directory, hasLinks = false } = options;
  const links = hasLinks ? await openLinks(plan) : undefined;
  const fleet = new Fleet({
    ...options,
    directory,
    plan: links?.plan ?? plan,
    links,
    listening: plan,
  });
  try {
    await fleet.start();
  } catch (failure) {
    await fleet.stopAll();
    throw failure;
  }
  return fleet;
}

async function createPlan(options: FleetOptions): Promise<FleetPlan> {
  const plan = createFleetPlan(options);
  if (!options.freePorts) return plan;
  const portBase = await findPortBase(countPorts(plan));
  return createFleetPlan({ ...options, portBase });
}

/** A running fleet. */
export class Fleet {
  readonly plan: FleetPlan;
  readonly routers: readonly RouterMember[];
  readonly upstreams: readonly UpstreamMember[];
  readonly keyValue: Member;
  readonly hostList: Member;
  readonly weightStore: Member;
  /** Connects to the key-value service directly, not through a relay. */
  readonly operator: Operator;
  /** Relays between the processes; undefined if the fleet has none. */
  readonly links: FleetLinks | undefined;
  readonly #processes: Processes;
  readonly #scripts: string;
  readonly #directory: string;

  constructor(
    {
      plan,
      listening,
      links,
      directory,
      scripts = "dist",
      graceMs = DEFAULT_GRACE_MS,
    }:
      & FleetOptions
      & {
        plan: FleetPlan;
        /** Plan with the addresses that the processes listen on. */
        listening: FleetPlan;
        links: FleetLinks | undefined;
      },
  ) {
    this.plan = plan;
    this.links = links;
    this.#scripts = scripts;
    this.#directory = directory;
    this.#processes = new Processes({ logDirectory: directory, graceMs });
    const { keyValue, hostList, weightStore } = listening.platform;
    this.keyValue = this.#createStandIn("kv", keyValue, plan.keyValue);
    this.hostList = this.#createStandIn("host_list", hostList, {
      hosts: listHosts(plan).join(","),
    });
    this.weightStore = this.#createStandIn("weight_store", weightStore, {});
    this.upstreams = this.#createUpstreams(listening);
    this.routers = plan.routers.map((router) => this.#createRouter(router));
    this.operator = new Operator({ author: "fleet", address: keyValue });
  }

  /** Addresses at which the routers accept callers. */
  get addresses(): readonly string[] {
    return this.routers.map(({ address }) => address);
  }

  /** The upstreams that are engines. */
  get engines(): readonly UpstreamMember[] {
    return this.upstreams.filter(({ kind }) => kind === "engine");
  }

  /** The upstreams that are plain services. */
  get plainServices(): readonly UpstreamMember[] {
    return this.upstreams.filter(({ kind }) => kind === "plain");
  }

  /** Starts every process; the routers after all others. */
  async start(): Promise<void> {
    const platform = [this.keyValue, this.hostList, this.weightStore];
    const dependencies = [...platform, ...this.upstreams];
    await Promise.all(dependencies.map((member) => member.start()));
    await Promise.all(this.routers.map((router) => router.start()));
  }

  /**
   * Commits the plan's manifest and waits until every router is ready with it;
   * returns its version.
   */
  async apply(options: WaitOptions = {}): Promise<number> {
    const version = await this.operator.apply(this.plan.manifest);
    await this.waitForVersion(version, options);
    return version;
  }

  /** Waits until every router is ready and runs `version` or a newer one. */
  async waitForVersion(
    version: number,
    options: WaitOptions = {},
  ): Promise<void> {
    await waitFor(`version ${version} on every router`, async () => {
      const views = await this.getRouterStates();
      return views.every((view) => view.isReady && view.version >= version);
    }, options);
  }

  /** Waits until each service of the plan has answered a request with 200. */
  async waitUntilServing(options: WaitOptions = {}): Promise<void> {
    const { services, workspaces } = this.plan.manifest;
    const headers = {
      "authorization": `Bearer ${workspaces[0]!.key}`,
      "content-type": "application/json",
    };
    const probes = services.map((service) => createProbe(service, headers));
    await Promise.all(
      probes.map(({ path, ...request }) =>
        waitFor(`status 200 from ${path}`, async () => {
          const answer = await this.routers[0]!.call(path, request);
          return answer.status === 200;
        }, options)
      ),
    );
  }

  /** Reads the readiness and configuration version of every router. */
  getRouterStates() {
    return Promise.all(this.routers.map((router) => router.getState()));
  }

  /** Sets faults of the key-value stand-in. */
  async setKeyValueFaults(faults: Partial<KeyValueFaults>): Promise<void> {
    await this.keyValue.call("/faults", { body: faults });
  }

  /** Sets a host's state; the host list returns it after its lag. */
  async setHostState(host: string, state: HostState): Promise<void> {
    await this.hostList.call(`/hosts/${host}`, {
      method: "PUT",
      body: { state },
    });
  }

  /** Stops the routers gracefully, then every other process. */
  async stopAll(): Promise<StopReport> {
    const exitCodes = await Promise.all(
      this.routers.map(async ({ name }, index) =>
        [name, await this.routers[index]!.stop()] as const
      ),
    );
    await this.operator.close();
    await this.links?.close();
    await this.#processes.stopAll();
    const failed = exitCodes.filter(([, code]) => code !== 0);
    return { failed: Object.fromEntries(failed) };
  }

  /** On SIGINT or SIGTERM, stops every process and exits with 1. */
  stopOnSignals(): void {
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.once(signal, () => {
        void this.stopAll().finally(() => process.exit(1));
      });
    }
  }

  #createMemberOptions(name: string, address: string, script: string) {
    return {
      processes: this.#processes,
      name,
      address,
      script: join(this.#scripts, script),
    };
  }

  #createStandIn(
    name: string,
    address: string,
    options: StandInOptions,
  ): Member {
    return new Member({
      ...this.#createMemberOptions(name, address, `testing/${name}_main.js`),
      args: toArguments({ port: getPort(address), ...options }),
    });
  }

  #createUpstreams({ manifest, engine, plain }: FleetPlan): UpstreamMember[] {
    return manifest.services.flatMap(({ name, kind, upstreams }) => {
      const script = kind === "engine" ? "engine" : "plain_service";
      return upstreams.map((upstream) =>
        new UpstreamMember({
          ...this.#createMemberOptions(
            upstream.name,
            upstream.address,
            `testing/${script}_main.js`,
          ),
          args: [
            ...toArguments({
              name: upstream.name,
              port: getPort(upstream.address),
              "hard-limit": upstream.hardLimit,
              "cold-limit": upstream.coldLimit,
              ...(kind === "engine" ? engine : plain),
            }),
            ...(kind === "engine" && upstream.checksFencing
              ? ["--checks-fencing"]
              : []),
          ],
          service: name,
          kind,
          upstream,
        })
      );
    });
  }

  #createRouter(router: PlannedRouter): RouterMember {
    return new RouterMember({
      ...this.#createMemberOptions(
        router.name,
        router.callers,
        "src/daemon/main.js",
      ),
      args: ["--settings", this.#writeSettings(router)],
      failureDomain: router.failureDomain,
    });
  }

  /** Returns the deployment's settings file, or a generated one for this fleet. */
  #writeSettings({ name, file, settings }: PlannedRouter): string {
    if (this.plan.usesDeploymentSettings) return file;
    mkdirSync(this.#directory, { recursive: true });
    const generatedFile = join(this.#directory, `${name}.ini`);
    writeFileSync(generatedFile, stringify(settings));
    return generatedFile;
  }
}

/** Creates a request that can safely be repeated. */
function createProbe(
  { model, routes }: Service,
  headers: Readonly<Record<string, string>>,
) {
  const timeoutMs = PROBE_TIMEOUT_MS;
  const route = routes.find(({ idempotent }) => idempotent);
  if (model === undefined) {
    const path = route?.path ?? "/";
    return { path, method: "GET" as const, headers, timeoutMs };
  }
  return {
    path: "/v1/chat/completions",
    headers: { ...headers, "x-chat-id": "probe" },
    body: {
      model,
      messages: [{ role: "user", content: "ready" }],
      "max_tokens": 1,
      stream: false,
    },
    timeoutMs,
  };
}

function listHosts({ manifest, routers }: FleetPlan): string[] {
  const upstreams = manifest.services.flatMap(({ upstreams }) => upstreams);
  const hosts = [...upstreams, ...routers].map(({ host }) => host);
  return [...new Set(hosts)];
}

function getPort(address: string): string {
  return address.slice(address.lastIndexOf(":") + 1);
}

function toArguments(options: StandInOptions): string[] {
  return Object.entries(options)
    .flatMap(([name, value]) => [`--${name}`, String(value)]);
}
