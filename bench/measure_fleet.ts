/** Measures the fleet: the schedule, idle time, added latency and cost. */
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { type Fleet, startFleet } from "../testing/fleet.ts";
import { waitFor } from "../testing/fleet_http.ts";
import {
  type ControlFigures,
  findRouterPids,
  getControlTraffic,
  getResourceUse,
  type Reading,
  readRouters,
  type UseFigures,
} from "./measure_control.ts";
import { type CostFigures, measureCost } from "./measure_cost.ts";
import { getDomainOut, runMeasurement } from "./measure_drive.ts";
import {
  type LatencyFigures,
  measureChatLatency,
  measurePlainLatency,
} from "./measure_latency.ts";
import type { Schedule } from "./measure_phases.ts";
import type { RunFigures } from "./measure_run.ts";
import { type PlacedLine, readPlacedLines } from "./measure_skew.ts";
import { createLoadOptions, type Deployment } from "./measure_workload.ts";

/** Options of `measureFleet`. */
export interface FleetRunOptions {
  readonly deployment: Deployment;
  readonly schedule: Schedule;
  readonly seed: number;
  readonly directory: string;
}

/** Admissions of requests to upstreams, as logged by the pools' owners. */
export interface AdmissionFigures {
  readonly admissions: number;
  /** Admissions after which the upstream was above its limit. */
  readonly aboveLimit: number;
  /** Largest ratio of in-flight count to limit at an admission. */
  readonly worstOfLimit: number;
  readonly byReason: Readonly<Record<string, number>>;
  readonly waitedP99Ms: number;
}

/** Requests placed in the failure domain that was taken out. */
export interface DomainFigures {
  readonly name: string;
  readonly admissionsWhileOut: number;
  /** Time from the commit of the take-out to the last of them; 0 without any. */
  readonly lastNewWorkMs: number;
  /** Time from the commit of the return to the first admission after it. */
  readonly firstAfterReturnMs: number | undefined;
}

/** All figures measured on the fleet. */
export interface FleetFigures extends RunFigures {
  readonly admission: AdmissionFigures;
  readonly domainOut: DomainFigures;
  readonly control: {
    readonly steady: ControlFigures;
    readonly idle: ControlFigures;
  };
  readonly use: {
    /** Before any load. */
    readonly fresh: UseFigures;
    readonly steady: UseFigures;
    /** Without load, after the run. */
    readonly idle: UseFigures;
  };
  readonly latency: {
    readonly plain: LatencyFigures;
    readonly chat: LatencyFigures;
  };
  readonly cost: CostFigures;
  readonly invariantBreaches: number;
  readonly failedStops: Readonly<Record<string, number | null>>;
}

interface DomainTimes {
  out: number;
  back: number;
}

const HEARTBEAT_MS = 1_000;
const LATENCY_PAIRS = 300;
const LATENCY_REQUESTS_PER_SECOND = 100;
const COST_SECONDS = 5;
const FRESH_WINDOW_MS = 2_000;
const MS_PER_SECOND = 1_000;
const BREACHES_METRIC = "corianderflow_invariant_breaches_total";

/** Starts a fleet, measures it and stops it. */
export async function measureFleet(
  options: FleetRunOptions,
): Promise<FleetFigures> {
  const directory = join(options.directory, `${options.deployment}-fleet`);
  const fleet = await startFleet({
    deployment: options.deployment,
    directory,
    freePorts: true,
  });
  try {
    await fleet.apply();
    await waitUntilServing(fleet);
    return await measureRunningFleet(fleet, { ...options, directory });
  } finally {
    await fleet.stopAll();
  }
}

