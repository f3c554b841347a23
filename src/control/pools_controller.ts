/**
 * Manages the pools of the configuration: assigns upstreams and replicas to
 * pools, and keeps the controller of each pool of which this router is a
 * replica.
 *
 * The number of pools of a service is the smallest power of two for which a
 * pool has at most `MAX_MEAN_UPSTREAMS_PER_POOL` upstreams on average.
 */
import type { Configuration } from "../config/configuration.ts";
import type { Service, Upstream } from "../config/manifest.ts";
import type { Hash } from "../policy/rendezvous.ts";
import {
  getPoolIndex,
  rankByRendezvous,
  rankByWeightedRendezvous,
} from "../policy/rendezvous.ts";
import type { PoolDirectory, PoolLocation } from "./pool.ts";
import type { PoolController } from "./pool_controller.ts";
import type { PoolSummary } from "./pool_summary.ts";

/** Maximum average number of upstreams per pool of a service. */
const MAX_MEAN_UPSTREAMS_PER_POOL = 32;
/** Number of routers that may own a pool. */
const REPLICA_COUNT = 3;

/** Assignment of upstreams and replicas to one pool. */
export interface PoolPlan {
  readonly id: string;
  readonly service: Service;
  readonly upstreams: readonly Upstream[];
  /** Names of the routers that may own the pool, in order of preference. */
  readonly replicas: readonly string[];
}

/** Returns the number of pools of a service, a power of two. */
export function poolCountOf(service: Service): number {
  let count = 1;
  while (service.upstreams.length > count * MAX_MEAN_UPSTREAMS_PER_POOL) {
    count *= 2;
  }
  return count;
}

function createPoolId(service: Service, index: number): string {
  return `${service.name}/${index}`;
}

/** Computes the pools of a configuration. */
export function planPools(
  { manifest, routers }: Configuration,
  hash: Hash,
): PoolPlan[] {
  const names = routers.map(({ name }) => name);
  const plans: PoolPlan[] = [];
  for (const service of manifest?.services ?? []) {
    const count = poolCountOf(service);
    for (let index = 0; index < count; index++) {
      const id = createPoolId(service, index);
      const upstreams = service.upstreams.filter(({ name }) =>
        getPoolIndex(name, count, { hash }) === index
      );
      const replicas = rankByRendezvous(id, names, { hash })
        .slice(0, REPLICA_COUNT);
      plans.push({ id, service, upstreams, replicas });
    }
  }
  return plans;
}

/** Whether `self` believes it owns a pool and holds all of its ranks. */
export function isSoleOwner(
  { owner, heldRanks, replicas }: PoolSummary,
  self: string,
): boolean {
  if (owner !== self || replicas.length === 0) return false;
  return replicas.every((replica) => heldRanks.includes(replica));
}

/** Options of the pools controller. */
export interface PoolsOptions {
  readonly self: string;
  readonly hash: Hash;
  createPool(id: string): PoolController;
}

/** The pools of this router. */
export interface PoolsController extends PoolDirectory {
  /**
   * Applies a configuration. `hasGap` means that this router missed router sets
   * between the last configuration and this one.
   */
  configure(configuration: Configuration, options: { hasGap: boolean }): void;
  /**
   * Controllers of the pools of which this router is or was a replica, without
   * those that are no longer configured.
   */
  list(): readonly PoolController[];
  /** Like `get`, but also finds pools of which it is a former replica. */
  getController(pool: string): PoolController | undefined;
  /** Names of the other routers that are replicas of a pool of this router. */
  neighbours(): readonly string[];
  close(): void;
}

/** Creates a controller that has no pools until it is configured. */
export function createPoolsController(options: PoolsOptions): PoolsController {
  return new RendezvousPools(options);
}

class RendezvousPools implements PoolsController {
  readonly #options: PoolsOptions;
  readonly #controllers = new Map<string, PoolController>();
  #plans = new Map<string, PoolPlan>();

  constructor(options: PoolsOptions) {
    this.#options = options;
  }

  configure(
    configuration: Configuration,
    { hasGap }: { hasGap: boolean },
  ): void {
    const { hash, self } = this.#options;
    const plans = planPools(configuration, hash);
    this.#plans = new Map(plans.map((plan) => [plan.id, plan]));
    for (const plan of plans) {
      const isReplica = plan.replicas.includes(self);
      // A former replica keeps its controller, as it may have requests in
      // flight.
      if (!isReplica && !this.#controllers.has(plan.id)) continue;
      this.#getOrCreateController(plan.id).configure(plan.service, {
        ...plan,
        hasGap,
      });
    }
    this.#closeUnconfiguredPools();
  }

  locate(service: Service, chat: string | undefined): PoolLocation {
    const pool = this.#findPoolId(service, chat);
    return { pool, replicas: this.#plans.get(pool)?.replicas ?? [] };
  }

  get(pool: string): PoolController | undefined {
    const plan = this.#plans.get(pool);
    if (!plan?.replicas.includes(this.#options.self)) return undefined;
    return this.#controllers.get(pool);
  }

  getController(pool: string): PoolController | undefined {
    return this.#controllers.get(pool);
  }

  list(): readonly PoolController[] {
    return [...this.#controllers.values()];
  }

  neighbours(): readonly string[] {
    const { self } = this.#options;
    const names = new Set<string>();
    for (const { replicas } of this.#plans.values()) {
      if (!replicas.includes(self)) continue;
      for (const name of replicas) names.add(name);
    }
    names.delete(self);
    return [...names];
  }

  close(): void {
    for (const controller of this.#controllers.values()) controller.close();
    this.#controllers.clear();
  }

  #getOrCreateController(pool: string): PoolController {
    let controller = this.#controllers.get(pool);
    if (controller === undefined) {
      controller = this.#options.createPool(pool);
      this.#controllers.set(pool, controller);
    }
    return controller;
  }

  /** Closes the pools that are no longer configured. */
  #closeUnconfiguredPools(): void {
    for (const [id, controller] of this.#controllers) {
      if (this.#plans.has(id)) continue;
      controller.close();
      this.#controllers.delete(id);
    }
  }

  #findPoolId(service: Service, chat: string | undefined): string {
    const count = poolCountOf(service);
    if (count === 1) return createPoolId(service, 0);
    const { hash } = this.#options;
    const sizes = new Map<string, number>();
    for (let index = 0; index < count; index++) {
      const id = createPoolId(service, index);
      sizes.set(id, this.#plans.get(id)?.upstreams.length ?? 0);
    }
    const [first] = rankByWeightedRendezvous(
      chat ?? crypto.randomUUID(),
      [...sizes.keys()],
      { hash, weightOf: (id) => sizes.get(id) ?? 0 },
    );
    return first ?? createPoolId(service, 0);
  }
}
