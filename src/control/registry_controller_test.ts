import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../config/configuration.ts";
import { createConfigurationStore } from "../config/configuration_store.ts";
import { SILENT_LOG } from "../log.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { MemoryKeyValue } from "../store/testing/memory_key_value.ts";
import type { Router } from "../types.ts";
import {
  createRegistryController,
  type RegistryController,
  ROUTERS_PREFIX,
} from "./registry_controller.ts";
import { createTaskSystem, type TaskSystem } from "./task.ts";

const ADD_AFTER_MS = 2_000;
const REMOVE_AFTER_MS = 30_000;
const TICK_MS = 1_000;
const lost = new PlatformFailure("unknown", "lost");
const down = new PlatformFailure("unavailable", "down");

let keyValue: MemoryKeyValue;
let tasks: TaskSystem;
let registry: RegistryController;
let current: Configuration;

function createRouter(name: string): Router {
  return {
    name,
    failureDomain: "a",
    controlAddress: `${name}:1`,
    forwardAddress: `${name}:2`,
  };
}

const store = () =>
  createConfigurationStore({ keyValue, retryDelayMs: 1, getTime: () => 0 });

beforeEach(() => {
  jest.useFakeTimers({ doNotFake: ["setImmediate", "nextTick"] });
  keyValue = new MemoryKeyValue();
  current = EMPTY_CONFIGURATION;
  tasks = createTaskSystem();
  registry = createRegistryController({
    self: createRouter("r1"),
    keyValue,
    store: store(),
    configuration: {
      current: () => current,
      confirmedAt: () => 0,
      routersInForceMs: () => 0,
    },
    clock: () => performance.now(),
    log: SILENT_LOG,
    tasks,
  });
});

afterEach(() => {
  registry.close();
  tasks.close();
  jest.useRealTimers();
});

/** Lets time pass; the configuration follows what is committed. */
async function pass(durationMs: number): Promise<void> {
  for (let passed = 0; passed < durationMs; passed += TICK_MS) {
    await jest.advanceTimersByTimeAsync(TICK_MS);
    for (let turn = 0; turn < 20; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const reading = await store().read(EMPTY_CONFIGURATION);
    if (reading.ok) current = reading.val;
  }
}

const names = () => current.routers.map(({ name }) => name);
const proposals = () => current.version;

async function register(name: string): Promise<string> {
  const lease = (await keyValue.grantLease(60)).unwrap();
  const value = JSON.stringify(createRouter(name));
  await keyValue.create(ROUTERS_PREFIX + name, value, { lease });
  return lease;
}

test("a new router is proposed soon and a lost one late", async () => {
  registry.open();
  await pass(2 * ADD_AFTER_MS);
  expect(names()).toEqual(["r1"]);
  const lease = await register("r2");
  await pass(5_000 + 2 * ADD_AFTER_MS);
  expect(names()).toEqual(["r1", "r2"]);
  keyValue.lapse(lease);
  await pass(REMOVE_AFTER_MS - TICK_MS);
  expect(names()).toEqual(["r1", "r2"]);
  await pass(5_000 + 2 * TICK_MS);
  expect(names()).toEqual(["r1"]);
  expect(proposals()).toBe(3);
});

test("a router that flaps leads to no proposal", async () => {
  await register("r2");
  registry.open();
  await pass(2 * ADD_AFTER_MS);
  expect(names()).toEqual(["r1", "r2"]);
  for (let flap = 0; flap < 6; flap++) {
    const [item] = (await keyValue.list(`${ROUTERS_PREFIX}r2`)).unwrap().items;
    await keyValue.remove(item!.key, item!.revision);
    await pass(REMOVE_AFTER_MS / 2);
    await register("r2");
    await pass(REMOVE_AFTER_MS / 2);
  }
  expect(proposals()).toBe(1);
});

test("a set that keeps changing waits until it stands", async () => {
  registry.open();
  await pass(2 * ADD_AFTER_MS);
  for (let index = 2; index < 8; index++) {
    await register(`r${index}`);
    await pass(TICK_MS);
  }
  const early = proposals();
  await pass(5_000 + 2 * ADD_AFTER_MS);
  expect(names()).toHaveLength(7);
  expect(proposals() - early).toBe(1);
});

test.each([["lost", "after", lost], ["refused", "before", down]] as const)(
  "with a third of the answers %s the router is registered",
  async (_, hook, failure) => {
    const random = xoroshiro128plus(1);
    keyValue.faults[hook] = () =>
      uniformFloat64(random) < 0.3 ? failure : undefined;
    registry.open();
    await pass(20_000);
    keyValue.faults[hook] = undefined;
    const { items } = (await keyValue.list(ROUTERS_PREFIX)).unwrap();
    expect(items.map(({ key }) => key)).toEqual(["routers/r1"]);
    await pass(20_000);
    expect(names()).toEqual(["r1"]);
    expect(proposals()).toBe(1);
  },
);

test("a lapsed lease leads to a new registration", async () => {
  registry.open();
  await pass(ADD_AFTER_MS);
  keyValue.lapse("1");
  expect((await keyValue.list(ROUTERS_PREFIX)).unwrap().items).toEqual([]);
  await pass(10_000);
  expect((await keyValue.list(ROUTERS_PREFIX)).unwrap().items).toHaveLength(1);
});

test("a router that has withdrawn does not come back", async () => {
  registry.open();
  await pass(ADD_AFTER_MS);
  await registry.withdraw();
  await pass(30_000);
  expect((await keyValue.list(ROUTERS_PREFIX)).unwrap().items).toEqual([]);
});
