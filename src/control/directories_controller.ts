/**
 * Controller that keeps the chat directories of a pool's replicas alike: sends
 * changes to the other replicas and takes theirs over.
 *
 * The notification `chats` has the parameters `[pool, names, rows]`. A change
 * that is lost costs a chat its cache at the next change of owner, no more.
 */
import {
  encodeChanges,
  tryDecodeChanges,
} from "../policy/directory_changes.ts";
import type { PeersController } from "./peers_controller.ts";
import type { PoolController } from "./pool_controller.ts";
import type { PoolsController } from "./pools_controller.ts";

/** Options of the controller. */
export interface DirectoriesOptions {
  readonly pools: Pick<PoolsController, "list" | "getController">;
  readonly peers: Pick<PeersController, "notify">;
  readonly intervalMs?: number;
}

/** Spreads the directories of this router's pools. */
export interface DirectoriesController {
  open(): void;
  /** Takes the parameters of a notification over. */
  receive(params: unknown): void;
  /** Sends what has changed to the other replicas. */
  send(): Promise<void>;
  close(): void;
}

const INTERVAL_MS = 1_000;

type WireChanges = readonly [
  pool: string,
  names: readonly string[],
  rows: string,
];

function isWireChanges(params: unknown): params is WireChanges {
  if (!Array.isArray(params) || params.length !== 3) return false;
  const [pool, names, rows] = params as unknown[];
  return typeof pool === "string" && Array.isArray(names) &&
    typeof rows === "string";
}

/** Creates the controller; `open` starts it. */
export function createDirectoriesController(
  { pools, peers, intervalMs = INTERVAL_MS }: DirectoriesOptions,
): DirectoriesController {
  let timer: NodeJS.Timeout | undefined;

  async function sendPool(pool: PoolController): Promise<void> {
    const changes = await pool.takeChanges();
    if (changes.length === 0) return;
    const { names, rows } = encodeChanges(changes);
    const params: WireChanges = [pool.id, names, rows];
    for (const peer of pool.peers()) peers.notify(peer, "chats", params);
  }

  async function send(): Promise<void> {
    await Promise.all(pools.list().map(sendPool));
  }

  return {
    open() {
      timer = setInterval(() => void send(), intervalMs);
    },
    receive(params) {
      if (!isWireChanges(params)) return;
      const [pool, names, rows] = params;
      const changes = tryDecodeChanges({ names, rows });
      if (changes === undefined) return;
      pools.getController(pool)?.noteChanges(changes);
    },
    send,
    close() {
      clearInterval(timer);
    },
  };
}
