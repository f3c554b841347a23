import { type Hash, loadHash } from "./rendezvous.ts";
import { listHolders, StreamOrigins } from "./stream_origins.ts";

let hash: Hash;
beforeAll(async () => {
  hash = await loadHash();
});

const STREAM = {
  key: "stream",
  service: "engine",
  softwareVersion: "v1",
  remainingMs: 1_000,
};

function listRouters(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `router-${index}`);
}

test("a stream is remembered for its time, and for ten minutes at most", () => {
  const origins = new StreamOrigins();
  origins.record(STREAM, 0);
  expect(origins.find("stream", 400)).toEqual({ ...STREAM, remainingMs: 600 });
  expect(origins.find("stream", 1_000)).toBeUndefined();
  expect(origins.find("other", 400)).toBeUndefined();
  origins.record({ ...STREAM, remainingMs: 1e9 }, 0);
  expect(origins.find("stream", 600_000)).toBeUndefined();
});

test("the last record of a stream counts", () => {
  const origins = new StreamOrigins();
  origins.record(STREAM, 0);
  origins.record({ ...STREAM, softwareVersion: "v2" }, 10);
  expect(origins.find("stream", 20)?.softwareVersion).toBe("v2");
});

// Guards against routers that fill their memory with streams.
test("remembers a bounded number of streams, and the newest ones", () => {
  const origins = new StreamOrigins();
  for (let each = 0; each < 30_000; each++) {
    origins.record({ ...STREAM, key: `stream-${each}` }, each / 100);
  }
  expect(origins.size).toBe(20_000);
  expect(origins.find("stream-29999", 301)).toBeDefined();
  origins.record(STREAM, 10_000);
  expect(origins.size).toBe(1);
});

// Pattern: a router ends, and its callers come to any other router.
test("every router names the same holders, and mostly so when routers end", () => {
  const routers = listRouters(195);
  for (let each = 0; each < 50; each++) {
    const key = `stream-${each}`;
    const [first] = routers;
    const told = listHolders(key, { self: first!, routers, hash });
    expect(told).toHaveLength(5);
    for (const self of routers.slice(1)) {
      const left = routers.filter((name) => name !== first);
      const asked = listHolders(key, { self, routers: left, hash });
      const known = told.includes(self) || asked.some((x) => told.includes(x));
      expect(known).toBe(true);
    }
  }
});

test("all other routers of a small fleet are told", () => {
  const routers = listRouters(6);
  expect(listHolders("stream", { self: "router-0", routers, hash }))
    .toEqual(routers.slice(1));
  expect(listHolders("stream", { self: "new", routers: [], hash })).toEqual([]);
});