async function measureRunningFleet(
  fleet: Fleet,
  options: FleetRunOptions,
): Promise<FleetFigures> {
  const { directory, schedule, deployment, seed } = options;
  const pids = findRouterPids(fleet, directory);
  const freshStart = await readRouters(fleet, pids);
  await sleep(FRESH_WINDOW_MS);
  const freshEnd = await readRouters(fleet, pids);
  const steady: Partial<Record<"start" | "end", Reading>> = {};
  const domain: DomainTimes = { out: Infinity, back: Infinity };
  const run = await runMeasurement({
    ...options,
    router: "corianderflow",
    manifest: fleet.plan.manifest,
    routers: fleet.addresses,
    upstreams: fleet.upstreams,
    setFailureDomain: async (name, state) => {
      await fleet.operator.setFailureDomain(name, state);
      domain[state === "out" ? "out" : "back"] = Date.now();
    },
    onSteady: async (edge) => {
      steady[edge] = await readRouters(fleet, pids);
    },
  });
  const idleStart = await readRouters(fleet, pids);
  await sleep(schedule.idleSeconds * MS_PER_SECOND);
  const idleEnd = await readRouters(fleet, pids);
  const use = {
    fresh: getResourceUse(freshStart, freshEnd),
    steady: getResourceUse(steady.start!, steady.end!),
    idle: getResourceUse(idleStart, idleEnd),
  };
  const interval = { heartbeatMs: HEARTBEAT_MS };
  const placed = readPlacedLines(getLogFiles(fleet, directory));
  const latency = await measureLatency(fleet, seed);
  const cost = await measureCost({
    fleet,
    pids,
    load: createLoadOptions(deployment, {
      manifest: fleet.plan.manifest,
      schedule,
      seconds: COST_SECONDS,
      seed,
    }),
    seconds: COST_SECONDS,
    idleCoreShare: use.idle.coreShare,
  });
  const scrapes = await Promise.all(fleet.routers.map((each) => each.scrape()));
  const { failed } = await fleet.stopAll();
  return {
    ...run,
    admission: getAdmissions(placed),
    domainOut: getDomainFigures(fleet, { placed, domain }),
    control: {
      steady: getControlTraffic(steady.start!, steady.end!, interval),
      idle: getControlTraffic(idleStart, idleEnd, interval),
    },
    use,
    latency,
    cost,
    invariantBreaches: scrapes.reduce(
      (sum, each) => sum + each.sum(BREACHES_METRIC),
      0,
    ),
    failedStops: failed,
  };
}

/**
 * Waits until a chat succeeds through every router, which is after the hold-down
 * of the first shares.
 */
async function waitUntilServing(fleet: Fleet): Promise<void> {
  const { manifest } = fleet.plan;
  const [key] = manifest.workspaces.map((workspace) => workspace.key);
  const body = JSON.stringify({
    model: manifest.models[0]!.name,
    messages: [{ role: "user", content: "ready" }],
    "max_tokens": 1,
  });
  const headers = {
    "authorization": `Bearer ${key}`,
    "content-type": "application/json",
  };
  await waitFor("an answer through every router", async () => {
    const statuses = await Promise.all(fleet.addresses.map(async (router) => {
      const url = `http://${router}/v1/chat/completions`;
      const answer = await request(url, { method: "POST", headers, body });
      await answer.body.dump();
      return answer.statusCode;
    }));
    return statuses.every((status) => status === 200);
  });
}

async function measureLatency(fleet: Fleet, seed: number) {
  const { manifest } = fleet.plan;
  const common = {
    routers: fleet.addresses,
    key: manifest.workspaces[0]!.key,
    seed,
    pairs: LATENCY_PAIRS,
    rate: LATENCY_REQUESTS_PER_SECOND,
  };
  const path = manifest.services.flatMap(({ routes }) => routes)
    .find(({ method }) => method === "GET")!.path;
  const plain = await measurePlainLatency({
    ...common,
    upstreams: fleet.plainServices,
    path,
  });
  const chat = await measureChatLatency({
    ...common,
    upstreams: fleet.engines,
    model: manifest.models[0]!.name,
  });
  return { plain, chat };
}

function getLogFiles({ routers }: Fleet, directory: string): string[] {
  return routers.map(({ name }) => join(directory, `${name}.1.log`));
}

function getAdmissions(placed: readonly PlacedLine[]): AdmissionFigures {
  const byReason: Record<string, number> = {};
  for (const { reason } of placed) {
    byReason[reason] = (byReason[reason] ?? 0) + 1;
  }
  const ratios = placed.map(({ inFlight, limit }) => inFlight / limit);
  const waits = placed.map(({ waitedMs }) => waitedMs)
    .sort((left, right) => left - right);
  return {
    admissions: placed.length,
    aboveLimit: ratios.filter((ratio) => ratio > 1).length,
    worstOfLimit: Math.max(0, ...ratios),
    byReason,
    waitedP99Ms: waits[Math.ceil(0.99 * waits.length) - 1] ?? 0,
  };
}

function getDomainFigures(
  fleet: Fleet,
  { placed, domain }: { placed: readonly PlacedLine[]; domain: DomainTimes },
): DomainFigures {
  const name = getDomainOut(fleet.plan.manifest);
  const upstreams = new Set(
    fleet.upstreams.filter(({ upstream }) => upstream.failureDomain === name)
      .map((member) => member.name),
  );
  const domainLines = placed.filter(({ upstream }) => upstreams.has(upstream));
  const whileOut = domainLines.filter(({ at }) =>
    at >= domain.out && at < domain.back
  );
  const firstAfterReturn = domainLines.find(({ at }) => at >= domain.back);
  const last = whileOut.at(-1);
  return {
    name,
    admissionsWhileOut: whileOut.length,
    lastNewWorkMs: last === undefined ? 0 : last.at - domain.out,
    firstAfterReturnMs: firstAfterReturn && firstAfterReturn.at - domain.back,
  };
}
