/**
 * Measures the costs of a router by the size of each dimension that can grow,
 * and fits lines to them: `slopes_main`, which writes `out/slopes.json`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { formatNumber, renderTable } from "./report_table.ts";
import { type DirectoryPoint, measureDirectory } from "./slopes_directory.ts";
import { type Fit, fitLine } from "./slopes_fit.ts";
import {
  measureChanges,
  measureManifest,
  type SizePoint,
  startSlopeFleet,
} from "./slopes_fleet.ts";
import { EngineSet, type ManifestSize } from "./slopes_manifest.ts";

/** Dimension that is varied. */
type Dimension =
  | "routers"
  | "pools"
  | "upstreams"
  | "workspaces"
  | "changes a second";

/** Points of one dimension and the line fitted to each cost. */
interface Slope {
  readonly dimension: Dimension;
  readonly points: readonly SizePoint[];
  readonly payload: Fit;
  readonly onWire: Fit;
  readonly coreShare: Fit;
  readonly residentMegabytes: Fit;
  readonly keyValueCalls: Fit;
}

const OUTPUT_DIRECTORY = "out";
const BASE_SIZE: ManifestSize = {
  services: 1,
  upstreamsPerService: 8,
  workspaces: 10,
};
const ROUTER_COUNTS = [2, 4, 6];
const POOL_COUNTS = [1, 4, 16];
const UPSTREAM_COUNTS = [8, 32, 128];
const WORKSPACE_COUNTS = [10, 400, 1_200];
const CHANGES_PER_SECOND = [0, 1, 4];
const UPSTREAMS_PER_SMALL_POOL = 2;

function createSlope(
  dimension: Dimension,
  points: readonly SizePoint[],
): Slope {
  const fit = (cost: (point: SizePoint) => number) =>
    fitLine(points.map((point) => ({ size: point.size, cost: cost(point) })));
  return {
    dimension,
    points,
    payload: fit((point) => point.payload),
    onWire: fit((point) => point.onWire),
    coreShare: fit((point) => point.coreShare),
    residentMegabytes: fit((point) => point.residentMegabytes),
    keyValueCalls: fit((point) => point.keyValueCalls),
  };
}

async function measureRouterCounts(engines: EngineSet): Promise<SizePoint[]> {
  const points: SizePoint[] = [];
  for (const routers of ROUTER_COUNTS) {
    const directory = join(OUTPUT_DIRECTORY, "slopes", `routers-${routers}`);
    const fleet = await startSlopeFleet({ directory, routers });
    try {
      points.push(
        await measureManifest(fleet, {
          directory,
          engines,
          manifestSize: BASE_SIZE,
          size: routers,
        }),
      );
    } finally {
      await fleet.stopAll();
    }
  }
  return points;
}

async function measureManifestSizes(engines: EngineSet): Promise<Slope[]> {
  const directory = join(OUTPUT_DIRECTORY, "slopes", "sizes");
  const fleet = await startSlopeFleet({ directory });
  async function measureEach(
    sizes: readonly number[],
    getSize: (size: number) => ManifestSize,
  ): Promise<SizePoint[]> {
    const points: SizePoint[] = [];
    for (const size of sizes) {
      const manifestSize = getSize(size);
      points.push(
        await measureManifest(fleet, {
          directory,
          engines,
          manifestSize,
          size,
        }),
      );
    }
    return points;
  }
  try {
    const pools = await measureEach(POOL_COUNTS, (services) => ({
      ...BASE_SIZE,
      services,
      upstreamsPerService: UPSTREAMS_PER_SMALL_POOL,
    }));
    const upstreams = await measureEach(UPSTREAM_COUNTS, (count) => ({
      ...BASE_SIZE,
      upstreamsPerService: count,
    }));
    const workspaces = await measureEach(WORKSPACE_COUNTS, (count) => ({
      ...BASE_SIZE,
      workspaces: count,
    }));
    await measureEach([BASE_SIZE.workspaces], () => BASE_SIZE);
    const changes: SizePoint[] = [];
    for (const rate of CHANGES_PER_SECOND) {
      changes.push(await measureChanges(fleet, { directory, rate }));
    }
    return [
      createSlope("pools", pools),
      createSlope("upstreams", upstreams),
      createSlope("workspaces", workspaces),
      createSlope("changes a second", changes),
    ];
  } finally {
    await fleet.stopAll();
  }
}

function printSlopes(slopes: readonly Slope[]): void {
  const head = [
    ...["dimension", "size", "payload B/s", "on wire B/s", "core %"],
    ...["RSS MB", "KV calls/s", "manifest B"],
  ];
  const rows = slopes.flatMap(({ dimension, points }) =>
    points.map((point) => [
      dimension,
      String(point.size),
      formatNumber(point.payload),
      formatNumber(point.onWire),
      formatNumber(point.coreShare * 100),
      formatNumber(point.residentMegabytes),
      formatNumber(point.keyValueCalls),
      String(point.manifestBytes),
    ])
  );
  const fits = slopes.map((slope) => [
    slope.dimension,
    formatFit(slope.onWire),
    formatFit(slope.coreShare),
    formatFit(slope.residentMegabytes),
  ]);
  const fitHead = ["dimension", "B/s each", "core each", "MB each"];
  process.stdout.write(`${renderTable([head, ...rows])}\n\n`);
  process.stdout.write(`${renderTable([fitHead, ...fits])}\n`);
}

function printDirectory(points: readonly DirectoryPoint[]): void {
  const rows = points.map(({ chats, bytes, cpuUsPerChat }) => [
    String(chats),
    formatNumber(bytes / chats),
    formatNumber(cpuUsPerChat),
  ]);
  const head = ["chats", "bytes a chat", "us a chat"];
  process.stdout.write(`\n${renderTable([head, ...rows])}\n`);
}

function formatFit({ slope, r2 }: Fit): string {
  return `${slope.toPrecision(3)} (r2 ${r2.toFixed(2)})`;
}

async function main(): Promise<void> {
  const engines = new EngineSet();
  try {
    const directory = measureDirectory();
    const routers = createSlope("routers", await measureRouterCounts(engines));
    const slopes = [routers, ...await measureManifestSizes(engines)];
    printSlopes(slopes);
    printDirectory(directory);
    const result = { slopes, directory, loadAverage: loadavg()[0] };
    mkdirSync(OUTPUT_DIRECTORY, { recursive: true });
    writeFileSync(
      join(OUTPUT_DIRECTORY, "slopes.json"),
      JSON.stringify(result, null, 1),
    );
  } finally {
    engines.close();
  }
}

void main();
