/** Measures one baseline policy on newly started upstreams. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { UpstreamMember } from "../testing/fleet_member.ts";
import { call } from "../testing/fleet_http.ts";
import { createFleetPlan, type FleetPlan } from "../testing/fleet_plan.ts";
import { findPortBase } from "../testing/fleet_ports.ts";
import { Processes } from "../testing/processes.ts";
import type { BaselineName } from "./baselines_policy.ts";
import { type FailureDomainSetter, runMeasurement } from "./measure_drive.ts";
import type { Schedule } from "./measure_phases.ts";
import type { RunFigures } from "./measure_run.ts";
import type { Deployment } from "./measure_workload.ts";

/** Options of a run of a baseline policy. */
export interface BaselineRunOptions {
  readonly name: BaselineName;
  readonly deployment: Deployment;
  readonly schedule: Schedule;
  readonly seed: number;
  readonly directory: string;
  /** Index among concurrent runs, which use separate port ranges. */
  readonly slot?: number;
}

const SCRIPT_DIRECTORY = "dist";
const COLD_START_MS = 2_500;
const STOP_GRACE_MS = 2_000;
const PORTS_PER_SLOT = 64;
const MAX_SLOTS = 2;

/** Starts upstreams and baseline routers, runs the load and stops them. */
export async function measureBaseline(
  options: BaselineRunOptions,
): Promise<RunFigures> {
  const { deployment, name, slot = 0 } = options;
  const directory = join(options.directory, `${deployment}-${name}`);
  mkdirSync(directory, { recursive: true });
  const portBase = await findPortBase(PORTS_PER_SLOT * MAX_SLOTS) +
    slot * PORTS_PER_SLOT;
  const plan = createFleetPlan({ deployment, portBase });
  const processes = new Processes({
    logDirectory: directory,
    graceMs: STOP_GRACE_MS,
  });
  try {
    const upstreams = createUpstreams(plan, processes);
    await Promise.all(upstreams.map((upstream) => upstream.start()));
    const routers = await startRouters(options, {
      plan,
      processes,
      directory,
    });
    // The baselines do not handle cold starts, so the load starts on warm engines.
    await sleep(COLD_START_MS);
    return await runMeasurement({
      ...options,
      router: name,
      manifest: plan.manifest,
      routers,
      upstreams,
      setFailureDomain: name === "bound"
        ? createFailureDomainSetter(routers)
        : undefined,
    });
  } finally {
    await processes.stopAll();
  }
}

/** Creates the upstream processes of a plan. */
export function createUpstreams(
  { manifest }: FleetPlan,
  processes: Processes,
): UpstreamMember[] {
  return manifest.services.flatMap(({ name: service, kind, upstreams }) =>
    upstreams.map((upstream) => {
      const script = kind === "engine" ? "engine" : "plain_service";
      const { name, address, hardLimit, coldLimit } = upstream;
      const port = address.slice(address.lastIndexOf(":") + 1);
      return new UpstreamMember({
        processes,
        name,
        address,
        script: join(SCRIPT_DIRECTORY, `testing/${script}_main.js`),
        args: [
          ...["--name", name, "--port", port],
          ...["--hard-limit", String(hardLimit)],
          ...["--cold-limit", String(coldLimit)],
        ],
        service,
        kind,
        upstream,
      });
    })
  );
}

async function startRouters(
  { name }: BaselineRunOptions,
  { plan, processes, directory }: {
    plan: FleetPlan;
    processes: Processes;
    directory: string;
  },
): Promise<string[]> {
  const manifest = join(directory, "manifest.json");
  writeFileSync(manifest, JSON.stringify(plan.manifest));
  // The bound is measured with a single router that receives every request.
  const count = name === "bound" ? 1 : plan.routers.length;
  const script = join(SCRIPT_DIRECTORY, "bench/baseline_router_main.js");
  const args = ["--policy", name, "--manifest", manifest];
  const started = await Promise.all(
    Array.from(
      { length: count },
      (_, index) =>
        processes.start(script, args, { name: `router-${index + 1}` }),
    ),
  );
  return started.map(({ address }) => address);
}

function createFailureDomainSetter(
  routers: readonly string[],
): FailureDomainSetter {
  return async function setFailureDomain(name, state) {
    const failureDomainsOut = state === "out" ? [name] : [];
    await Promise.all(
      routers.map((router) =>
        call(`http://${router}/control`, { body: { failureDomainsOut } })
      ),
    );
  };
}
