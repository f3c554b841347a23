import type { ChatChange } from "../policy/directory_changes.ts";
import { createDirectoriesController } from "./directories_controller.ts";
import type { PoolController } from "./pool_controller.ts";

const CHANGES: ChatChange[] = [
  { chat: { hi: 1, lo: 2 }, upstream: "u1", tokens: 30 },
  { chat: { hi: 3, lo: 4 }, upstream: "u2", tokens: 50 },
];

/** Creates a pool that sends `changes` once and records received changes. */
function createPool(changes: readonly ChatChange[]) {
  let pending = changes;
  const recorded: ChatChange[] = [];
  const pool: Partial<PoolController> = {
    id: "assistant/0",
    peers: () => ["r2", "r3"],
    takeChanges: () => {
      const taken = pending;
      pending = [];
      return Promise.resolve(taken);
    },
    receiveChanges: (received) => void recorded.push(...received),
  };
  return { pool: pool as PoolController, recorded };
}

function createRouter(pool: PoolController) {
  const sent: { peer: string; params: unknown }[] = [];
  const controller = createDirectoriesController({
    pools: {
      list: () => [pool],
      getController: (id) => id === pool.id ? pool : undefined,
    },
    peers: { notify: (peer, _method, params) => sent.push({ peer, params }) },
  });
  return { controller, sent };
}

test("sends each change once, unmodified, to the other replicas", async () => {
  const { controller, sent } = createRouter(createPool(CHANGES).pool);
  await controller.send();
  await controller.send();
  expect(sent.map(({ peer }) => peer)).toEqual(["r2", "r3"]);
  const other = createPool([]);
  createRouter(other.pool).controller
    .receive(JSON.parse(JSON.stringify(sent[0]!.params)));
  expect(other.recorded).toEqual(CHANGES);
});

test.each([
  ["undefined", undefined],
  ["a notification for an unknown pool", ["booking/0", ["u1"], ""]],
  ["a notification with truncated rows", ["assistant/0", ["u1"], "AAAA"]],
  ["a notification whose names are no array", ["assistant/0", "u1", ""]],
])("%s changes no directory", (_name, params) => {
  const { pool, recorded } = createPool([]);
  createRouter(pool).controller.receive(params);
  expect(recorded).toEqual([]);
});
