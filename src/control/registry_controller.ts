/**
 * Controller of this router's registration: keeps `routers/<name>` in the
 * key-value service under a lease, and proposes the set of routers that the
 * registrations name.
 *
 * The proposal is damped: a set must have stood unchanged for a while. Any
 * router may propose; the total order of the configuration settles the race.
 */
import { Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { ConfigurationStore } from "../config/configuration_store.ts";
import type { Log } from "../log.ts";
import type { KeyValue } from "../store/key_value.ts";
import type { Router } from "../types.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { Clock, ConfigurationView } from "./views.ts";

/** Options of the controller. */
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
  /** How long a set without a configured router stands before a proposal. */
  readonly removeAfterMs?: number;
  /** How long a set with a new router stands before a proposal. */
  readonly addAfterMs?: number;
}

/** Keeps this router registered. */
export interface RegistryController {
  open(): void;
  /** Takes the registration back, ahead of a planned stop. */
  withdraw(): Promise<void>;
  close(): void;
}

/** Prefix of the registrations. */
export const ROUTERS_PREFIX = "routers/";

const LEASE_SECONDS = 15;
const REMOVE_AFTER_MS = 30_000;
const ADD_AFTER_MS = 2_000;
const TICK_MS = 1_000;
/** Part of the lease after which it is renewed. */
const RENEW_PART = 1 / 3;
const MS_PER_SECOND = 1_000;
/** Reads of the registrations while the set matches the configuration. */
const IDLE_READ_MS = 5_000;

const RouterSchema = Type.Object({
  name: Type.String(),
  failureDomain: Type.String(),
  controlAddress: Type.String(),
  forwardAddress: Type.String(),
});

/** Creates the controller; `open` starts it. */
export function createRegistryController(
  options: RegistryOptions,
): RegistryController {
  return new LeasedRegistry(options);
}

class LeasedRegistry implements RegistryController {
  readonly #options: RegistryOptions;
  readonly #task: Task<"tick">;
  #timer: NodeJS.Timeout | undefined;
  #lease: string | undefined;
  #renewedAt = -Infinity;
  #readAt = -Infinity;
  #candidate = "";
  #candidateSince = 0;
  #isWithdrawn = false;

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
    this.#timer = setInterval(() => this.#task.send("tick"), TICK_MS);
  }

  async withdraw(): Promise<void> {
    this.#isWithdrawn = true;
    if (this.#lease === undefined) return;
    await this.#options.keyValue.revokeLease(this.#lease);
    this.#lease = undefined;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#task.stop();
  }

  async #tick(): Promise<void> {
    if (this.#isWithdrawn) return;
    await this.#keepRegistered();
    await this.#propose();
  }

  async #keepRegistered(): Promise<void> {
    const { keyValue, clock, leaseSeconds = LEASE_SECONDS } = this.#options;
    const now = clock();
    const renewMs = leaseSeconds * MS_PER_SECOND * RENEW_PART;
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

  async #propose(): Promise<void> {
    const { keyValue, clock, configuration } = this.#options;
    const current = configuration.current();
    const now = clock();
    const isPending = this.#candidate !== "";
    const isNew = !current.routers.some(({ name }) =>
      name === this.#options.self.name
    );
    if (!isPending && !isNew && now - this.#readAt < IDLE_READ_MS) return;
    const listing = await keyValue.list(ROUTERS_PREFIX);
    if (listing.err) return;
    this.#readAt = now;
    const registered = parseRouters(
      listing.val.items.map(({ value }) => value),
    );
    await this.#compare(registered, now);
  }

  async #compare(registered: readonly Router[], now: number): Promise<void> {
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
    const waitMs = this.#waitFor(current.routers, registered);
    if (now - this.#candidateSince < waitMs) return;
    await this.#commit(registered, current.version);
  }

  /** A lost router may come back; a new one is wanted soon. */
  #waitFor(
    configured: readonly Router[],
    registered: readonly Router[],
  ): number {
    const { removeAfterMs = REMOVE_AFTER_MS, addAfterMs = ADD_AFTER_MS } =
      this.#options;
    const isMissing = configured.some(({ name }) =>
      !registered.some((router) => router.name === name)
    );
    return isMissing ? removeAfterMs : addAfterMs;
  }

  async #commit(
    routers: readonly Router[],
    basedOn: number,
  ): Promise<void> {
    const { store, self, log } = this.#options;
    const change = { kind: "routers", routers } as const;
    const commit = await store.commit(self.name, change, { basedOn });
    this.#candidate = "";
    const names = routers.map(({ name }) => name);
    if (commit.ok) {
      log.info("Proposed the set of routers.", {
        version: commit.val.version,
        routers: names,
      });
      return;
    }
    log.info("A proposal of routers was not accepted.", {
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
