/**
 * Measures what a router costs against the size of everything that grows, and
 * fits a line through each: `slopes_main`, written to `out/slopes.json`.
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

/** What is varied. */
type Dimension =
  | "routers"
  | "pools"
  | "upstreams"
  | "workspaces"
  | "changes a second";

/** Points and lines of one dimension. */
interface Slope {
  readonly dimension: Dimension;
  readonly points: readonly SizePoint[];
  readonly payload: Fit;
  readonly onWire: Fit;
  readonly coreShare: Fit;
  readonly residentMegabytes: Fit;
  readonly keyValueCalls: Fit;
}

const OUT = "out";
const BASE: ManifestSize = {
  services: 1,
  upstreamsPerService: 8,
  workspaces: 10,
};
const ROUTERS = [2, 4, 6];
const POOLS = [1, 4, 16];
const UPSTREAMS = [8, 32, 128];
const WORKSPACES = [10, 400, 1_200];
const CHANGES_PER_SECOND = [0, 1, 4];
const UPSTREAMS_OF_A_SMALL_POOL = 2;

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

async function measureRouters(engines: EngineSet): Promise<SizePoint[]> {
  const points: SizePoint[] = [];
  for (const routers of ROUTERS) {
    const directory = join(OUT, "slopes", `routers-${routers}`);
    const fleet = await startSlopeFleet({ directory, routers });
    try {
      points.push(
        await measureManifest(fleet, {
          directory,
          engines,
          manifestSize: BASE,
          size: routers,
        }),
      );
    } finally {
      await fleet.stopAll();
    }
  }
  return points;
}

async function measureSizes(engines: EngineSet): Promise<Slope[]> {
  const directory = join(OUT, "slopes", "sizes");
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
    const pools = await measureEach(POOLS, (services) => ({
      ...BASE,
      services,
      upstreamsPerService: UPSTREAMS_OF_A_SMALL_POOL,
    }));
    const upstreams = await measureEach(UPSTREAMS, (count) => ({
      ...BASE,
      upstreamsPerService: count,
    }));
    const workspaces = await measureEach(WORKSPACES, (count) => ({
      ...BASE,
      workspaces: count,
    }));
    await measureEach([BASE.workspaces], () => BASE);
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

function print(slopes: readonly Slope[]): void {
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
    const routers = createSlope("routers", await measureRouters(engines));
    const slopes = [routers, ...await measureSizes(engines)];
    print(slopes);
    printDirectory(directory);
    const result = { slopes, directory, loadAverage: loadavg()[0] };
    mkdirSync(OUT, { recursive: true });
    writeFileSync(join(OUT, "slopes.json"), JSON.stringify(result, null, 1));
  } finally {
    engines.close();
  }
}

void main();
