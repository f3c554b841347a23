import type { ChatChange } from "../policy/directory_changes.ts";
import { createDirectoriesController } from "./directories_controller.ts";
import type { PoolController } from "./pool_controller.ts";

const CHANGES: ChatChange[] = [
  { chat: { hi: 1, lo: 2 }, upstream: "u1", tokens: 30 },
  { chat: { hi: 3, lo: 4 }, upstream: "u2", tokens: 50 },
];

/** A pool that has `changes` to send and notes what it is sent. */
function createPool(changes: readonly ChatChange[]) {
  let waiting = changes;
  const noted: ChatChange[] = [];
  const pool: Partial<PoolController> = {
    id: "assistant/0",
    peers: () => ["r2", "r3"],
    takeChanges: () => {
      const taken = waiting;
      waiting = [];
      return Promise.resolve(taken);
    },
    noteChanges: (received) => void noted.push(...received),
  };
  return { pool: pool as PoolController, noted };
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

test("changes reach the other replicas once, as they were", async () => {
  const { controller, sent } = createRouter(createPool(CHANGES).pool);
  await controller.send();
  await controller.send();
  expect(sent.map(({ peer }) => peer)).toEqual(["r2", "r3"]);
  const other = createPool([]);
  createRouter(other.pool).controller
    .receive(JSON.parse(JSON.stringify(sent[0]!.params)));
  expect(other.noted).toEqual(CHANGES);
});

test.each([
  ["nothing", undefined],
  ["another pool's changes", ["booking/0", ["u1"], ""]],
  ["rows that are torn", ["assistant/0", ["u1"], "AAAA"]],
  ["names that are none", ["assistant/0", "u1", ""]],
])("%s changes no directory", (_name, params) => {
  const { pool, noted } = createPool([]);
  createRouter(pool).controller.receive(params);
  expect(noted).toEqual([]);
});
