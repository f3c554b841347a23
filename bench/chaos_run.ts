/** Runs a fleet under load and faults. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ChaosEvent, ChaosTargets } from "../testing/chaos_schedule.ts";
import type { Fleet } from "../testing/fleet.ts";
import type { ChaosEvidence, UnsuccessfulResponse } from "./chaos_evidence.ts";
import { FaultInjector } from "./chaos_faults.ts";
import { readRouterLogs } from "./chaos_logs.ts";
import type { Exchange } from "./load/exchange.ts";
import type { Outcome } from "./load/outcome.ts";
import type { LoadReport } from "./load/report.ts";
import { type LoadOptions, runLoad } from "./load/run_load.ts";

/** Options of a chaos run. */
export interface ChaosRunOptions {
  readonly fleet: Fleet;
  /** Directory of the fleet's logs. */
  readonly directory: string;
  readonly schedule: readonly ChaosEvent[];
  readonly seed: number;
  readonly durationMs: number;
  /** Chat requests per second; 30 by default. */
  readonly rate?: number;
  /** Bookings per second; 5 by default. */
  readonly bookingRate?: number;
  /** Duration of the load after the faults; 5 by default. */
  readonly recoverySeconds?: number;
  /** Called at the scheduled start of each fault. */
  onEvent?(event: ChaosEvent): void;
}

const CHAT_COUNT = 60;
const MS_PER_SECOND = 1_000;
/** Lets upstreams that the last faults affected finish their cold start. */
const SETTLE_MS = 8_000;
const HISTORY_LIMIT = 1_000;

/** Gets the names of all parts of a fleet into which faults are injected. */
export function getChaosTargets(fleet: Fleet): ChaosTargets {
  const { engines, upstreams, routers } = fleet;
  const { failureDomains } = fleet.plan.manifest;
  return {
    routers: routers.map(({ name }) => name),
    engines: engines.map(({ name }) => name),
    upstreams: upstreams.map(({ name }) => name),
    failureDomains: failureDomains.map(({ name }) => name),
    hosts: engines.map(({ upstream }) => upstream.host),
  };
}

/**
 * Runs load with faults, then load without faults, and stops the fleet.
 *
 * @returns the data that the verdict is based on
 */
export async function runChaos(
  options: ChaosRunOptions,
): Promise<ChaosEvidence> {
  const { fleet, schedule, durationMs, seed, onEvent } = options;
  const answers: UnsuccessfulResponse[] = [];
  const injector = new FaultInjector(fleet);
  const loadOptions = createLoadOptions(options, answers);
  const [load] = await Promise.all([
    runLoad({ ...loadOptions, seed, seconds: durationMs / MS_PER_SECOND }),
    injector.run(schedule, onEvent),
  ]);
  const recovery = await runRecoveryLoad(options, {
    ...loadOptions,
    seed: seed + 1,
  });
  for (const member of fleet.upstreams) await injector.recordUpstream(member);
  const views = await fleet.getRouterStates();
  const history = await fleet.operator.getHistory(HISTORY_LIMIT);
  await injector.close();
  const { failed } = await fleet.stopAll();
  const lastStops = Object.entries(failed)
    .map(([router, exitCode]) => ({ router, exitCode }));
  const names = fleet.routers.map(({ name }) => name);
  return {
    load,
    recovery,
    answers,
    windows: injector.windows,
    upstreams: injector.records,
    upstreamsByGroup: groupUpstreams(fleet),
    logs: readRouterLogs(options.directory, names),
    accepted: injector.accepted,
    history,
    conflictingCommits: injector.conflictingCommits,
    versions: new Map(
      names.map((name, index) => [name, views[index]!.version]),
    ),
    stops: [...injector.stops, ...lastStops],
  };
}

function createLoadOptions(
  { fleet, rate = 30, bookingRate = 5 }: ChaosRunOptions,
  answers: UnsuccessfulResponse[],
): LoadOptions {
  const { workspaces, models } = fleet.plan.manifest;
  const routers = new Map(
    fleet.routers.map(({ name, address }) => [address, name]),
  );
  return {
    routers: fleet.addresses,
    keys: workspaces.map(({ key }) => key),
    model: models[0]!.name,
    rate,
    chats: CHAT_COUNT,
    bookingRate,
    plainServices: fleet.plainServices.map(({ address }) => address),
    onOutcome(exchange, outcome) {
      if (outcome.kind === "whole") return;
      const router = routers.get(exchange.router.address) ?? "";
      answers.push(createResponseRecord(exchange, { outcome, router }));
    },
  };
}

function createResponseRecord(
  { headers, totalMs }: Exchange,
  { outcome, router }: {
    outcome: Exclude<Outcome, { kind: "whole" }>;
    router: string;
  },
): UnsuccessfulResponse {
  const toMs = Date.now();
  return {
    router,
    upstream: headers["x-upstream"],
    requestId: headers["x-request-id"],
    outcome,
    fromMs: toMs - totalMs,
    toMs,
  };
}

async function runRecoveryLoad(
  { fleet, recoverySeconds = 5 }: ChaosRunOptions,
  options: LoadOptions,
): Promise<LoadReport> {
  await fleet.waitForVersion(await fleet.operator.getVersion());
  await sleep(SETTLE_MS);
  await fleet.waitUntilServing();
  return await runLoad({ ...options, seconds: recoverySeconds });
}

/** Groups the upstream names by failure domain and by host. */
function groupUpstreams({ upstreams }: Fleet): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const { name, upstream } of upstreams) {
    for (const group of [upstream.failureDomain, upstream.host]) {
      groups.set(group, [...groups.get(group) ?? [], name]);
    }
  }
  return groups;
}
