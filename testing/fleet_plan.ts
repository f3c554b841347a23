/**
 * Plans a fleet on loopback: its processes and their addresses.
 *
 * A plan is based on one of the deployments in `deployments/`, optionally with
 * other ports, counts and settings.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parse } from "ini";
import type { Manifest, Service, Upstream } from "../src/config/manifest.ts";
import { checkManifest } from "../src/config/manifest_check.ts";

/** Settings of a router by section and key, as in the settings file. */
export type SettingSections = Record<string, Record<string, string>>;

/** Command-line options of a stand-in by name, without the hyphens. */
export type StandInOptions = Readonly<Record<string, string | number>>;

/** Options of a plan. */
export interface FleetPlanOptions {
  deployment?: "rokuro" | "tuul";
  /** First port to use; by default the deployment's ports are used. */
  portBase?: number;
  /** Number of routers; at most, and by default, that of the deployment. */
  routers?: number;
  /** Number of upstreams by service; by default that of the deployment. */
  upstreams?: Readonly<Record<string, number>>;
  /** Settings that override those of every router. */
  settings?: SettingSections;
  /** Command-line options of every engine. */
  engine?: StandInOptions;
  /** Command-line options of every plain service. */
  plain?: StandInOptions;
  /** Command-line options of the key-value stand-in. */
  keyValue?: StandInOptions;
}

/** A router of a plan. */
export interface PlannedRouter {
  readonly name: string;
  readonly failureDomain: string;
  readonly host: string;
  /** `ip:port` at which it accepts callers. */
  readonly callers: string;
  /** Settings file of the deployment. */
  readonly file: string;
  readonly settings: SettingSections;
}

/** The processes of a fleet and their addresses. */
export interface FleetPlan {
  readonly deployment: string;
  readonly manifest: Manifest;
  readonly routers: readonly PlannedRouter[];
  /** Whether the routers use the deployment's settings files unchanged. */
  readonly usesDeploymentSettings: boolean;
  /** Addresses, as `ip:port`, of the stand-ins of the platform's services. */
  readonly platform: {
    readonly keyValue: string;
    readonly hostList: string;
    readonly weightStore: string;
  };
  readonly engine: StandInOptions;
  readonly plain: StandInOptions;
  readonly keyValue: StandInOptions;
}

/** The manifest of a deployment is invalid. */
export class PlanError extends Error {
  constructor(detail: string) {
    super(detail);
    this.name = "PlanError";
  }
}

const DEPLOYMENTS = "deployments";
const LOOPBACK = "127.0.0.1";

/**
 * Creates a plan from a deployment.
 *
 * @throws {PlanError} If the manifest is invalid.
 */
export function createFleetPlan(options: FleetPlanOptions = {}): FleetPlan {
  const { deployment = "rokuro", portBase, settings = {} } = options;
  const directory = join(DEPLOYMENTS, deployment);
  const files = listSettingsFiles(directory).slice(0, options.routers);
  const nextAddress = createAddressAllocator(portBase);
  const [firstSettings] = files.map(readSettingsFile);
  const platform = {
    keyValue: nextAddress(firstSettings!["platform"]!["key_value"]!),
    hostList: nextAddress(firstSettings!["platform"]!["host_list"]!),
    weightStore: nextAddress(firstSettings!["platform"]!["weight_store"]!),
  };
  const routers = planRouters(files, { nextAddress, platform, settings });
  const manifest = planManifest(directory, { options, nextAddress });
  const usesDeploymentSettings = portBase === undefined &&
    options.routers === undefined && Object.keys(settings).length === 0;
  return {
    deployment,
    manifest,
    routers,
    usesDeploymentSettings,
    platform,
    engine: options.engine ?? {},
    plain: options.plain ?? {},
    keyValue: options.keyValue ?? {},
  };
}

/** Returns the number of consecutive ports that a plan with a port base needs. */
export function countPorts({ manifest, routers }: FleetPlan): number {
  const upstreams = manifest.services.flatMap(({ upstreams }) => upstreams);
  return 3 + 3 * routers.length + upstreams.length;
}

type AllocateAddress = (published: string) => string;

/** Keeps the deployment's addresses, or counts ports up from `portBase`. */
function createAddressAllocator(portBase: number | undefined): AllocateAddress {
  if (portBase === undefined) return (published) => published;
  let port = portBase;
  return () => `${LOOPBACK}:${port++}`;
}

function listSettingsFiles(directory: string): string[] {
  return readdirSync(directory)
    .filter((file) => file.endsWith(".ini"))
    .sort()
    .map((file) => join(directory, file));
}

function readSettingsFile(file: string): SettingSections {
  return parse(readFileSync(file, "utf8")) as SettingSections;
}

function planRouters(
  files: readonly string[],
  { nextAddress, platform, settings }: {
    nextAddress: AllocateAddress;
    platform: FleetPlan["platform"];
    settings: SettingSections;
  },
): PlannedRouter[] {
  const sections = files.map((file) => {
    const published = readSettingsFile(file);
    const listen = published["listen"]!;
    return {
      ...published,
      listen: {
        callers: nextAddress(listen["callers"]!),
        control: nextAddress(listen["control"]!),
        forward: nextAddress(listen["forward"]!),
      },
      platform: {
        "key_value": platform.keyValue,
        "host_list": platform.hostList,
        "weight_store": platform.weightStore,
      },
    };
  });
  const controlAddresses = sections.map(({ listen }) => listen.control);
  return sections.map((base, index) => {
    const { listen } = base;
    const peers = controlAddresses.filter((control) =>
      control !== listen.control
    );
    const withPeers = mergeSettings(base, {
      fleet: { "seed_peers": peers.join(", ") },
    });
    const router = withPeers["router"]!;
    return {
      name: router["name"]!,
      failureDomain: router["failure_domain"]!,
      host: router["host"]!,
      callers: listen.callers,
      file: files[index]!,
      settings: mergeSettings(withPeers, settings),
    };
  });
}

/** Returns a copy of `settings` overridden by `changes`. */
export function mergeSettings(
  settings: SettingSections,
  changes: SettingSections,
): SettingSections {
  const merged = { ...settings };
  for (const [section, values] of Object.entries(changes)) {
    merged[section] = { ...merged[section], ...values };
  }
  return merged;
}

function planManifest(
  directory: string,
  { options, nextAddress }: {
    options: FleetPlanOptions;
    nextAddress: AllocateAddress;
  },
): Manifest {
  const text = readFileSync(join(directory, "manifest.json"), "utf8");
  const manifest = checkManifest(JSON.parse(text));
  if (manifest.err) {
    throw new PlanError(`${directory}/manifest.json is not a valid manifest`);
  }
  const { services } = manifest.val;
  return {
    ...manifest.val,
    services: services.map((service) => {
      const count = options.upstreams?.[service.name];
      const upstreams = scaleUpstreams(service, count);
      return {
        ...service,
        upstreams: upstreams.map((upstream) => ({
          ...upstream,
          address: nextAddress(upstream.address),
        })),
      };
    }),
  };
}

/**
 * Returns the first `count` upstreams. If the deployment has fewer, adds copies
 * with numbered names and hosts.
 */
function scaleUpstreams(
  { name, upstreams }: Service,
  count = upstreams.length,
): Upstream[] {
  return Array.from({ length: count }, (_, index) => {
    const template = upstreams[index % upstreams.length]!;
    if (index < upstreams.length) return template;
    const number = index + 1;
    return {
      ...template,
      name: `${name}-${number}`,
      host: template.host.replace(/\d+$/, String(number)),
    };
  });
}
