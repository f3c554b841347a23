import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { Err, Ok } from "ts-results/result";
import { Engine } from "../../testing/engine.ts";
import { Orders } from "../../testing/engine_orders.ts";
import type { Manifest, Upstream } from "../config/manifest.ts";
import { SILENT_LOG } from "../log.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { MemoryKeyValue } from "../store/testing/memory_key_value.ts";
import { SLOT_PREFIX } from "../policy/weight_rate.ts";
import { createHttpClient } from "../transport/http_client.ts";
import {
  createOrdersController,
  type OrdersController,
  type OrdersControllerOptions,
} from "./orders_controller.ts";
import { createWeightSlots } from "./orders_controller_slots.ts";
import type { PoolSummary } from "./pool_summary.ts";
import { createTaskSystem } from "./task.ts";
import {
  createUpstreamOrders,
  type SendOutcome,
  type UpstreamOrders,
} from "./upstream_orders.ts";

const TIMES = { leaseMs: 60, transitMs: 10, carryOutMs: 60, pollMs: 5 };
const ENGINE_TIMES = { backOffMs: 5, settleMs: 20 };
const WAIT_MS = 5;
const MAX_WAITS = 1_000;

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let wait = 0; wait < MAX_WAITS && !condition(); wait++) {
    await sleep(WAIT_MS);
  }
  expect(condition()).toBe(true);
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

function createUpstream(name: string, checksFencing: boolean): Upstream {
  return {
    name,
    host: name,
    failureDomain: "d",
    address: "127.0.0.1:1",
    hardLimit: 8,
    coldLimit: 1,
    checksFencing,
  };
}

/** In-memory engines; a test can lose or delay orders and responses. */
class FakeEngines implements UpstreamOrders {
  readonly engines = new Map<string, Orders>();
  sends = 0;
  /** Maximum number of loads that ran at the same time. */
  maxConcurrentLoads = 0;
  getLostMessage: (() => "nothing" | "answer" | "order") | undefined;
  delayMs = 1;
  #loading = 0;

  constructor(upstreams: readonly Upstream[]) {
    for (const { name, checksFencing } of upstreams) {
      this.engines.set(name, new Orders(checksFencing));
    }
  }

  get done() {
    return [...this.engines.values()].flatMap(({ done }) => done);
  }

  async list({ name }: Upstream) {
    await sleep(this.delayMs);
    return [...this.engines.get(name)!.done];
  }

  async send(
    { name }: Upstream,
    order: Parameters<UpstreamOrders["send"]>[1],
    { fence }: { fence: number },
  ): Promise<SendOutcome> {
    this.sends++;
    this.#loading++;
    this.maxConcurrentLoads = Math.max(this.maxConcurrentLoads, this.#loading);
    await sleep(this.delayMs);
    this.#loading--;
    const lost = this.getLostMessage?.() ?? "nothing";
    if (lost === "order") return "unclear";
    const engine = this.engines.get(name)!;
    if (lost === "answer") {
      // The engine still carries the order out, but the response is lost.
      const carryOut = () => engine.tryExecute({ ...order, fence });
      setTimeout(carryOut, TIMES.carryOutMs / 2);
      return "unclear";
    }
    const isOk = engine.tryExecute({ ...order, fence });
    return isOk ? "accepted" : "fenced";
  }
}

/** Engines, a key-value service and routers that each own the pool. */
class TestFleet {
  readonly keyValue = new MemoryKeyValue();
  readonly engines: FakeEngines;
  readonly upstreams: Upstream[];
  version = "v1";
  fetchesPerMinute = 200;
  summary: Partial<PoolSummary> = {};
  readonly #tasks = createTaskSystem();
  readonly #controllers: OrdersController[] = [];

  constructor(checksFencing: readonly boolean[]) {
    this.upstreams = checksFencing.map((checks, index) =>
      createUpstream(`e${index}`, checks)
    );
    this.engines = new FakeEngines(this.upstreams);
  }

