/** Runs the load, the churn, the failure domain's outage and the sampling. */
import { performance } from "node:perf_hooks";
import type { UpstreamMember } from "../testing/fleet_member.ts";
import type { Manifest } from "../src/config/manifest.ts";
import { runLoad } from "./load/run_load.ts";
import { runChurn, sleepUntil } from "./measure_churn.ts";
import type { Schedule } from "./measure_phases.ts";
import { RecordingBalancer } from "./measure_recorder.ts";
import {
  type FallFigures,
  type RunFigures,
  summarisePhase,
} from "./measure_run.ts";
import { sampleSkew, summariseSkew } from "./measure_skew.ts";
import { createLoadOptions, type Deployment } from "./measure_workload.ts";

/** Takes a failure domain out or brings it back in. */
export type FailureDomainSetter = (
  name: string,
  state: "in" | "out",
) => Promise<unknown>;

/** Options of `runMeasurement`. */
export interface MeasurementOptions {
  readonly router: string;
  readonly deployment: Deployment;
  readonly manifest: Manifest;
  readonly routers: readonly string[];
  readonly upstreams: readonly UpstreamMember[];
  readonly schedule: Schedule;
  readonly seed: number;
  /** Absent for a router that does not support failure domains. */
  readonly setFailureDomain?: FailureDomainSetter;
  /** Called at the start and at the end of the steady phase. */
  onSteady?(edge: "start" | "end"): Promise<void>;
}

const TAKE_OUT_AFTER_S = 1;
const BRING_BACK_BEFORE_S = 3;

/** Runs the load through `routers` and returns its figures by phase. */
export async function runMeasurement(
  options: MeasurementOptions,
): Promise<RunFigures> {
  const { schedule, upstreams, routers, manifest, deployment } = options;
  const engines = upstreams.filter(({ kind }) => kind === "engine");
  const plain = upstreams.filter(({ kind }) => kind === "plain");
  const lastPhase = options.setFailureDomain ? schedule.domain : schedule.churn;
  const balancer = new RecordingBalancer({ routers });
  const started = performance.now();
  const samplingController = new AbortController();
  const samples = sampleSkew(engines.map(({ address }) => address), {
    started,
    signal: samplingController.signal,
  });
  const [load] = await Promise.all([
    runLoad({
      ...createLoadOptions(deployment, {
        manifest,
        schedule,
        seconds: lastPhase.to,
        seed: options.seed,
      }),
      routers,
      balancer,
      plainServices: plain.map(({ address }) => address),
    }),
    runChurn(engines, { schedule, started }),
    cycleFailureDomain(options, started),
    notifySteadyEdges(options, started),
  ]);
  samplingController.abort();
  const skewSamples = await samples;
  await balancer.close();
  const { exchanges } = balancer;
  const phase = { timeline: load.timeline, exchanges, started };
  const steadySamples = skewSamples.filter(({ atMs }) =>
    atMs >= schedule.steady.from * 1_000 && atMs < schedule.steady.to * 1_000
  );
  return {
    router: options.router,
    warm: summarisePhase(schedule.warm, phase),
    steady: summarisePhase(schedule.steady, phase),
    churn: summarisePhase(schedule.churn, phase),
    domain: options.setFailureDomain
      ? summarisePhase(schedule.domain, phase)
      : undefined,
    skew: summariseSkew(steadySamples, {
      loadFactor: getLoadFactor(manifest),
    }),
    skewSamples,
    falls: await countFalls(engines),
    load,
  };
}

/** Returns the load factor of the engines' service. */
export function getLoadFactor({ services }: Manifest): number {
  return services.find(({ kind }) => kind === "engine")!.loadFactor;
}

/** Returns the failure domain to take out: the last one of the manifest. */
export function getDomainOut({ failureDomains }: Manifest): string {
  return failureDomains.at(-1)!.name;
}

async function cycleFailureDomain(
  { setFailureDomain, schedule, manifest }: MeasurementOptions,
  started: number,
): Promise<void> {
  if (setFailureDomain === undefined) return;
  const { from, to } = schedule.domain;
  await sleepUntil(from + TAKE_OUT_AFTER_S, started);
  await setFailureDomain(getDomainOut(manifest), "out");
  await sleepUntil(to - BRING_BACK_BEFORE_S, started);
  await setFailureDomain(getDomainOut(manifest), "in");
}

async function notifySteadyEdges(
  { onSteady, schedule }: MeasurementOptions,
  started: number,
): Promise<void> {
  if (onSteady === undefined) return;
  await sleepUntil(schedule.steady.from, started);
  await onSteady("start");
  await sleepUntil(schedule.steady.to, started);
  await onSteady("end");
}

async function countFalls(
  engines: readonly UpstreamMember[],
): Promise<FallFigures> {
  const reasons: Record<string, number> = {};
  let falls = 0;
  for (const engine of engines) {
    const { fallLog } = await engine.getRecord();
    falls += fallLog.length;
    for (const { reason } of fallLog) {
      reasons[reason] = (reasons[reason] ?? 0) + 1;
    }
  }
  return { falls, reasons };
}
