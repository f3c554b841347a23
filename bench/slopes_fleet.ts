/** Measures the costs of idle routers by the size of the configuration. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { type Fleet, startFleet } from "../testing/fleet.ts";
import {
  findRouterPids,
  getControlTraffic,
  getResourceUse,
  readRouters,
} from "./measure_control.ts";
import {
  createManifest,
  type EngineSet,
  getHost,
  type ManifestSize,
} from "./slopes_manifest.ts";

/** Costs of a router at one size, averaged over the fleet. */
export interface SizePoint {
  readonly size: number;
  readonly payload: number;
  readonly payloadByKind: Readonly<Record<string, number>>;
  readonly onWire: number;
  readonly coreShare: number;
  readonly residentMegabytes: number;
  readonly keyValueCalls: number;
  /** Bytes of the manifest, stored as one entry. */
  readonly manifestBytes: number;
}

/** Options of `startSlopeFleet`. */
export interface SlopeFleetOptions {
  readonly directory: string;
  readonly routers?: number;
}

const SETTLE_MS = 4_000;
const WINDOW_MS = 6_000;
const HEARTBEAT_MS = 1_000;
const BYTES_PER_MEGABYTE = 1_048_576;
const MS_PER_SECOND = 1_000;

/** Starts routers with the minimum number of upstreams. */
export function startSlopeFleet(
  { directory, routers }: SlopeFleetOptions,
): Promise<Fleet> {
  return startFleet({
    deployment: "rokuro",
    directory,
    freePorts: true,
    upstreams: { assistant: 1, booking: 1 },
    settings: { limits: { "drain_ms": "100" } },
    ...(routers !== undefined && { routers }),
  });
}

/** Applies a manifest and measures the idle routers. */
export async function measureManifest(
  fleet: Fleet,
  { directory, engines, manifestSize, size }: {
    directory: string;
    engines: EngineSet;
    manifestSize: ManifestSize;
    /** Value of the dimension that is varied. */
    size: number;
  },
): Promise<SizePoint> {
  const manifest = await createManifest(fleet.plan.manifest, {
    size: manifestSize,
    engines,
  });
  const version = await fleet.operator.apply(manifest);
  await fleet.waitForVersion(version);
  await sleep(SETTLE_MS);
  const manifestBytes = JSON.stringify(manifest).length;
  const point = await measureWindow(fleet, {
    directory,
    during: () => sleep(WINDOW_MS),
  });
  return { ...point, size, manifestBytes };
}

/** Measures the routers while `rate` changes per second are committed. */
export async function measureChanges(
  fleet: Fleet,
  { directory, rate }: { directory: string; rate: number },
): Promise<SizePoint> {
  const host = getHost(0, 0);
  const point = await measureWindow(fleet, {
    directory,
    during: () => commitChanges(fleet, { host, rate }),
  });
  return { ...point, size: rate, manifestBytes: 0 };
}

async function commitChanges(
  fleet: Fleet,
  { host, rate }: { host: string; rate: number },
): Promise<void> {
  const endMs = performance.now() + WINDOW_MS;
  for (let changeNumber = 0; performance.now() < endMs; changeNumber++) {
    const nextMs = performance.now() +
      (rate === 0 ? WINDOW_MS : MS_PER_SECOND / rate);
    if (rate > 0) {
      await fleet.operator.setHost(host, changeNumber % 2 === 0 ? "out" : "in");
    }
    await sleep(Math.max(0, nextMs - performance.now()));
  }
}

async function measureWindow(
  fleet: Fleet,
  { directory, during }: { directory: string; during: () => Promise<void> },
): Promise<Omit<SizePoint, "size" | "manifestBytes">> {
  const pids = findRouterPids(fleet, directory);
  const start = await readRouters(fleet, pids);
  await during();
  const end = await readRouters(fleet, pids);
  const control = getControlTraffic(start, end, { heartbeatMs: HEARTBEAT_MS });
  const use = getResourceUse(start, end);
  return {
    payload: control.payload,
    payloadByKind: control.payloadByKind,
    onWire: control.onWire,
    coreShare: use.coreShare,
    residentMegabytes: use.residentBytes / BYTES_PER_MEGABYTE,
    keyValueCalls: control.keyValueCalls,
  };
}
