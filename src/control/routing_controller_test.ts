/** A router that starts after the store has returned to an older copy. */
import { Err, Ok, type Result } from "ts-results/result";
import { createLogFactory } from "../log.ts";
import type {
  MetadataStore,
  StorePoll,
  StoreSnapshot,
} from "../platform/metadata_store.ts";
import { getStorePollIntervals } from "../policy/poll_pause.ts";
import { RelayPlan } from "../policy/relay_plan.ts";
import { loadHash } from "../policy/rendezvous.ts";
import type {
  Instant,
  RoutingConfiguration,
  StoreChange,
} from "../routing/types.ts";
import { PlatformFailure } from "../store/key_value.ts";
import type { FetchConfiguration } from "./configuration_relay.ts";
import {
  createRoutingController,
  type RoutingController,
} from "./routing_controller.ts";
import { createTaskSystem } from "./task.ts";

const COPIED_VERSION = 1;
const SELF = { name: "router-2", address: "127.0.0.1:12", linkMbps: 0 };
const PACE = getStorePollIntervals({ drainMs: 2_000, applyMs: 2_000 });

function readClocks(): Instant {
  return { steady: performance.now(), wall: Date.now() };
}

function createConfiguration(version: number): RoutingConfiguration {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: undefined,
  };
}

/** A store that holds a configuration and two other routers. */
function createStore(era: number): MetadataStore {
  const changes: StoreChange[] = [
    {
      kind: "configuration",
      configuration: createConfiguration(COPIED_VERSION),
    },
    { ...SELF, kind: "router", name: "router-0", address: "127.0.0.1:10" },
    { ...SELF, kind: "router", name: "router-1", address: "127.0.0.1:11" },
  ];
  const revision = 100;
  function respond<T>(value: T): Promise<Result<T, PlatformFailure>> {
    return Promise.resolve(Ok(value));
  }
  return {
    readAll: () =>
      respond<StoreSnapshot>({ changes, revision, sentAt: readClocks(), era }),
    poll: () =>
      respond<StorePoll>({
        kind: "changes",
        changes: [],
        revision,
        sentAt: readClocks(),
        era,
      }),
    readVersions: () => respond({ records: [], revision, era }),
    register: () => respond("lease"),
    renew: () => respond(true),
    deregister: () => respond(undefined),
    writeVersions: () => respond(undefined),
    close: () => Promise.resolve(),
  };
}

let asked: { address: string; newerThan: number | undefined }[];
let routing: RoutingController;
/** Versions that were in force while their API keys were accepted. */
let trusted: Set<number | undefined>;

async function start(
  era: number,
  answer: ReturnType<FetchConfiguration>,
): Promise<void> {
  const tasks = createTaskSystem();
  asked = [];
  trusted = new Set();
  routing = createRoutingController({
    self: SELF,
    store: createStore(era),
    now: readClocks,
    log: createLogFactory({ router: SELF.name, level: "error" })("config"),
    tasks,
    revocationMs: 5_000,
    pace: PACE,
    plan: new RelayPlan({ self: SELF.name, hash: await loadHash(), ...PACE }),
    fetchConfiguration: (address, { newerThan } = {}) => {
      asked.push({ address, newerThan });
      return answer;
    },
    heartbeatMs: 1_200,
  });
  routing.open();
  while (!routing.isTrustedAt(readClocks())) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  trusted.add(routing.table()?.configuration.version);
  await routing.close();
  tasks.close();
}

// Guards against keys that were taken away and run at a router which starts
// before the operators have written again what the store has lost.
test("a configuration that the store has lost is in force at the start", async () => {
  await start(1, Promise.resolve(Ok(createConfiguration(2))));
  expect([...trusted]).toEqual([2]);
  expect(asked).toHaveLength(2);
  expect(asked).toContainEqual({ address: "127.0.0.1:10", newerThan: 1 });
});

test("the copy is in force if no router knows a newer one", async () => {
  await start(1, Promise.resolve(Ok(undefined)));
  expect([...trusted]).toEqual([COPIED_VERSION]);
});

test("the copy is in force if no router answers", async () => {
  const failure = new PlatformFailure("unavailable", "no answer");
  await start(1, Promise.resolve(Err(failure)));
  expect([...trusted]).toEqual([COPIED_VERSION]);
});

test("a store that never returned to a copy is believed at once", async () => {
  await start(0, Promise.resolve(Ok(createConfiguration(2))));
  expect([...trusted]).toEqual([COPIED_VERSION]);
  expect(asked).toEqual([]);
});