  addRouter(options: Partial<OrdersControllerOptions> = {}): OrdersController {
    const shared = {
      keyValue: this.keyValue,
      clock: () => performance.now(),
      random: () => Math.random(),
      createId: () => randomUUID(),
    };
    const getFetchRateLimit = () =>
      Promise.resolve(Ok({ fetchesPerMinute: this.fetchesPerMinute }));
    const controller = createOrdersController({
      ...shared,
      self: "r",
      holder: randomUUID(),
      slots: createWeightSlots({
        ...shared,
        weightStore: { getFetchRateLimit: getFetchRateLimit },
      }),
      orders: this.engines,
      times: TIMES,
      log: SILENT_LOG,
      tasks: createTaskSystem(),
      tickMs: 2,
      engineTimes: ENGINE_TIMES,
      listPools: () => [this.#summarise()],
      getManifest: () => this.#getManifest(),
      isLeaving: () => false,
      ...options,
    });
    this.#controllers.push(controller);
    controller.open();
    return controller;
  }

  close(): void {
    for (const controller of this.#controllers) controller.close();
    this.#tasks.close();
  }

  countCalls(prefix: string): number {
    return this.keyValue.calls.filter(({ operation, key }) =>
      operation === "create" && key.startsWith(prefix)
    ).length;
  }

  #summarise(): PoolSummary {
    return {
      id: "s/0",
      service: "s",
      replicas: ["r", "q"],
      owner: "r",
      heldRanks: ["r", "q"],
      queued: 0,
      chats: 0,
      upstreams: this.upstreams.map((upstream) => ({
        upstream,
        isInService: true,
        isLeaving: false,
        isCold: false,
        incarnation: "i",
        answers: 0,
        inFlight: 0,
        limit: 8,
        room: 8,
        reportAgeMs: 0,
      })),
      ...this.summary,
    };
  }

  #getManifest(): Manifest {
    const model = { name: "m", version: this.version, adapters: ["a"] };
    const service = { name: "s", kind: "engine", model: "m" };
    return { services: [service], models: [model] } as unknown as Manifest;
  }
}

async function withTestFleet(
  checksFencing: readonly boolean[],
  act: (testFleet: TestFleet) => Promise<void>,
): Promise<void> {
  const testFleet = new TestFleet(checksFencing);
  try {
    await act(testFleet);
  } finally {
    testFleet.close();
  }
}

function listVersions({ engines }: TestFleet): string[][] {
  return [...engines.engines.values()].map(({ done }) =>
    done.map(({ kind, version }) => `${kind} ${version}`)
  );
}

test("loads a version with its adapters, changes it and reverts it", () =>
  withTestFleet([true, false, true], async (testFleet) => {
    testFleet.addRouter();
    const { engines } = testFleet;
    for (const [index, version] of ["v1", "v2", "v1"].entries()) {
      testFleet.version = version;
      await waitUntil(() => engines.done.length === 6 * (index + 1));
    }
    const each = ["v1", "v2", "v1"].flatMap((version) => [
      `load-model ${version}`,
      `load-adapter ${version}`,
    ]);
    expect(listVersions(testFleet)).toEqual([each, each, each]);
    expect(engines.maxConcurrentLoads).toBe(1);
  }));

test("reverts a version while its last order is in progress", () =>
  withTestFleet([true], async (testFleet) => {
    const { engines } = testFleet;
    // A late tick counts as a pause of the process, after which all engines are
    // checked again. A longer tick interval avoids that.
    testFleet.addRouter({ tickMs: 30 });
    await waitUntil(() => engines.done.length === 2);
    // Wait until the controller has read that the first version is loaded.
    await sleep(150);
    engines.getLostMessage = () => {
      if (engines.sends === 4) testFleet.version = "v1";
      return "nothing";
    };
    testFleet.version = "v2";
    await waitUntil(() => engines.done.length === 6);
    expect(engines.done.at(-1)!.version).toBe("v1");
  }));

test("a new owner waits for what the one before may have sent", () =>
  withTestFleet([true, false], async (testFleet) => {
    const { engines } = testFleet;
    engines.getLostMessage = () => engines.sends === 1 ? "answer" : "nothing";
    const first = testFleet.addRouter();
    await waitUntil(() => engines.sends === 1);
    first.close();
    testFleet.addRouter();
    await waitUntil(() => engines.done.length >= 4);
    await sleep(4 * TIMES.carryOutMs);
    expect(engines.sends).toBe(4);
  }));

test.each([true, false])(
  "a lost response is looked up, not repeated (fencing checked: %p)",
  (checksFencing) =>
    withTestFleet([checksFencing], async (testFleet) => {
      const { engines } = testFleet;
      engines.getLostMessage = () => "answer";
      testFleet.addRouter();
      await waitUntil(() => engines.done.length === 2);
      await sleep(4 * TIMES.carryOutMs);
      expect(engines.sends).toBe(2);
    }),
);

test("an order that never arrived is sent again after its time bound", () =>
  withTestFleet([true], async (testFleet) => {
    const { engines } = testFleet;
    engines.getLostMessage = () => engines.sends <= 2 ? "order" : "nothing";
    testFleet.addRouter();
    await waitUntil(() => engines.done.length === 2);
    expect(engines.sends).toBe(4);
    // Each send claims a fetch of its own.
    expect(testFleet.countCalls(SLOT_PREFIX)).toBe(4);
  }));

test.each([true, false])(
  "two simultaneous owners send each order once (fencing checked: %p)",
  (checksFencing) =>
    withTestFleet([checksFencing, checksFencing], async (testFleet) => {
      const { engines } = testFleet;
      engines.delayMs = 3;
      const times = { ...TIMES, carryOutMs: 60_000 };
      testFleet.addRouter({ times });
      testFleet.addRouter({ times });
      await waitUntil(() => engines.done.length >= 4);
      await sleep(200);
      for (const { done } of engines.engines.values()) {
        const ids = done.map(({ id }) => id);
        expect(ids).toEqual([...new Set(ids)]);
        const fences = done.map(({ fence }) => fence);
        expect(fences).toEqual(fences.toSorted((a, b) => a - b));
      }
    }),
);

test("sends no order while the key-value service is down", () =>
  withTestFleet([true, false], async (testFleet) => {
    const { engines, keyValue } = testFleet;
    const down = new PlatformFailure("unavailable", "down");
    keyValue.faults.before = () => down;
    testFleet.addRouter();
    await waitUntil(() => keyValue.calls.length > 4);
    expect(engines.sends).toBe(0);
    keyValue.faults.before = undefined;
    await waitUntil(() => engines.done.length === 4);
  }));

test("a claim whose response is lost counts as claimed", () =>
  withTestFleet([true], async (testFleet) => {
    const { engines, keyValue } = testFleet;
    const lost = new PlatformFailure("unknown", "lost");
    keyValue.faults.after = ({ operation, key }) =>
      operation === "create" && key.startsWith(SLOT_PREFIX) ? lost : undefined;
    testFleet.addRouter();
    await waitUntil(() => engines.done.length === 2);
    const { val: slots } = await keyValue.list(SLOT_PREFIX);
    expect(slots).toMatchObject({ items: { length: 2 } });
  }));

test("sends no more orders than the weight store's rate allows", () =>
  withTestFleet([true, true, false, true], async (testFleet) => {
    const { engines } = testFleet;
    testFleet.fetchesPerMinute = 3;
    testFleet.addRouter();
    testFleet.addRouter();
    await waitUntil(() => engines.done.length === 3);
    await sleep(4 * TIMES.carryOutMs);
    expect(engines.sends).toBe(3);
  }));

test("sends no order if another router claims the slots first", () =>
  withTestFleet([true], async (testFleet) => {
    const { engines, keyValue } = testFleet;
    testFleet.fetchesPerMinute = 2;
    let isTaken = false;
    keyValue.faults.before = async ({ operation }) => {
      if (operation !== "lease" || isTaken) return undefined;
      isTaken = true;
      await keyValue.create(`${SLOT_PREFIX}0`, "other");
      await keyValue.create(`${SLOT_PREFIX}1`, "other");
      return undefined;
    };
    testFleet.addRouter();
    await waitUntil(() => isTaken);
    await sleep(100);
    expect(engines.sends).toBe(0);
  }));

test.each<[string, Partial<PoolSummary>]>([
  ["another owner", { owner: "q" }],
  ["a missing rank", { heldRanks: ["r"] }],
])(
  "sends no order with %s",
  (_name, summary) =>
    withTestFleet([true], async (testFleet) => {
      testFleet.summary = summary;
      testFleet.addRouter();
      await sleep(50);
      expect(testFleet.engines.sends).toBe(0);
    }),
);

test("sends no order after the pool has got another owner", () =>
  withTestFleet([true], async (testFleet) => {
    // The owner changes while the fetch is being claimed.
    testFleet.keyValue.faults.after = ({ key }) => {
      if (key.startsWith(`${SLOT_PREFIX}`)) testFleet.summary = { owner: "q" };
      return undefined;
    };
    testFleet.addRouter();
    await waitUntil(() =>
      testFleet.countCalls(SLOT_PREFIX) > 0 || hasNewOwner(testFleet)
    );
    await sleep(50);
    expect(testFleet.engines.sends).toBe(0);
  }));

function hasNewOwner({ summary }: TestFleet): boolean {
  return summary.owner === "q";
}

test("orders reach a stand-in engine over HTTP", async () => {
  const engine = new Engine({ name: "e", checksFencing: true });
  const address = await engine.listen(0);
  const client = createHttpClient();
  const orders = createUpstreamOrders({ client, onBytes: () => {} });
  const upstream = { ...createUpstream("e", true), address };
  const order = { id: "o", kind: "load-model", model: "m" } as const;
  expect(await orders.send(upstream, order, { fence: 2 })).toBe("accepted");
  expect(await orders.send(upstream, order, { fence: 1 })).toBe("fenced");
  expect(await orders.list(upstream)).toEqual([{ ...order, fence: 2 }]);
  engine.close();
  expect(await orders.send(upstream, order, { fence: 3 })).toBe("not-sent");
  expect(await orders.list(upstream)).toBeUndefined();
  await client.close();
});

test("claims nothing while the weight store does not respond", async () => {
  const keyValue = new MemoryKeyValue();
  const down = new PlatformFailure("unavailable", "down");
  const slots = createWeightSlots({
    keyValue,
    weightStore: { getFetchRateLimit: () => Promise.resolve(Err(down)) },
    clock: () => 0,
    random: () => 0,
    createId: () => "c",
  });
  expect(await slots.hasFree()).toBe(false);
  expect(await slots.claim()).toBeUndefined();
  expect(keyValue.calls).toEqual([]);
});
