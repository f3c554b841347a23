import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../config/configuration.ts";
import { encodeConfiguration } from "../config/configuration_codec.ts";
import { createConfigurationStore } from "../config/configuration_store.ts";
import { SILENT_LOG } from "../log.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { MemoryKeyValue } from "../store/testing/memory_key_value.ts";
import {
  type ConfigurationController,
  createConfigurationController,
  type RequestFromPeer,
} from "./configuration_controller.ts";
import { createTaskSystem, type TaskSystem } from "./task.ts";
import { settle, until } from "./testing/settle.ts";

const RETRY_MS = 10;
const UNAVAILABLE = new PlatformFailure("unavailable", "down");

/** One for each controller, because the names of its tasks are fixed. */
let taskSystems: TaskSystem[];
let sharedKeyValue: MemoryKeyValue;
let controllers: ConfigurationController[];

beforeEach(() => {
  taskSystems = [];
  sharedKeyValue = new MemoryKeyValue();
  controllers = [];
});

afterEach(() => {
  for (const controller of controllers) controller.close();
  for (const tasks of taskSystems) tasks.close();
});

/** Creates one router's view of the service; calls fail while `isDown`. */
function createUnreliableKeyValue(isDown: () => boolean): MemoryKeyValue {
  return new Proxy(sharedKeyValue, {
    get(target, name) {
      const member = Reflect.get(target, name, target);
      if (typeof member !== "function") return member;
      if (isDown() && name !== "watch") {
        return () =>
          Promise.resolve({ err: true, ok: false, val: UNAVAILABLE });
      }
      return member.bind(target);
    },
  });
}

/** Starts the controller of a router; `peers` are other controllers by name. */
function start(
  { isDown = () => false, peers = {}, read }: {
    isDown?: () => boolean;
    peers?: Record<string, ConfigurationController>;
    read?: RequestFromPeer;
  } = {},
) {
  const keyValue = createUnreliableKeyValue(isDown);
  const tasks = createTaskSystem();
  taskSystems.push(tasks);
  const versions: number[] = [];
  const controller = createConfigurationController({
    keyValue,
    store: createConfigurationStore({ keyValue, retryDelayMs: 1 }),
    clock: () => performance.now(),
    log: SILENT_LOG,
    tasks,
    requestFromPeer: read ??
      ((peer, after) => Promise.resolve(peers[peer]?.encodeNewerThan(after))),
    retryMs: RETRY_MS,
    onChange: ({ version }) => versions.push(version),
  });
  controllers.push(controller);
  return { controller, versions };
}

const createAuthorStore = () =>
  createConfigurationStore({ keyValue: sharedKeyValue });

/** Commits a set of one router. Returns the version of the entry. */
async function commit(name: string): Promise<number> {
  const store = createAuthorStore();
  const head = (await store.read(EMPTY_CONFIGURATION)).unwrap();
  const router = {
    name,
    failureDomain: "a",
    controlAddress: "127.0.0.1:1",
    forwardAddress: "127.0.0.1:2",
  };
  const change = { kind: "routers", routers: [router] } as const;
  const entry = await store.commit("o", change, { basedOn: head.version });
  return entry.unwrap().version;
}

function createStatus(version: number) {
  return { version, routersVersion: 0, routersInForceMs: 0 };
}

function createConfiguration(version: number): Configuration {
  return { ...EMPTY_CONFIGURATION, version, hostsOut: [`h${version}`] };
}

test("entries are applied in order, also after the watch has closed", async () => {
  const { controller, versions } = start();
  controller.open();
  for (const name of ["a", "b", "c"]) {
    const version = await commit(name);
    await until(() => controller.current().version === version);
    sharedKeyValue.closeWatches(UNAVAILABLE);
  }
  expect(controller.current().routers.map(({ name }) => name)).toEqual(["c"]);
  expect(versions).toEqual([1, 2, 3]);
});

test("an entry between the first read and the watch is not missed", async () => {
  let hasCommitted = false;
  sharedKeyValue.faults.after = async ({ operation }) => {
    if (operation !== "list" || hasCommitted) return undefined;
    hasCommitted = true;
    await commit("a");
    return undefined;
  };
  const { controller } = start();
  controller.open();
  await until(() => controller.current().version === 1);
});

test("peers pass on an entry when the service fails right after its commit", async () => {
  let isDown = false;
  const first = start({ isDown: () => isDown });
  first.controller.open();
  const second = start({
    isDown: () => true,
    peers: { r1: first.controller },
  });
  second.controller.open();
  await commit("a");
  await until(() => first.controller.current().version === 1);
  isDown = true;
  second.controller.recordPeerStatus(
    "r1",
    createStatus(first.controller.current().version),
  );
  await until(() => second.controller.current().version === 1);
  expect(second.controller.current()).toEqual(first.controller.current());
  expect(second.controller.confirmedAt()).toBeGreaterThan(-Infinity);
  const third = start({
    isDown: () => true,
    peers: { r2: second.controller },
  });
  third.controller.recordPeerStatus("r2", createStatus(1));
  await until(() => third.controller.current().version === 1);
});

test("without the service and without peers no configuration is in force", async () => {
  const { controller, versions } = start({ isDown: () => true });
  controller.open();
  await settle();
  expect(controller.current()).toBe(EMPTY_CONFIGURATION);
  expect(controller.confirmedAt()).toBe(-Infinity);
  expect(versions).toEqual([]);
});

test("the version never decreases, whatever versions peers claim and send", async () => {
  const claims = [3, 1, 2, 9, 3, 5, 9, 4, 12, 1, 12];
  const { controller, versions } = start({
    isDown: () => true,
    // A peer may send an older version than it claimed.
    read: (peer) =>
      Promise.resolve(encodeConfiguration(createConfiguration(Number(peer)))),
  });
  const seen: number[] = [];
  for (const [index, claim] of claims.entries()) {
    const answered = String(index % 3 === 2 ? 1 : claim);
    controller.recordPeerStatus(answered, createStatus(claim));
    await settle();
    seen.push(controller.current().version);
  }
  expect(seen).toEqual([3, 3, 3, 9, 9, 9, 9, 9, 9, 9, 12]);
  expect(versions).toEqual([...versions].sort((a, b) => a - b));
  expect(new Set(versions).size).toBe(versions.length);
  expect(controller.current().version).toBe(12);
});

test.each([
  ["nothing", undefined],
  ["no JSON", "{"],
  ["another document", "{}"],
])(
  "a peer that answers with %s does not change the configuration",
  async (_, text) => {
    const { controller } = start({
      isDown: () => true,
      read: () => Promise.resolve(text),
    });
    controller.recordPeerStatus("r1", createStatus(4));
    await settle();
    expect(controller.current()).toBe(EMPTY_CONFIGURATION);
    expect(controller.confirmedAt()).toBe(-Infinity);
  },
);

test("a peer without a newer version confirms the version in force", async () => {
  const { controller } = start();
  controller.open();
  const version = await commit("a");
  await until(() => controller.current().version === version);
  const before = controller.confirmedAt();
  controller.recordPeerStatus("r1", createStatus(version));
  expect(controller.confirmedAt()).toBeGreaterThan(before);
  expect(controller.encodeNewerThan(version)).toBeUndefined();
  expect(controller.encodeNewerThan(version - 1)).toBeDefined();
});
