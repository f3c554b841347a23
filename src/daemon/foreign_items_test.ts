/**
 * Items of other programs in the metadata store, beside those of a fleet, and a
 * router in a process of its own that reads them. Needs a build.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { LimitedRouter } from "./testing/limited_router.ts";
import {
  API_KEY,
  LocalIngress,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

/** The memory that sites of the default size grant a router, in MB. */
const MEMORY_MB = 350;
/** Longest value that the store takes, in bytes. */
const VALUE_BYTES = 1_048_576;
/** The users' bound on the time until a router serves again. */
const RECOVERY_MS = 12_000;
/** The users' bound on the use of keys that were taken away. */
const REVOCATION_MS = 5_000;
const UNREADABLE = "\u0000".repeat(VALUE_BYTES);
const PAGE_ITEMS = 500;

let fleet: LocalIngress;
let router: LimitedRouter;
let count = 0;

beforeEach(async () => {
  fleet = await new LocalIngress().start({
    bounds: { graceS: 1, retrySlack: 500, revocationMs: REVOCATION_MS },
    memoryMb: MEMORY_MB,
    startDaemon: async (settings) => {
      router = new LimitedRouter(settings);
      await router.untilStarted();
      return router;
    },
  });
  fleet.store.pageItems = PAGE_ITEMS;
  fleet.script((request) => sendCompleteResponse(request));
});

afterEach(async () => {
  await fleet.close();
});

async function ask(key = API_KEY): Promise<number> {
  const request = { id: `foreign-items-${++count}`, key, deadlineMs: 1_500 };
  const answer = await fleet.ask(request).catch(() => undefined);
  return answer?.isComplete ? answer.status : 0;
}

async function until(isTrue: () => Promise<boolean>): Promise<void> {
  const deadlineMs = performance.now() + RECOVERY_MS;
  while (!await isTrue()) {
    if (performance.now() > deadlineMs) {
      throw new Error(`not within ${RECOVERY_MS} ms: ${router.lines.at(-2)}`);
    }
    await sleep(50);
  }
}

/** Adds an upstream in place of the others; resolves once it is used. */
async function untilFollowed(): Promise<void> {
  for (const key of fleet.store.keys("servers/up-")) fleet.store.remove(key);
  const fresh = await fleet.addUpstream(`zz-${++count}`);
  fresh.script = (request) => sendCompleteResponse(request);
  fleet.putUpstream(fresh);
  await until(async () => await ask() === 200 && fresh.arrived.length > 0);
}

function putMany(
  prefix: string,
  { items, value }: { items: number; value: (index: number) => unknown },
): void {
  for (let index = 0; index < items; index++) {
    fleet.store.put(`${prefix}a-${index}`, value(index));
  }
}

async function readMetrics(): Promise<string> {
  const response = await fetch(`http://${fleet.settings.listen.metrics}/`);
  return await response.text();
}

function createEntry(service: string): object {
  return {
    service,
    address: "127.0.0.1:9",
    zone: "west",
    version: "v1",
    slots: 4,
    state: "ready",
    coldLeftMs: 0,
    seq: 1,
  };
}

const FOREIGN_ITEMS = [
  {
    name: "12 long values below servers/",
    put: () => putMany("servers/", { items: 12, value: () => UNREADABLE }),
  },
  {
    name: "120 long values below another key",
    put: () => putMany("dump/", { items: 120, value: () => UNREADABLE }),
  },
  {
    name: "40,000 unreadable entries",
    put: () => putMany("servers/", { items: 40_000, value: () => "?" }),
  },
  {
    name: "40,000 entries of services that no route names",
    put: () =>
      putMany("servers/", {
        items: 40_000,
        value: (index) => createEntry(`other-${index}`),
      }),
  },
  {
    name: "400 versions of 60 KB of services that no route names",
    put: () =>
      putMany("corianderflow/versions/", {
        items: 400,
        value: () => ({
          versions: Array.from({ length: 400 }, (_, index) => ({
            version: `${index}`.padStart(130, "v"),
          })),
        }),
      }),
  },
];

// Guards against items of no use that keep a router from its state: they used up
// the number of items or bytes that it reads of the store.
describe.each(FOREIGN_ITEMS)("beside $name", ({ put }) => {
  test("a router starts and serves", async () => {
    put();
    await fleet.restart();
    await untilFollowed();
    expect(router.peakMb).toBeLessThan(MEMORY_MB);
  }, 60_000);

  test("a running router follows changes", async () => {
    put();
    await untilFollowed();
    expect(router.peakMb).toBeLessThan(MEMORY_MB);
    expect(router.lines.join("\n")).not.toContain("store is lost");
  }, 60_000);

  test("a running router follows changes after a lost history", async () => {
    fleet.store.faults.refusalStatus = 503;
    put();
    fleet.store.compact();
    fleet.store.faults.refusalStatus = undefined;
    await untilFollowed();
    expect(router.peakMb).toBeLessThan(MEMORY_MB);
  }, 60_000);
});

// Guards against writes of other programs that have each router write a record
// for each of their services.
test("services that no route names get no records", async () => {
  putMany("servers/", {
    items: 100,
    value: (index) => createEntry(`other-${index}`),
  });
  await untilFollowed();
  await sleep(2_000);
  expect(fleet.store.keys("corianderflow/versions/"))
    .toEqual(["corianderflow/versions/svc"]);
});

describe("beside 40,000 entries of a service that a route names", () => {
  beforeEach(async () => {
    fleet.putConfiguration({ keys: [API_KEY, "key-to-revoke"] });
    await until(async () => await ask("key-to-revoke") === 200);
    fleet.store.faults.refusalStatus = 503;
    putMany("servers/", { items: 40_000, value: () => createEntry("svc") });
    fleet.store.compact();
    fleet.store.faults.refusalStatus = undefined;
  });

  // Guards against a store that is more than a router can hold and takes away the
  // state that it has, or the means to revoke keys.
  test("a running router keeps its state and revokes keys", async () => {
    await until(() =>
      Promise.resolve(router.lines.join("\n").includes("exceeds the room"))
    );
    fleet.putConfiguration();
    await sleep(REVOCATION_MS);
    expect(await ask("key-to-revoke")).toBe(401);
    const statuses: number[] = [];
    for (let each = 0; each < 40; each++) {
      statuses.push(await ask());
      await sleep(100);
    }
    expect(statuses).toEqual(Array(40).fill(200));
    expect(router.peakMb).toBeLessThan(MEMORY_MB);
    expect(await readMetrics()).toContain("corianderflow_store_view_partial 1");
    for (const key of fleet.store.keys("servers/a-")) fleet.store.remove(key);
    await until(async () =>
      (await readMetrics()).includes("corianderflow_store_view_partial 0")
    );
  }, 60_000);

  // Guards against a router that gets no configuration, which is one item.
  test("a router starts with the configuration", async () => {
    await fleet.restart();
    expect(await ask("key-to-revoke-2")).toBe(401);
    await untilFollowed();
  }, 60_000);
});
