/**
 * Brings the engines of the pools that this router owns to the version and the
 * adapters of the manifest's models, a few engines at a time.
 */
import type { Manifest, Model } from "../config/manifest.ts";
import type { Log } from "../log.ts";
import { getHolderKey, type Order } from "../policy/order_fencing_record.ts";
import { type EngineTimes, OrderedEngine } from "./orders_controller_engine.ts";
import {
  countChanging,
  describeWish,
  findDueOrder,
  findModel,
  isIdle,
} from "./orders_controller_plan.ts";
import {
  type OrderEnd,
  type OrderRunOptions,
  runOrder,
} from "./orders_controller_run.ts";
import type { PoolSummary, UpstreamSummary } from "./pool_summary.ts";
import { isSoleOwner } from "./pools_controller.ts";
import type { Task, TaskSystem } from "./task.ts";

/** Options of the controller. */
export interface OrdersControllerOptions extends OrderRunOptions {
  readonly self: string;
  readonly log: Log;
  readonly tasks: TaskSystem;
  readonly random: () => number;
  /** Time between two looks at the pools, in milliseconds. */
  readonly tickMs?: number;
  readonly engineTimes?: EngineTimes;
  listPools(): readonly PoolSummary[];
  getManifest(): Manifest | undefined;
  isLeaving(): boolean;
}

/** Gives orders to the engines of the own pools. */
export interface OrdersController {
  open(): void;
  /** Whether an engine of a pool has an order that was sent and not ended. */
  isLoading(upstream: string): boolean;
  close(): void;
}

const TICK_MS = 1_000;
const MAX_TICKS_MISSED = 3;

/** An engine whose list is to be read, and what it is to run. */
interface Visit {
  readonly pool: PoolSummary;
  readonly summary: UpstreamSummary;
  readonly engine: OrderedEngine;
  readonly model: Model;
  readonly wish: string;
}

/** Creates the controller; `open` starts it. */
export function createOrdersController(
  options: OrdersControllerOptions,
): OrdersController {
  return new RollingOrders(options);
}

