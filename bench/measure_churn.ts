/** Restarts and departures of upstreams during a run. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { UpstreamMember } from "../testing/fleet_member.ts";
import type { Schedule } from "./measure_phases.ts";

const MS_PER_SECOND = 1_000;
const KILL_AFTER_S = 1;
const RESTART_AFTER_S = 3;
const LEAVE_AFTER_S = 4;
const RETURN_AFTER_S = 6.5;

/** Sleeps until `second` seconds after `started`, on the monotonic clock. */
export async function sleepUntil(
  second: number,
  started: number,
): Promise<void> {
  const untilMs = started + second * MS_PER_SECOND;
  await sleep(Math.max(0, untilMs - performance.now()));
}

/** Kills and restarts the first engine; the second one leaves and returns. */
export async function runChurn(
  engines: readonly UpstreamMember[],
  { schedule, started }: { schedule: Schedule; started: number },
): Promise<void> {
  const [killed, leaving] = engines;
  const { from } = schedule.churn;
  await sleepUntil(from + KILL_AFTER_S, started);
  await killed!.kill();
  await sleepUntil(from + RESTART_AFTER_S, started);
  await killed!.start();
  await sleepUntil(from + LEAVE_AFTER_S, started);
  await leaving!.control({ leaving: true });
  await sleepUntil(from + RETURN_AFTER_S, started);
  await leaving!.control({ leaving: false });
}
