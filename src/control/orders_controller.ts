/**
 * Sends load orders to the engines of the pools that this router owns, until
 * they run the model version and the adapters of the manifest. Updates only a
 * few engines of a pool at a time.
 */
import type { Manifest, Model } from "../config/manifest.ts";
import type { Log } from "../log.ts";
import { getHolderKey, type Order } from "../policy/order_fencing_record.ts";
import {
  EngineOrderState,
  type EngineTimes,
} from "./orders_controller_engine.ts";
import {
  findDueOrder,
  findModel,
  getDesiredStateKey,
  getMaxConcurrentChanges,
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

/** Options of `createOrdersController`. */
export interface OrdersControllerOptions extends OrderRunOptions {
  readonly self: string;
  readonly log: Log;
  readonly tasks: TaskSystem;
  readonly random: () => number;
  /** Time between two checks of the pools, in milliseconds. */
  readonly tickMs?: number;
  readonly engineTimes?: EngineTimes;
  listPools(): readonly PoolSummary[];
  getManifest(): Manifest | undefined;
  isLeaving(): boolean;
}

/** Sends orders to the engines of the pools that this router owns. */
export interface OrdersController {
  open(): void;
  /**
   * Whether new work is kept away from an engine because an order was sent to
   * it and has not ended.
   */
  isLoading(upstream: string): boolean;
  close(): void;
}

const TICK_MS = 1_000;
const MAX_MISSED_TICKS = 3;

/** An engine to reconcile and the model that it should run. */
interface Reconciliation {
  readonly pool: PoolSummary;
  readonly summary: UpstreamSummary;
  readonly engine: EngineOrderState;
  readonly model: Model;
  /** Identifies the model state that the engine should have. */
  readonly wish: string;
}

/** Creates the controller; `open` starts its timer. */
export function createOrdersController(
  options: OrdersControllerOptions,
): OrdersController {
  return new RollingOrdersController(options);
}

class RollingOrdersController implements OrdersController {
  readonly #options: OrdersControllerOptions;
  readonly #engines = new Map<string, EngineOrderState>();
  /** Monotonic time since which each owned pool has been owned. */
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
    this.#options.log.error("Processing orders failed.", { detail });
  }

  #tick(): void {
    const { listPools, getManifest, isLeaving, clock } = this.#options;
    const now = clock();
    const { tickMs = TICK_MS } = this.#options;
    // While this process was paused the pools may have had another owner.
    if (now - this.#tickedAt > tickMs * MAX_MISSED_TICKS) {
      this.#ownedSince.clear();
    }
    this.#tickedAt = now;
    const pools = listPools();
    this.#recordOwnedPools(pools, now);
    if (isLeaving() || this.#stop.signal.aborted) return;
    for (const pool of pools) {
      const model = findModel(getManifest(), pool.service);
      if (model === undefined || !this.#ownedSince.has(pool.id)) continue;
      this.#reconcilePool(pool, model);
    }
  }

  #recordOwnedPools(pools: readonly PoolSummary[], now: number): void {
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

  /** Reconciles due engines, up to the pool's limit of changing engines. */
  #reconcilePool(pool: PoolSummary, model: Model): void {
    const now = this.#options.clock();
    const ownedSince = this.#ownedSince.get(pool.id);
    const changing = new Set(
      pool.upstreams.filter((each) =>
        this.#getEngine(each).isChanging(each, now)
      ),
    );
    // Idle engines first: their change takes no capacity that is in use.
    const order = [...pool.upstreams].sort((a, b) =>
      Number(isIdle(b)) - Number(isIdle(a))
    );
    for (const summary of order) {
      const canChangeMore = changing.size < getMaxConcurrentChanges(pool);
      if (!canChangeMore && !changing.has(summary)) continue;
      const engine = this.#getEngine(summary);
      // A change of owner or incarnation may have changed what the engine runs.
      const wish = [getDesiredStateKey(model), summary.incarnation, ownedSince]
        .join(" ");
      if (!engine.isReconciliationDue(summary, { wish, now })) continue;
      changing.add(summary);
      void this.#reconcileEngine({ pool, summary, engine, model, wish });
    }
  }

  #getEngine({ upstream }: UpstreamSummary): EngineOrderState {
    let engine = this.#engines.get(upstream.name);
    if (engine === undefined) {
      engine = new EngineOrderState(this.#options.engineTimes ?? {});
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

  /** Reads which orders an engine has carried out and runs the next one due. */
  async #reconcileEngine(reconciliation: Reconciliation): Promise<void> {
    const { engine } = reconciliation;
    engine.isBusy = true;
    try {
      await this.#runDueOrder(reconciliation);
    } catch (cause) {
      this.#backOff(engine);
      this.#logFailure(cause);
    } finally {
      engine.isBusy = false;
      engine.recordEnd(this.#options.clock());
    }
  }

  async #runDueOrder(reconciliation: Reconciliation): Promise<void> {
    const { engine, model, wish, summary: { upstream } } = reconciliation;
    const { orders, slots, clock } = this.#options;
    const done = await orders.list(upstream);
    if (done === undefined) return void this.#backOff(engine);
    const order = findDueOrder(model, done);
    if (order === undefined) return engine.recordFulfilled(wish, clock());
    // Checking for a free slot is cheaper than acquiring a fencing number.
    if (!await slots.hasFree()) return void this.#backOff(engine);
    this.#recordEnd(reconciliation, {
      order,
      end: await this.#runOrder(reconciliation, order),
    });
  }

  #runOrder(reconciliation: Reconciliation, order: Order): Promise<OrderEnd> {
    const { pool, model, summary: { upstream } } = reconciliation;
    return runOrder({
      order,
      upstream,
      ownedSince: this.#ownedSince.get(pool.id) ?? Infinity,
      key: getHolderKey(pool.service, upstream.name),
      isDue: (done) => findDueOrder(model, done)?.id === order.id,
      mayBeSent: () => this.#isOwner(pool.id),
      onSend: (fence) => this.#recordSent(reconciliation, { order, fence }),
      signal: this.#stop.signal,
    }, this.#options);
  }

  #recordSent(
    { pool, engine, summary }: Reconciliation,
    { order, fence }: { order: Order; fence: number },
  ): void {
    const { name } = summary.upstream;
    const holdsBack = pool.upstreams.some((each) =>
      each.upstream.name !== name && !isIdle(each)
    );
    engine.recordSent(summary, { holdsBack, now: this.#options.clock() });
    this.#options.log.info("An order was sent.", {
      upstream: name,
      order: order.id,
      fence,
    });
  }

  #recordEnd(
    { engine, summary }: Reconciliation,
    { order, end }: { order: Order; end: OrderEnd },
  ): void {
    const { log } = this.#options;
    const upstream = summary.upstream.name;
    const fields = { upstream, order: order.id, outcome: end };
    if (end === "done") {
      engine.recordSuccess();
      log.info("An order was carried out.", fields);
      return;
    }
    const waitMs = this.#backOff(engine);
    const isFailure = end === "unknown" || end === "unreachable";
    const level = isFailure ? "warn" : "info";
    log[level]("An order was postponed.", { ...fields, waitMs });
  }

  #backOff(engine: EngineOrderState): number {
    const { random, clock } = this.#options;
    return engine.backOff(clock(), random);
  }
}
