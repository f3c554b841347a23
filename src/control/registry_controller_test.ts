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
const ANSWER_LOST = new PlatformFailure("unknown", "lost");
const UNAVAILABLE = new PlatformFailure("unavailable", "down");

let keyValue: MemoryKeyValue;
let tasks: TaskSystem;
let registry: RegistryController;
let configuration: Configuration;

function createRouter(name: string): Router {
  return {
    name,
    failureDomain: "a",
    controlAddress: `${name}:1`,
    forwardAddress: `${name}:2`,
  };
}

const createStore = () =>
  createConfigurationStore({ keyValue, retryDelayMs: 1, getTime: () => 0 });

beforeEach(() => {
  jest.useFakeTimers({ doNotFake: ["setImmediate", "nextTick"] });
  keyValue = new MemoryKeyValue();
  configuration = EMPTY_CONFIGURATION;
  tasks = createTaskSystem();
  registry = createRegistryController({
    self: createRouter("r1"),
    keyValue,
    store: createStore(),
    configuration: {
      current: () => configuration,
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

/** Advances the fake time and reads the configuration after each tick. */
async function advance(durationMs: number): Promise<void> {
  for (let passed = 0; passed < durationMs; passed += TICK_MS) {
    await jest.advanceTimersByTimeAsync(TICK_MS);
    for (let turn = 0; turn < 20; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const reading = await createStore().read(EMPTY_CONFIGURATION);
    if (reading.ok) configuration = reading.val;
  }
}

const listRouterNames = () => configuration.routers.map(({ name }) => name);
const countProposals = () => configuration.version;

async function register(name: string): Promise<string> {
  const lease = (await keyValue.grantLease(60)).unwrap();
  const value = JSON.stringify(createRouter(name));
  await keyValue.create(ROUTERS_PREFIX + name, value, { lease });
  return lease;
}

test("a new router is added soon, a lost one is removed later", async () => {
  registry.open();
  await advance(2 * ADD_AFTER_MS);
  expect(listRouterNames()).toEqual(["r1"]);
  const lease = await register("r2");
  await advance(5_000 + 2 * ADD_AFTER_MS);
  expect(listRouterNames()).toEqual(["r1", "r2"]);
  keyValue.expireLease(lease);
  await advance(REMOVE_AFTER_MS - TICK_MS);
  expect(listRouterNames()).toEqual(["r1", "r2"]);
  await advance(5_000 + 2 * TICK_MS);
  expect(listRouterNames()).toEqual(["r1"]);
  expect(countProposals()).toBe(3);
});

test("a flapping router causes no proposal", async () => {
  await register("r2");
  registry.open();
  await advance(2 * ADD_AFTER_MS);
  expect(listRouterNames()).toEqual(["r1", "r2"]);
  for (let flap = 0; flap < 6; flap++) {
    const [item] = (await keyValue.list(`${ROUTERS_PREFIX}r2`)).unwrap().items;
    await keyValue.remove(item!.key, item!.revision);
    await advance(REMOVE_AFTER_MS / 2);
    await register("r2");
    await advance(REMOVE_AFTER_MS / 2);
  }
  expect(countProposals()).toBe(1);
});

test("a set that keeps changing is proposed once it is stable", async () => {
  registry.open();
  await advance(2 * ADD_AFTER_MS);
  for (let index = 2; index < 8; index++) {
    await register(`r${index}`);
    await advance(TICK_MS);
  }
  const early = countProposals();
  await advance(5_000 + 2 * ADD_AFTER_MS);
  expect(listRouterNames()).toHaveLength(7);
  expect(countProposals() - early).toBe(1);
});

test.each(
  [["lost", "after", ANSWER_LOST], ["refused", "before", UNAVAILABLE]] as const,
)(
  "the router registers with 30 percent of the answers %s",
  async (_, hook, failure) => {
    const random = xoroshiro128plus(1);
    keyValue.faults[hook] = () =>
      uniformFloat64(random) < 0.3 ? failure : undefined;
    registry.open();
    await advance(20_000);
    keyValue.faults[hook] = undefined;
    const { items } = (await keyValue.list(ROUTERS_PREFIX)).unwrap();
    expect(items.map(({ key }) => key)).toEqual(["routers/r1"]);
    await advance(20_000);
    expect(listRouterNames()).toEqual(["r1"]);
    expect(countProposals()).toBe(1);
  },
);

test("the router registers again after its lease has expired", async () => {
  registry.open();
  await advance(ADD_AFTER_MS);
  keyValue.expireLease("1");
  expect((await keyValue.list(ROUTERS_PREFIX)).unwrap().items).toEqual([]);
  await advance(10_000);
  expect((await keyValue.list(ROUTERS_PREFIX)).unwrap().items).toHaveLength(1);
});

test("a deregistered router does not register again", async () => {
  registry.open();
  await advance(ADD_AFTER_MS);
  await registry.deregister();
  await advance(30_000);
  expect((await keyValue.list(ROUTERS_PREFIX)).unwrap().items).toEqual([]);
});
