/**
 * Registry controller: keeps this router registered as `routers/<name>` in the
 * key-value service under a lease, and commits the set of registered routers
 * to the configuration.
 *
 * A set is proposed only after it has been unchanged for some time, so that
 * flapping routers do not cause commits. Any router may propose; of concurrent
 * proposals the total order of the configuration log accepts one.
 */
import { Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { ConfigurationStore } from "../config/configuration_store.ts";
import type { Log } from "../log.ts";
import type { KeyValue } from "../store/key_value.ts";
import type { Router } from "../types.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { Clock, ConfigurationView } from "./views.ts";

/** Options of `createRegistryController`. */
export interface RegistryOptions {
  readonly self: Router;
  readonly keyValue: KeyValue;
  readonly store: ConfigurationStore;
  readonly configuration: ConfigurationView;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: TaskSystem;
  /** Time to live of the lease, in seconds. */
  readonly leaseSeconds?: number;
  /**
   * Time for which a set that lacks a configured router must be unchanged
   * before it is proposed, in milliseconds.
   */
  readonly removeAfterMs?: number;
  /**
   * Time for which a set that only adds routers must be unchanged before it is
   * proposed, in milliseconds.
   */
  readonly addAfterMs?: number;
}

/** Keeps this router registered. */
export interface RegistryController {
  /** Starts to register and to propose. */
  open(): void;
  /** Removes the registration before a planned stop. */
  deregister(): Promise<void>;
  close(): void;
}

/** Key prefix of the registrations. */
export const ROUTERS_PREFIX = "routers/";

const LEASE_SECONDS = 15;
const REMOVE_AFTER_MS = 30_000;
const ADD_AFTER_MS = 2_000;
const TICK_INTERVAL_MS = 1_000;
/** Fraction of the lease's time to live after which it is renewed. */
const RENEW_FRACTION = 1 / 3;
const MS_PER_SECOND = 1_000;
/**
 * Interval at which the registrations are read while they match the
 * configuration.
 */
const IDLE_READ_INTERVAL_MS = 5_000;

const RouterSchema = Type.Object({
  name: Type.String(),
  failureDomain: Type.String(),
  controlAddress: Type.String(),
  forwardAddress: Type.String(),
});

/** Creates a registry controller. Call `open` to start it. */
export function createRegistryController(
  options: RegistryOptions,
): RegistryController {
  return new LeasedRegistryController(options);
}

class LeasedRegistryController implements RegistryController {
  readonly #options: RegistryOptions;
  readonly #task: Task<"tick">;
  #timer: NodeJS.Timeout | undefined;
  #lease: string | undefined;
  #renewedAt = -Infinity;
  #readAt = -Infinity;
  #candidate = "";
  #candidateSince = 0;
  #isDeregistered = false;

  constructor(options: RegistryOptions) {
    this.#options = options;
    this.#task = options.tasks.spawn<"tick">("registry", {
      handle: () => this.#tick(),
      onFailure: (cause) => {
        options.log.error("A message failed.", { cause: String(cause) });
      },
    });
  }

  open(): void {
    this.#task.send("tick");
    this.#timer = setInterval(() => this.#task.send("tick"), TICK_INTERVAL_MS);
  }

  async deregister(): Promise<void> {
    this.#isDeregistered = true;
    if (this.#lease === undefined) return;
    await this.#options.keyValue.revokeLease(this.#lease);
    this.#lease = undefined;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#task.stop();
  }

  async #tick(): Promise<void> {
    if (this.#isDeregistered) return;
    await this.#keepRegistered();
    await this.#checkRegistrations();
  }

  async #keepRegistered(): Promise<void> {
    const { keyValue, clock, leaseSeconds = LEASE_SECONDS } = this.#options;
    const now = clock();
    const renewMs = leaseSeconds * MS_PER_SECOND * RENEW_FRACTION;
    if (this.#lease !== undefined) {
      if (now - this.#renewedAt < renewMs) return;
      const renewed = await keyValue.renewLease(this.#lease);
      if (renewed.err) return;
      this.#renewedAt = now;
      if (renewed.val > 0) return;
      this.#lease = undefined;
    }
    await this.#register(leaseSeconds);
  }

  async #register(leaseSeconds: number): Promise<void> {
    const { keyValue, clock, self, log } = this.#options;
    const now = clock();
    const granted = await keyValue.grantLease(leaseSeconds);
    if (granted.err) return;
    const lease = granted.val;
    const key = ROUTERS_PREFIX + self.name;
    const value = JSON.stringify(self);
    const existing = await keyValue.get(key);
    if (existing.err) return;
    const written = existing.val === undefined
      ? await keyValue.create(key, value, { lease })
      : await keyValue.replace(key, value, {
        revision: existing.val.revision,
        lease,
      });
    if (written.err || written.val.kind !== "written") return;
    this.#lease = lease;
    this.#renewedAt = now;
    log.info("Registered this router.", { leaseSeconds });
  }

  async #checkRegistrations(): Promise<void> {
    const { keyValue, clock, configuration } = this.#options;
    const current = configuration.current();
    const now = clock();
    const isPending = this.#candidate !== "";
    const isSelfMissing = !current.routers.some(({ name }) =>
      name === this.#options.self.name
    );
    if (
      !isPending && !isSelfMissing && now - this.#readAt < IDLE_READ_INTERVAL_MS
    ) return;
    const listing = await keyValue.list(ROUTERS_PREFIX);
    if (listing.err) return;
    this.#readAt = now;
    const registered = parseRouters(
      listing.val.items.map(({ value }) => value),
    );
    await this.#proposeWhenStable(registered, now);
  }

  async #proposeWhenStable(
    registered: readonly Router[],
    now: number,
  ): Promise<void> {
    const { configuration } = this.#options;
    const current = configuration.current();
    const candidate = JSON.stringify(registered);
    const isSame = candidate === JSON.stringify(sortRouters(current.routers));
    if (isSame || registered.length === 0) {
      this.#candidate = "";
      return;
    }
    if (candidate !== this.#candidate) {
      this.#candidate = candidate;
      this.#candidateSince = now;
    }
    const waitMs = this.#getWaitMs(current.routers, registered);
    if (now - this.#candidateSince < waitMs) return;
    await this.#commitRouters(registered, current.version);
  }

  /**
   * Returns how long the registered set must be unchanged, in milliseconds. A
   * lost router may return, so its removal waits longer than an addition.
   */
  #getWaitMs(
    configured: readonly Router[],
    registered: readonly Router[],
  ): number {
    const { removeAfterMs = REMOVE_AFTER_MS, addAfterMs = ADD_AFTER_MS } =
      this.#options;
    const isRouterLost = configured.some(({ name }) =>
      !registered.some((router) => router.name === name)
    );
    return isRouterLost ? removeAfterMs : addAfterMs;
  }

  async #commitRouters(
    routers: readonly Router[],
    basedOn: number,
  ): Promise<void> {
    const { store, self, log } = this.#options;
    const change = { kind: "routers", routers } as const;
    const commit = await store.commit(self.name, change, { basedOn });
    this.#candidate = "";
    const names = routers.map(({ name }) => name);
    if (commit.ok) {
      log.info("Committed the registered set of routers.", {
        version: commit.val.version,
        routers: names,
      });
      return;
    }
    log.info("The proposed set of routers was not committed.", {
      reason: commit.val.kind,
    });
  }
}

function sortRouters(routers: readonly Router[]): Router[] {
  return routers
    .map(({ name, failureDomain, controlAddress, forwardAddress }) => ({
      name,
      failureDomain,
      controlAddress,
      forwardAddress,
    }))
    .sort((left, right) => left.name < right.name ? -1 : 1);
}

function parseRouters(values: readonly string[]): Router[] {
  const routers: Router[] = [];
  for (const value of values) {
    const document: unknown = JSON.parse(value);
    if (Value.Check(RouterSchema, document)) routers.push(document);
  }
  return sortRouters(routers);
}
