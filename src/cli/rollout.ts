/**
 * Waits until the routers have a version of the configuration in force.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { RouterClient, RouterFailure } from "./router_client.ts";

/** How far a version has come. */
export interface Rollout {
  readonly version: number;
  /** Names of the routers that have it in force. */
  readonly inForce: readonly string[];
  /** Routers that answer and have an older version in force. */
  readonly behind: readonly { readonly name: string; version: number }[];
  /** Routers that gave no usable answer. */
  readonly unreachable: readonly RouterFailure[];
}

/** Options of the wait. */
export interface RolloutOptions {
  readonly client: RouterClient;
  /** Caller addresses of the routers. */
  readonly routers: readonly string[];
  readonly version: number;
  /** Longest wait, in milliseconds. */
  readonly timeoutMs?: number;
  /** Pause between two rounds of questions, in milliseconds. */
  readonly intervalMs?: number;
}

const TIMEOUT_MS = 13_000;
const INTERVAL_MS = 250;
/** Rounds in which a router may answer before it counts as unreachable. */
const MIN_ROUNDS = 3;

/** Waits until every router that can be reached has `version` in force. */
export async function waitForRollout(
  {
    client,
    routers,
    version,
    timeoutMs = TIMEOUT_MS,
    intervalMs = INTERVAL_MS,
  }: RolloutOptions,
): Promise<Rollout> {
  const end = performance.now() + timeoutMs;
  const inForce: string[] = [];
  let open = [...routers];
  for (let round = 1;; round++) {
    const answers = await askRouters(client, open);
    const rollout = sortAnswers(answers, { version, inForce });
    open = rollout.open;
    const isSettled = rollout.behind.length === 0 &&
      (open.length === 0 || round >= MIN_ROUNDS);
    if (isSettled || performance.now() + intervalMs >= end) {
      const { behind, unreachable } = rollout;
      return { version, inForce, behind, unreachable };
    }
    await sleep(intervalMs);
  }
}

function askRouters(client: RouterClient, addresses: readonly string[]) {
  return Promise.all(addresses.map(async (address) => ({
    address,
    status: await client.getStatus(address),
  })));
}

function sortAnswers(
  answers: Awaited<ReturnType<typeof askRouters>>,
  { version, inForce }: { version: number; inForce: string[] },
) {
  const behind: { name: string; version: number }[] = [];
  const unreachable: RouterFailure[] = [];
  const open: string[] = [];
  for (const { address, status } of answers) {
    if (status.ok && status.val.version >= version) {
      inForce.push(status.val.name);
      continue;
    }
    open.push(address);
    if (status.err) unreachable.push(status.val);
    else behind.push({ name: status.val.name, version: status.val.version });
  }
  return { behind, unreachable, open };
}
