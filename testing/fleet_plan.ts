/**
 * Plan of a fleet on loopback: which processes there are and where they listen.
 *
 * A plan starts from one of the published deployments and may have other ports,
 * other counts and other settings.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parse } from "ini";
import type { Manifest, Service, Upstream } from "../src/config/manifest.ts";
import { checkManifest } from "../src/config/manifest_check.ts";

/** Settings of a router by section and key, as they stand in the file. */
export type SettingSections = Record<string, Record<string, string>>;

/** Command-line options of a stand-in by name, without the hyphens. */
export type StandInOptions = Readonly<Record<string, string | number>>;

/** Options of a plan. */
export interface FleetPlanOptions {
  deployment?: "rokuro" | "tuul";
  /** First of the ports; the deployment's own unless given. */
  portBase?: number;
  /** Number of routers, up to the deployment's. */
  routers?: number;
  /** Number of upstreams by service; the deployment's unless given. */
  upstreams?: Readonly<Record<string, number>>;
  /** Settings that replace those of every router. */
  settings?: SettingSections;
  /** Options of every engine. */
  engine?: StandInOptions;
  /** Options of every plain service. */
  plain?: StandInOptions;
  /** Options of the key-value stand-in. */
  keyValue?: StandInOptions;
}

/** One router of a plan. */
export interface PlannedRouter {
  readonly name: string;
  readonly failureDomain: string;
  readonly host: string;
  /** `ip:port` that callers use. */
  readonly callers: string;
  /** Settings file of the deployment. */
  readonly file: string;
  readonly settings: SettingSections;
}

/** A plan, ready to be started. */
export interface FleetPlan {
  readonly deployment: string;
  readonly manifest: Manifest;
  readonly routers: readonly PlannedRouter[];
  /** Whether the routers' settings are those of the deployment's files. */
  readonly isPublished: boolean;
  /** `ip:port` of the platform's stand-ins. */
  readonly platform: {
    readonly keyValue: string;
    readonly hostList: string;
    readonly weightStore: string;
  };
  readonly engine: StandInOptions;
  readonly plain: StandInOptions;
  readonly keyValue: StandInOptions;
}

/** The manifest of a deployment can't be used. */
export class PlanError extends Error {
  constructor(detail: string) {
    super(detail);
    this.name = "PlanError";
  }
}

const DEPLOYMENTS = "deployments";
const LOOPBACK = "127.0.0.1";

/** Creates a plan from a deployment. */
export function createFleetPlan(options: FleetPlanOptions = {}): FleetPlan {
  const { deployment = "rokuro", portBase, settings = {} } = options;
  const directory = join(DEPLOYMENTS, deployment);
  const files = listSettingsFiles(directory).slice(0, options.routers);
  const nextAddress = createAddresses(portBase);
  const [first] = files.map(readSettingsFile);
  const platform = {
    keyValue: nextAddress(first!["platform"]!["key_value"]!),
    hostList: nextAddress(first!["platform"]!["host_list"]!),
    weightStore: nextAddress(first!["platform"]!["weight_store"]!),
  };
  const routers = planRouters(files, { nextAddress, platform, settings });
  const manifest = planManifest(directory, { options, nextAddress });
  const isPublished = portBase === undefined &&
    options.routers === undefined && Object.keys(settings).length === 0;
  return {
    deployment,
    manifest,
    routers,
    isPublished,
    platform,
    engine: options.engine ?? {},
    plain: options.plain ?? {},
    keyValue: options.keyValue ?? {},
  };
}

/** Number of ports that a plan with a port base takes at most. */
export function countPorts({ manifest, routers }: FleetPlan): number {
  const upstreams = manifest.services.flatMap(({ upstreams }) => upstreams);
  return 3 + 3 * routers.length + upstreams.length;
}

type NextAddress = (published: string) => string;

/** Addresses as published, or one after the other from `portBase` on. */
function createAddresses(portBase: number | undefined): NextAddress {
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
    nextAddress: NextAddress;
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
  const controls = sections.map(({ listen }) => listen.control);
  return sections.map((each, index) => {
    const { listen } = each;
    const peers = controls.filter((control) => control !== listen.control);
    const own = mergeSettings(each, {
      fleet: { "seed_peers": peers.join(", ") },
    });
    const router = own["router"]!;
    return {
      name: router["name"]!,
      failureDomain: router["failure_domain"]!,
      host: router["host"]!,
      callers: listen.callers,
      file: files[index]!,
      settings: mergeSettings(own, settings),
    };
  });
}

/** Replaces the settings that `changes` names. */
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
    nextAddress: NextAddress;
  },
): Manifest {
  const text = readFileSync(join(directory, "manifest.json"), "utf8");
  const manifest = checkManifest(JSON.parse(text));
  if (manifest.err) throw new PlanError(`${directory}: not a manifest`);
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

/** The first `count` upstreams; more are made like the ones there are. */
function scaleUpstreams(
  { name, upstreams }: Service,
  count = upstreams.length,
): Upstream[] {
  return Array.from({ length: count }, (_, index) => {
    const model = upstreams[index % upstreams.length]!;
    if (index < upstreams.length) return model;
    const number = index + 1;
    return {
      ...model,
      name: `${name}-${number}`,
      host: model.host.replace(/\d+$/, String(number)),
    };
  });
}
