/**
 * A whole fleet on loopback, each part as its own process: the platform's
 * stand-ins, the upstreams of a manifest and the routers.
 *
 * Only for tests and benches. The scripts are those of the last build.
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
  /** Directory of the log files and of generated settings. */
  directory: string;
  /** Take free ports in place of the deployment's. */
  freePorts?: boolean;
  /** Put relays on the links to the key-value service and to upstreams. */
  hasLinks?: boolean;
  /** Directory of the built scripts. */
  scripts?: string;
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  graceMs?: number;
}

/** Failures while the processes were stopped. */
export interface StopReport {
  /** Routers that did not exit with 0, by name. */
  readonly failed: Readonly<Record<string, number | null>>;
}

const GRACE_MS = 30_000;
const PROBE_TIMEOUT_MS = 30_000;

/** Starts a fleet; nothing is applied yet. */
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

/** A fleet that runs. */
export class Fleet {
  readonly plan: FleetPlan;
  readonly routers: readonly RouterMember[];
  readonly upstreams: readonly UpstreamMember[];
  readonly keyValue: Member;
  readonly hostList: Member;
  readonly weightStore: Member;
  /** Commits changes past any relay. */
  readonly operator: Operator;
  /** Relays between the parts, where the fleet has them. */
  readonly links: FleetLinks | undefined;
  readonly #processes: Processes;
  readonly #scripts: string;
  readonly #directory: string;

  constructor(
    { plan, listening, links, directory, scripts = "dist", graceMs = GRACE_MS }:
      & FleetOptions
      & {
        plan: FleetPlan;
        /** The plan with the addresses that the processes listen on. */
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

  /** Addresses of the routers for callers. */
  get addresses(): readonly string[] {
    return this.routers.map(({ address }) => address);
  }

  /** The engines. */
  get engines(): readonly UpstreamMember[] {
    return this.upstreams.filter(({ kind }) => kind === "engine");
  }

  /** The plain services. */
  get plainServices(): readonly UpstreamMember[] {
    return this.upstreams.filter(({ kind }) => kind === "plain");
  }

  /** Starts every process. */
  async start(): Promise<void> {
    const platform = [this.keyValue, this.hostList, this.weightStore];
    const first = [...platform, ...this.upstreams];
    await Promise.all(first.map((member) => member.start()));
    await Promise.all(this.routers.map((router) => router.start()));
  }

  /** Applies the plan's manifest and waits until every router is ready. */
  async apply(options: WaitOptions = {}): Promise<number> {
    const version = await this.operator.apply(this.plan.manifest);
    await this.waitForVersion(version, options);
    return version;
  }

  /** Waits until every router is ready and has `version` in force. */
  async waitForVersion(
    version: number,
    options: WaitOptions = {},
  ): Promise<void> {
    await waitFor(`version ${version} on every router`, async () => {
      const views = await this.getViews();
      return views.every((view) => view.isReady && view.version >= version);
    }, options);
  }

  /** Waits until every service of the plan answers one request. */
  async waitUntilServing(options: WaitOptions = {}): Promise<void> {
    const { services, workspaces } = this.plan.manifest;
    const headers = {
      "authorization": `Bearer ${workspaces[0]!.key}`,
      "content-type": "application/json",
    };
    const probes = services.map((service) => createProbe(service, headers));
    await Promise.all(
      probes.map(({ path, ...request }) =>
        waitFor(`an answer of ${path}`, async () => {
          const answer = await this.routers[0]!.call(path, request);
          return answer.status === 200;
        }, options)
      ),
    );
  }

  /** Reads readiness and version of every router. */
  getViews() {
    return Promise.all(this.routers.map((router) => router.getView()));
  }

  /** Sets faults of the key-value service. */
  async setKeyValueFaults(faults: Partial<KeyValueFaults>): Promise<void> {
    await this.keyValue.call("/faults", { body: faults });
  }

  /** Changes the host list; the change shows after its lag. */
  async setHostState(host: string, state: HostState): Promise<void> {
    await this.hostList.call(`/hosts/${host}`, {
      method: "PUT",
      body: { state },
    });
  }

  /** Stops the routers gracefully, and then every other process. */
  async stopAll(): Promise<StopReport> {
    const codes = await Promise.all(
      this.routers.map(async ({ name }, index) =>
        [name, await this.routers[index]!.stop()] as const
      ),
    );
    await this.operator.close();
    await this.links?.close();
    await this.#processes.stopAll();
    const failed = codes.filter(([, code]) => code !== 0);
    return { failed: Object.fromEntries(failed) };
  }

  /** Ends every process and this one when it is told to end. */
  stopOnSignals(): void {
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.once(signal, () => {
        void this.stopAll().finally(() => process.exit(1));
      });
    }
  }

  #createMember(name: string, address: string, script: string) {
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
      ...this.#createMember(name, address, `testing/${name}_main.js`),
      args: toArguments({ port: getPort(address), ...options }),
    });
  }

  #createUpstreams({ manifest, engine, plain }: FleetPlan): UpstreamMember[] {
    return manifest.services.flatMap(({ name, kind, upstreams }) => {
      const script = kind === "engine" ? "engine" : "plain_service";
      return upstreams.map((upstream) =>
        new UpstreamMember({
          ...this.#createMember(
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
      ...this.#createMember(router.name, router.callers, "src/daemon/main.js"),
      args: ["--settings", this.#writeSettings(router)],
      failureDomain: router.failureDomain,
    });
  }

  /** The deployment's own file, or one with this fleet's settings. */
  #writeSettings({ name, file, settings }: PlannedRouter): string {
    if (this.plan.isPublished) return file;
    mkdirSync(this.#directory, { recursive: true });
    const generated = join(this.#directory, `${name}.ini`);
    writeFileSync(generated, stringify(settings));
    return generated;
  }
}

/** A request that may run more than once. */
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
