/** A routing controller on a stub of the metadata store, for tests. */
import { Ok, type Result } from "ts-results/result";
import { createLogFactory } from "../../log.ts";
import type { MetadataStore } from "../../platform/metadata_store.ts";
import { getStorePollIntervals } from "../../policy/poll_pause.ts";
import { RelayPlan } from "../../policy/relay_plan.ts";
import { loadHash } from "../../policy/rendezvous.ts";
import type {
  Instant,
  RoutingConfiguration,
  StoreChange,
} from "../../routing/types.ts";
import type { PlatformFailure } from "../../store/key_value.ts";
import type { FetchConfiguration } from "../configuration_relay.ts";
import {
  createRoutingController,
  type RolloutStore,
  type RoutingController,
} from "../routing_controller.ts";
import { createTaskSystem } from "../task.ts";

/** Registration of the router under test. */
export const SELF = {
  name: "router-2",
  address: "127.0.0.1:12",
  linkMbps: 0,
} as const;

/** Options of `StubRouting.open`. */
export interface StubRoutingOptions {
  /** Returns what the store holds. */
  readonly listChanges: () => StoreChange[];
  /** Returns the era of the store. */
  readonly getEra: () => number;
  readonly fetchConfiguration?: FetchConfiguration;
  readonly rollouts?: RolloutStore;
}

/** Reads both clocks. */
export function readClocks(): Instant {
  return { steady: performance.now(), wall: Date.now() };
}

/** Creates a configuration of services without routes. */
export function createConfiguration(
  version: number,
  services: readonly string[] = [],
): RoutingConfiguration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return {
    version,
    routes: [],
    services: services.map((name) => ({
      name,
      coldStartMs: 0,
      coldRequestsPerSecond: 0,
      isEngine: false,
    })),
    limits,
    workspaces: undefined,
  };
}

/** Waits until `isTrue`; rejects after 4 s. */
export async function until(isTrue: () => boolean): Promise<void> {
  const endsAt = performance.now() + 4_000;
  while (!isTrue()) {
    if (performance.now() > endsAt) throw new Error("not true within 4 s");
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

function createStore(
  { listChanges, getEra }: StubRoutingOptions,
): MetadataStore {
  function respond<T>(value: T): Promise<Result<T, PlatformFailure>> {
    return Promise.resolve(Ok(value));
  }
  function getPosition() {
    return { revision: 100, sentAt: readClocks(), era: getEra() };
  }
  return {
    readAll: () =>
      respond({
        changes: listChanges(),
        unused: { invalid: 0, leftOut: 0 },
        ...getPosition(),
      }),
    readConfiguration: () =>
      respond({
        configuration: undefined,
        isRejected: false,
        ...getPosition(),
      }),
    readVersions: () => respond({ records: [], ...getPosition() }),
    poll: () =>
      respond({
        kind: "changes" as const,
        changes: [],
        isPartial: false,
        ...getPosition(),
      }),
    register: () => respond("lease"),
    renew: () => respond(true),
    deregister: () => respond(undefined),
    writeVersions: () => respond(undefined),
    writeRollout: () => respond({ kind: "conflict" as const }),
    close: () => Promise.resolve(),
  };
}

/** A routing controller and what it runs on. */
export class StubRouting {
  readonly #tasks = createTaskSystem();
  routing!: RoutingController;

  /** Creates and opens the controller. */
  async open(options: StubRoutingOptions): Promise<this> {
    const pace = getStorePollIntervals({ drainMs: 2_000, applyMs: 2_000 });
    const hash = await loadHash();
    this.routing = createRoutingController({
      self: SELF,
      store: createStore(options),
      now: readClocks,
      log: createLogFactory({ router: SELF.name, level: "error" })("config"),
      tasks: this.#tasks,
      revocationMs: 5_000,
      pace,
      plan: new RelayPlan({ self: SELF.name, hash, ...pace }),
      fetchConfiguration: () => Promise.resolve(Ok(undefined)),
      heartbeatMs: 1_200,
      ...options,
    });
    this.routing.open();
    return this;
  }

  /** Version of the configuration in force. */
  get version(): number | undefined {
    return this.routing.table()?.configuration.version;
  }

  async close(): Promise<void> {
    await this.routing.close();
    this.#tasks.close();
  }
}
