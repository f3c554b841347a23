/** A router that starts while one of the routers that it asks does not answer. */
import { Ok } from "ts-results/result";
import { createLogFactory } from "../log.ts";
import type { MetadataStore } from "../platform/metadata_store.ts";
import { getStorePollIntervals } from "../policy/poll_pause.ts";
import { RelayPlan } from "../policy/relay_plan.ts";
import { loadHash } from "../policy/rendezvous.ts";
import type { RoutingConfiguration } from "../routing/types.ts";
import { createRoutingController } from "./routing_controller.ts";
import { createTaskSystem } from "./task.ts";

const SELF = { name: "router-2", address: "127.0.0.1:12", linkMbps: 0 };
const PACE = getStorePollIntervals({ drainMs: 2_000, applyMs: 2_000 });
const SILENT_MS = 300;

function readClocks() {
  return { steady: performance.now(), wall: Date.now() };
}

function createConfiguration(version: number): RoutingConfiguration {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return { version, routes: [], services: [], limits, workspaces: undefined };
}

// Guards against requests that a starting router refuses, instead of waiting with
// them, since a configuration is in force without a confirmation and upstreams.
test("a configuration of another router is in force with the snapshot only", async () => {
  const store = {
    readAll: () =>
      Promise.resolve(Ok({
        changes: [
          { kind: "configuration", configuration: createConfiguration(1) },
          { ...SELF, kind: "router", name: "router-0", address: "127.0.0.1:1" },
          { ...SELF, kind: "router", name: "router-1", address: "127.0.0.1:2" },
        ],
        revision: 100,
        sentAt: readClocks(),
        era: 1,
      })),
    poll: () =>
      Promise.resolve(Ok({
        kind: "changes",
        changes: [],
        revision: 100,
        sentAt: readClocks(),
        era: 1,
      })),
    register: () => Promise.resolve(Ok("lease")),
    renew: () => Promise.resolve(Ok(true)),
    deregister: () => Promise.resolve(Ok(undefined)),
    writeVersions: () => Promise.resolve(Ok(undefined)),
  } as unknown as MetadataStore;
  const tasks = createTaskSystem();
  const routing = createRoutingController({
    self: SELF,
    store,
    now: readClocks,
    log: createLogFactory({ router: SELF.name, level: "error" })("config"),
    tasks,
    revocationMs: 5_000,
    pace: PACE,
    plan: new RelayPlan({ self: SELF.name, hash: await loadHash(), ...PACE }),
    fetchConfiguration: async (address) => {
      if (address === "127.0.0.1:1") return Ok(createConfiguration(2));
      await new Promise((resolve) => setTimeout(resolve, SILENT_MS));
      return Ok(undefined);
    },
    heartbeatMs: 1_200,
  });
  routing.open();
  let untrustedMs = 0;
  const openedAt = performance.now();
  while (!routing.isTrustedAt(readClocks())) {
    if (routing.table() !== undefined) {
      untrustedMs = performance.now() - openedAt;
    }
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await routing.close();
  tasks.close();
  expect(Math.round(untrustedMs)).toBe(0);
});
