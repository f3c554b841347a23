/**
 * Waits until the routers have a version of the configuration in force.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { RouterClient, RouterFailure } from "./router_client.ts";

/** Which routers have a configuration version in force. */
export interface Rollout {
  readonly version: number;
  /** Names of the routers that have it in force. */
  readonly inForce: readonly string[];
  /** Routers that answered and have an older version in force. */
  readonly behind: readonly { readonly name: string; version: number }[];
  /** Routers without a usable response. */
  readonly unreachable: readonly RouterFailure[];
}

/** Options of `waitForRollout`. */
export interface RolloutOptions {
  readonly client: RouterClient;
  /** Addresses at which the routers serve callers. */
  readonly routers: readonly string[];
  readonly version: number;
  /** Maximum wait, in milliseconds. */
  readonly timeoutMs?: number;
  /** Delay between two rounds of requests, in milliseconds. */
  readonly intervalMs?: number;
}

const DEFAULT_TIMEOUT_MS = 13_000;
const DEFAULT_POLL_INTERVAL_MS = 250;
/** Rounds before the wait may end without the routers that don't respond. */
const MIN_ROUNDS = 3;

/**
 * Waits until every reachable router has `version` in force, or until the
 * timeout.
 */
export async function waitForRollout(
  {
    client,
    routers,
    version,
    timeoutMs = DEFAULT_TIMEOUT_MS,
    intervalMs = DEFAULT_POLL_INTERVAL_MS,
  }: RolloutOptions,
): Promise<Rollout> {
  const deadlineMs = performance.now() + timeoutMs;
  const inForce: string[] = [];
  let pending = [...routers];
  for (let round = 1;; round++) {
    const answers = await requestStatuses(client, pending);
    const rollout = classifyAnswers(answers, { version, inForce });
    pending = rollout.pending;
    const isSettled = rollout.behind.length === 0 &&
      (pending.length === 0 || round >= MIN_ROUNDS);
    if (isSettled || performance.now() + intervalMs >= deadlineMs) {
      const { behind, unreachable } = rollout;
      return { version, inForce, behind, unreachable };
    }
    await sleep(intervalMs);
  }
}

function requestStatuses(client: RouterClient, addresses: readonly string[]) {
  return Promise.all(addresses.map(async (address) => ({
    address,
    status: await client.getStatus(address),
  })));
}

function classifyAnswers(
  answers: Awaited<ReturnType<typeof requestStatuses>>,
  { version, inForce }: { version: number; inForce: string[] },
) {
  const behind: { name: string; version: number }[] = [];
  const unreachable: RouterFailure[] = [];
  const pending: string[] = [];
  for (const { address, status } of answers) {
    if (status.ok && status.val.version >= version) {
      inForce.push(status.val.name);
      continue;
    }
    pending.push(address);
    if (status.err) unreachable.push(status.val);
    else behind.push({ name: status.val.name, version: status.val.version });
  }
  return { behind, unreachable, pending };
}
