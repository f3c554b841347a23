/** Tests of what counts as the end of an upstream under a request. */
import { createLogFactory } from "../log.ts";
import { loadHash } from "../policy/rendezvous.ts";
import { CrashWatch } from "./crash_watch.ts";

const ENTRY = {
  id: "up-1",
  service: "engine",
  address: "127.0.0.1:1",
  failureDomain: "east",
  slots: 1,
  state: "ready",
  coldLeftMs: 0,
  bornAt: 1,
} as const;
const LOST = {
  requestId: "id-1",
  subjects: { workspace: "w", parts: ["p-1", "p-2"], getDigest: () => "d" },
  entry: ENTRY,
  sentAt: 0,
};

async function createWatch({ areOthersLost }: { areOthersLost: boolean }) {
  let isDown = false;
  return new CrashWatch({
    hash: await loadHash(),
    clock: () => 100,
    random: () => 0.5,
    connections: { isRefusing: () => Promise.resolve(true) },
    links: {
      check: () => {
        isDown = areOthersLost;
        return Promise.resolve();
      },
      isDown: () => isDown,
    },
    log: createLogFactory({ router: "r", level: "error", write: () => {} })(
      "route",
    ),
  });
}

test("an upstream that alone refuses connections has ended", async () => {
  const watch = await createWatch({ areOthersLost: false });
  expect(await watch.recordLost(LOST)).toBe(true);
  expect(watch.createReports()).not.toEqual([]);
});

// Guards against requests that are refused everywhere as crashing upstreams,
// because one router lost its links to all of them.
test("upstreams that refuse connections together have not ended", async () => {
  const watch = await createWatch({ areOthersLost: true });
  expect(await watch.recordLost(LOST)).toBe(false);
  expect(await watch.recordLost({ ...LOST, requestId: "id-2" })).toBe(false);
  expect(watch.createReports()).toEqual([]);
});
