/**
 * Replicates the chat directories of a pool between its replicas: sends local
 * changes to the other replicas and applies the changes that they send.
 *
 * The notification `chats` has the parameters `[pool, names, rows]`. Lost
 * changes aren't sent again: the only effect is that a chat misses its cache
 * after the next change of owner.
 */
import {
  encodeChanges,
  tryDecodeChanges,
} from "../policy/directory_changes.ts";
import type { PeersController } from "./peers_controller.ts";
import type { PoolController } from "./pool_controller.ts";
import type { PoolsController } from "./pools_controller.ts";

/** Options of `createDirectoriesController`. */
export interface DirectoriesOptions {
  readonly pools: Pick<PoolsController, "list" | "getController">;
  readonly peers: Pick<PeersController, "notify">;
  /** Time between two sends, in milliseconds. */
  readonly intervalMs?: number;
}

/** Replicates the directories of this router's pools. */
export interface DirectoriesController {
  open(): void;
  /** Applies the parameters of a `chats` notification; ignores invalid ones. */
  receive(params: unknown): void;
  /** Sends the changes since the last call to the other replicas. */
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

/** Creates the controller; `open` starts its timer. */
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
      pools.getController(pool)?.receiveChanges(changes);
    },
    send,
    close() {
      clearInterval(timer);
    },
  };
}
