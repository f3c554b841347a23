/** Entries of upstreams in an older copy of the store, to which it returned. */
import { Ok } from "ts-results/result";
import { ProcessChecks } from "../ingress/process_check.ts";
import { createLogFactory } from "../log.ts";
import type { MetadataStore } from "../platform/metadata_store.ts";
import { getStorePollIntervals } from "../policy/poll_pause.ts";
import { RelayPlan } from "../policy/relay_plan.ts";
import { loadHash } from "../policy/rendezvous.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import { createRoutingController } from "./routing_controller.ts";
import { createTaskSystem } from "./task.ts";

const SELF = { name: "router-2", address: "127.0.0.1:12", linkMbps: 0 };
const PACE = getStorePollIntervals({ drainMs: 2_000, applyMs: 2_000 });
const CONFIGURATION = {
  version: 1,
  routes: [],
  services: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  workspaces: undefined,
};
const NOW: UpstreamEntry = {
  id: "up",
  service: "engine",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  softwareVersion: "v2",
  bornAt: 8,
};
/** That of the process before, which has ended long ago. */
const COPIED: UpstreamEntry = { ...NOW, softwareVersion: "v1", bornAt: 7 };

function readClocks() {
  return { steady: performance.now(), wall: Date.now() };
}

// Guards against streams of a version that go on at, or are told for, a process
// of another one, since the store has returned to a copy from before its start
// and a connection is taken to prove what that copy says (ORDER).
test("a connection does not prove an entry of an older copy of the store", async () => {
  let era = 0;
  const revision = 100;
  const store = {
    readAll: () =>
      Promise.resolve(Ok({
        changes: [
          { kind: "configuration", configuration: CONFIGURATION },
          { kind: "upstream", entry: era === 0 ? NOW : COPIED },
        ],
        revision,
        sentAt: readClocks(),
        era,
      })),
    poll: () =>
      Promise.resolve(Ok({
        kind: "changes",
        changes: [],
        revision,
        sentAt: readClocks(),
        era,
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
    fetchConfiguration: () => Promise.resolve(Ok(undefined)),
    heartbeatMs: 1_200,
  });
  // As the ingress router passes the age of the view.
  const processes = new ProcessChecks({
    clock: () => performance.now(),
    getViewAgeMs: () => routing.getViewAgeMs(),
    connections: {
      // To the process that runs, for a minute.
      isOpenSince: (_, at) => at >= performance.now() - 60_000,
      send: () => {
        throw new Error("not asked");
      },
    },
  });
  routing.open();
  const openedAt = performance.now();
  const find = () => routing.directory.find("up")?.entry;
  while (find() === undefined && performance.now() - openedAt < 3_000) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const isProvenBefore = processes.isProven(find()!);
  era = 1;
  while (find()?.bornAt === 8 && performance.now() - openedAt < 4_000) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const entry = find()!;
  const hasVersion = routing.directory.hasVersion(
    "up",
    "v1",
    performance.now(),
  );
  const isProven = processes.isProven(entry);
  await routing.close();
  tasks.close();
  expect(isProvenBefore).toBe(true);
  // The router would send a stream of v1 there without a question.
  expect({ entry: entry.bornAt, isCertain: hasVersion && isProven })
    .not.toEqual({ entry: 7, isCertain: true });
});

// Guards against keys that were taken away and run at a router that was cut off
// from the removal: it has run since before the store returned to a copy, and
// takes its own older configuration for the newest (CONFIG).
test("a running router asks others for what the store has lost", async () => {
  let era = 0;
  const position = () => ({ revision: 100, sentAt: readClocks(), era });
  const store = {
    readAll: () =>
      Promise.resolve(Ok({
        changes: [
          { kind: "configuration", configuration: CONFIGURATION },
          { ...SELF, kind: "router", name: "router-0", address: "127.0.0.1:1" },
          { kind: "upstream", entry: era === 0 ? NOW : COPIED },
        ],
        ...position(),
      })),
    poll: () =>
      Promise.resolve(Ok({ kind: "changes", changes: [], ...position() })),
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
    // The other router has seen the removal.
    fetchConfiguration: () =>
      Promise.resolve(Ok({ ...CONFIGURATION, version: 2 })),
    heartbeatMs: 1_200,
  });
  routing.open();
  const openedAt = performance.now();
  const findBornAt = () => routing.directory.find("up")?.entry.bornAt;
  while (findBornAt() === undefined && performance.now() - openedAt < 3_000) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  era = 1;
  while (findBornAt() === 8 && performance.now() - openedAt < 4_000) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const isTrusted = routing.isTrustedAt(readClocks());
  const version = routing.table()?.configuration.version;
  await routing.close();
  tasks.close();
  expect({ isTrusted, version }).toEqual({ isTrusted: true, version: 2 });
});
