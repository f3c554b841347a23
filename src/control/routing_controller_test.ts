/** Routers after the store has returned to an older copy. */
import { Err, Ok } from "ts-results/result";
import { ProcessChecks } from "../ingress/process_check.ts";
import type { StoreChange, UpstreamEntry } from "../routing/types.ts";
import { PlatformFailure } from "../store/key_value.ts";
import type { FetchConfiguration } from "./configuration_relay.ts";
import {
  createConfiguration,
  readClocks,
  SELF,
  StubRouting,
  until,
} from "./testing/stub_routing.ts";

const COPIED_VERSION = 1;
const SILENT_MS = 300;
const NOW: UpstreamEntry = {
  id: "up",
  service: "engine",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  softwareVersion: "v2",
  bornAt: 8,
};
/** That of the process before, which has ended long ago. */
const COPIED: UpstreamEntry = { ...NOW, softwareVersion: "v1", bornAt: 7 };

let stub: StubRouting;
let era: number;
let asked: { address: string; newerThan: number | undefined }[];

beforeEach(() => {
  stub = new StubRouting();
  era = 0;
  asked = [];
});

afterEach(async () => {
  await stub.close();
});

/** Returns what the store holds: a configuration, two routers, an upstream. */
function listChanges(): StoreChange[] {
  const router = { ...SELF, kind: "router" } as const;
  return [
    {
      kind: "configuration",
      configuration: createConfiguration(COPIED_VERSION),
    },
    { ...router, name: "router-0", address: "127.0.0.1:10" },
    { ...router, name: "router-1", address: "127.0.0.1:11" },
    { kind: "upstream", entry: era === 0 ? NOW : COPIED },
  ];
}

async function start(fetchConfiguration: FetchConfiguration): Promise<void> {
  await stub.open({
    listChanges,
    getEra: () => era,
    fetchConfiguration: (address, options = {}) => {
      asked.push({ address, newerThan: options.newerThan });
      return fetchConfiguration(address, options);
    },
  });
}

function isTrusted(): boolean {
  return stub.routing.isTrustedAt(readClocks());
}

function findEntry(): UpstreamEntry | undefined {
  return stub.routing.directory.find("up")?.entry;
}

function findNewer(): ReturnType<FetchConfiguration> {
  return Promise.resolve(Ok(createConfiguration(2)));
}

// Guards against keys that were taken away and run at a router which starts
// before the operators have written again what the store has lost.
test("a configuration that the store has lost is in force at the start", async () => {
  era = 1;
  await start(findNewer);
  await until(isTrusted);
  expect(stub.version).toBe(2);
  expect(asked).toHaveLength(2);
  expect(asked).toContainEqual({ address: "127.0.0.1:10", newerThan: 1 });
});

test("the copy is in force if no router knows a newer one", async () => {
  era = 1;
  await start(() => Promise.resolve(Ok(undefined)));
  await until(isTrusted);
  expect(stub.version).toBe(COPIED_VERSION);
});

test("the copy is in force if no router answers", async () => {
  era = 1;
  const failure = new PlatformFailure("unavailable", "no answer");
  await start(() => Promise.resolve(Err(failure)));
  await until(isTrusted);
  expect(stub.version).toBe(COPIED_VERSION);
});

test("a store that never returned to a copy is believed at once", async () => {
  await start(findNewer);
  await until(isTrusted);
  expect(stub.version).toBe(COPIED_VERSION);
  expect(asked).toEqual([]);
});

// Guards against keys that were taken away and run at a router that was cut off
// from the removal: it has run since before the store returned to a copy, and
// takes its own older configuration for the newest (CONFIG).
test("a running router asks others for what the store has lost", async () => {
  await start(findNewer);
  await until(() => findEntry() !== undefined);
  era = 1;
  await until(() => findEntry()?.bornAt !== NOW.bornAt);
  expect({ isTrusted: isTrusted(), version: stub.version })
    .toEqual({ isTrusted: true, version: 2 });
});

// Guards against requests that a starting router refuses, instead of waiting with
// them, since a configuration is in force without a confirmation and upstreams.
test("a configuration of another router is in force with the snapshot only", async () => {
  era = 1;
  await start(async (address) => {
    if (address === "127.0.0.1:10") return await findNewer();
    await new Promise((resolve) => setTimeout(resolve, SILENT_MS));
    return Ok(undefined);
  });
  let isInForceEarly = false;
  await until(() => {
    if (isTrusted()) return true;
    isInForceEarly ||= stub.version !== undefined;
    return false;
  });
  expect(isInForceEarly).toBe(false);
});

// Guards against streams of a version that go on at, or are told for, a process
// of another one, since the store has returned to a copy from before its start
// and a connection is taken to prove what that copy says (ORDER).
test("a connection does not prove an entry of an older copy of the store", async () => {
  await start(() => Promise.resolve(Ok(undefined)));
  const { routing } = stub;
  const processes = new ProcessChecks({
    clock: () => performance.now(),
    // As the ingress router passes the age of the view.
    getViewAgeMs: () => routing.getViewAgeMs(),
    connections: {
      // To the process that runs, for a minute.
      isOpenSince: (_, at) => at >= performance.now() - 60_000,
      send: () => {
        throw new Error("not asked");
      },
    },
  });
  await until(() => findEntry() !== undefined);
  expect(processes.isProven(findEntry()!)).toBe(true);
  era = 1;
  await until(() => findEntry()?.bornAt !== NOW.bornAt);
  const hasVersion = routing.directory.hasVersion(
    "up",
    "v1",
    performance.now(),
  );
  // The router would send a stream of v1 there without a question.
  expect(hasVersion && processes.isProven(findEntry()!)).toBe(false);
});

// Guards against orders of other programs that the routers carry out, report to
// each other and answer in the store, as many as there are.
test("an order is followed once a configuration names its service", async () => {
  const followed: string[] = [];
  let services = ["svc"];
  const listChanges = (): StoreChange[] => [
    {
      kind: "configuration",
      configuration: createConfiguration(services.length, services),
    },
    ...["svc", "other"].map((service) => ({
      kind: "rollout-order" as const,
      order: { service, target: "v2", durationMs: 1, revision: 3 },
    })),
  ];
  await stub.open({
    listChanges,
    getEra: () => era,
    rollouts: {
      receive: (change) => {
        if (change.kind === "rollout-order") {
          followed.push(change.order.service);
        }
      },
      recordStoreRestored: () => {},
      writeChanges: () => Promise.resolve(),
    },
  });
  await until(() => followed.length > 0);
  expect(followed).toEqual(["svc"]);
  services = ["svc", "other"];
  era++;
  await until(() => followed.includes("other"));
});
