/** Streams whose version was in doubt at first and is known since. */
import { type Hash, loadHash } from "../policy/rendezvous.ts";
import { StreamOrigins } from "../policy/stream_origins.ts";
import { StreamExchange } from "./stream_exchange.ts";
import { parsePeerMessage } from "./peer_messages.ts";

const SETTLED = {
  key: "stream",
  service: "engine",
  softwareVersion: "v1",
  spanMs: 10_000,
};
const UNSETTLED = {
  ...SETTLED,
  softwareVersion: "(unsettled)",
  unproven: { upstream: "up", bornAt: 7, softwareVersion: "v1" },
};
let hash: Hash;
beforeAll(async () => {
  hash = await loadHash();
});

function createFleet(count: number) {
  const names = Array.from({ length: count }, (_, each) => `router-${each}`);
  const down = new Set<string>();
  const routers = new Map<string, StreamExchange>();
  for (const self of names) {
    routers.set(
      self,
      new StreamExchange({
        self,
        hash,
        clock: () => 0,
        listRouters: () => names,
        send: (message, router) => {
          if (down.has(router)) return;
          const parsed = parsePeerMessage(Buffer.from(JSON.stringify(message)));
          routers.get(router)!.receive(parsed as never);
        },
        findVersions: () => ({ kind: "several" }),
        getViewAgeMs: () => 100,
        confirmView: () => Promise.resolve(true),
      }),
    );
  }
  return { routers, down };
}

const QUESTION = { service: "engine", spanMs: 10_000 };

// Guards against a router that has missed the one message by which a doubt ended,
// and refuses a stream that all others know (the process has ended since).
test("a settled version that other holders know counts more than an old doubt", async () => {
  const { routers, down } = createFleet(4);
  routers.get("router-0")!.recordStart(UNSETTLED);
  down.add("router-1");
  routers.get("router-0")!.recordStart(SETTLED);
  down.delete("router-1");
  down.add("router-0");
  expect(await routers.get("router-1")!.find("stream", QUESTION))
    .toMatchObject({ softwareVersion: "v1" });
});

// Guards against a router that was out of step and tells a doubt again which the
// router that has taken up the stream has settled.
test("a doubt does not replace a version that is known", () => {
  const origins = new StreamOrigins();
  origins.record({ ...SETTLED, remainingMs: 1_000 }, 0);
  origins.record({ ...UNSETTLED, remainingMs: 1_000 }, 0);
  expect(origins.find("stream", 0)).toMatchObject({ softwareVersion: "v1" });
});