class RollingOrders implements OrdersController {
  readonly #options: OrdersControllerOptions;
  readonly #engines = new Map<string, OrderedEngine>();
  /** Pools that are owned, and since when. */
  readonly #ownedSince = new Map<string, number>();
  readonly #stop = new AbortController();
  readonly #task: Task<"tick">;
  #tickedAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: OrdersControllerOptions) {
    this.#options = options;
    this.#task = options.tasks.spawn<"tick">("orders", {
      handle: () => this.#tick(),
      onFailure: (cause) => this.#logFailure(cause),
    });
  }

  open(): void {
    const { tickMs = TICK_MS } = this.#options;
    this.#timer = setInterval(() => this.#task.send("tick"), tickMs);
  }

  isLoading(upstream: string): boolean {
    return this.#engines.get(upstream)?.isLoading ?? false;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#stop.abort();
    this.#task.stop();
  }

  #logFailure(cause: unknown): void {
    const detail = cause instanceof Error ? cause.stack : String(cause);
    this.#options.log.error("Orders have failed.", { detail });
  }

  #tick(): void {
    const { listPools, getManifest, isLeaving, clock } = this.#options;
    const now = clock();
    const { tickMs = TICK_MS } = this.#options;
    // After a pause the pools may have had another owner in between.
    if (now - this.#tickedAt > tickMs * MAX_TICKS_MISSED) {
      this.#ownedSince.clear();
    }
    this.#tickedAt = now;
    const pools = listPools();
    this.#noteOwned(pools, now);
    if (isLeaving() || this.#stop.signal.aborted) return;
    for (const pool of pools) {
      const model = findModel(getManifest(), pool.service);
      if (model === undefined || !this.#ownedSince.has(pool.id)) continue;
      this.#visitPool(pool, model);
    }
  }

  #noteOwned(pools: readonly PoolSummary[], now: number): void {
    const { self } = this.#options;
    const owned = pools.filter((pool) => isSoleOwner(pool, self));
    const ids = new Set(owned.map(({ id }) => id));
    for (const id of [...this.#ownedSince.keys()]) {
      if (!ids.has(id)) this.#ownedSince.delete(id);
    }
    for (const id of ids) {
      if (!this.#ownedSince.has(id)) this.#ownedSince.set(id, now);
    }
  }

  /** Starts visits of engines while few enough of the pool are changing. */
  #visitPool(pool: PoolSummary, model: Model): void {
    const now = this.#options.clock();
    const ownedSince = this.#ownedSince.get(pool.id);
    const changing = new Set(
      pool.upstreams.filter((each) =>
        this.#engineOf(each).isChanging(each, now)
      ),
    );
    // Engines that bear little work anyway go first.
    const order = [...pool.upstreams].sort((a, b) =>
      Number(isIdle(b)) - Number(isIdle(a))
    );
    for (const summary of order) {
      const hasRoom = changing.size < countChanging(pool);
      if (!hasRoom && !changing.has(summary)) continue;
      const engine = this.#engineOf(summary);
      // An owner or an incarnation in between may have changed what it runs.
      const wish = [describeWish(model), summary.incarnation, ownedSince]
        .join(" ");
      if (!engine.isVisitDue(summary, { wish, now })) continue;
      changing.add(summary);
      void this.#visit({ pool, summary, engine, model, wish });
    }
  }

  #engineOf({ upstream }: UpstreamSummary): OrderedEngine {
    let engine = this.#engines.get(upstream.name);
    if (engine === undefined) {
      engine = new OrderedEngine(this.#options.engineTimes ?? {});
      this.#engines.set(upstream.name, engine);
    }
    return engine;
  }

  #isOwner(pool: string): boolean {
    const { listPools, self, isLeaving } = this.#options;
    const summary = listPools().find(({ id }) => id === pool);
    if (summary === undefined || isLeaving()) return false;
    return isSoleOwner(summary, self);
  }

  /** Reads an engine's list and gives the order that is due, if any. */
  async #visit(visit: Visit): Promise<void> {
    const { engine } = visit;
    engine.isBusy = true;
    try {
      await this.#serve(visit);
    } catch (cause) {
      this.#backOff(engine);
      this.#logFailure(cause);
    } finally {
      engine.isBusy = false;
      engine.noteEnd(this.#options.clock());
    }
  }

  async #serve(visit: Visit): Promise<void> {
    const { engine, model, wish, summary: { upstream } } = visit;
    const { orders, slots, clock } = this.#options;
    const done = await orders.list(upstream);
    if (done === undefined) return void this.#backOff(engine);
    const order = findDueOrder(model, done);
    if (order === undefined) return engine.noteFulfilled(wish, clock());
    // A look at the slots is cheaper than a new fencing number.
    if (!await slots.hasFree()) return void this.#backOff(engine);
    this.#noteEnd(visit, { order, end: await this.#give(visit, order) });
  }

  #give(visit: Visit, order: Order): Promise<OrderEnd> {
    const { pool, model, summary: { upstream } } = visit;
    return runOrder({
      order,
      upstream,
      ownedSince: this.#ownedSince.get(pool.id) ?? Infinity,
      key: getHolderKey(pool.service, upstream.name),
      isDue: (done) => findDueOrder(model, done)?.id === order.id,
      mayBeSent: () => this.#isOwner(pool.id),
      onSend: (fence) => this.#noteSent(visit, { order, fence }),
      signal: this.#stop.signal,
    }, this.#options);
  }

  #noteSent(
    { pool, engine, summary }: Visit,
    { order, fence }: { order: Order; fence: number },
  ): void {
    const { name } = summary.upstream;
    const holdsBack = pool.upstreams.some((each) =>
      each.upstream.name !== name && !isIdle(each)
    );
    engine.noteSent(summary, { holdsBack, now: this.#options.clock() });
    this.#options.log.info("An order is sent.", {
      upstream: name,
      order: order.id,
      fence,
    });
  }

  #noteEnd(
    { engine, summary }: Visit,
    { order, end }: { order: Order; end: OrderEnd },
  ): void {
    const { log } = this.#options;
    const upstream = summary.upstream.name;
    const fields = { upstream, order: order.id, outcome: end };
    if (end === "done") {
      engine.noteSuccess();
      log.info("An order is carried out.", fields);
      return;
    }
    const waitMs = this.#backOff(engine);
    const isFailure = end === "unknown" || end === "unreachable";
    const level = isFailure ? "warn" : "info";
    log[level]("An order is put off.", { ...fields, waitMs });
  }

  #backOff(engine: OrderedEngine): number {
    const { random, clock } = this.#options;
    return engine.backOff(clock(), random);
  }
}
