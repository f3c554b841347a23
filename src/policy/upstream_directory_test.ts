import type { UpstreamEntry } from "../routing/types.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";

function createEntry(fields: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    id: "up",
    service: "svc",
    address: "10.0.0.1:80",
    failureDomain: "east",
    slots: 4,
    state: "ready",
    coldLeftMs: 0,
    bornAt: 1,
    ...fields,
  };
}

const AT_0 = { steady: 0, wall: 0 };

test("does not use an upstream that is leaving or removed", () => {
  const directory = new UpstreamDirectory();
  directory.recordEntry(createEntry(), AT_0);
  expect(directory.isUsable("up", 0)).toBe(true);
  directory.recordEntry(createEntry({ state: "leaving" }), AT_0);
  expect(directory.isUsable("up", 0)).toBe(false);
  directory.recordEntry(createEntry({ id: "other" }), AT_0);
  directory.remove("other", 0);
  expect(directory.isUsable("other", 0)).toBe(false);
});

test("removes an entry missing after an outage only if it does not return", () => {
  const directory = new UpstreamDirectory({ returnMs: 2_000 });
  directory.recordEntry(createEntry(), AT_0);
  directory.recordEntry(createEntry({ id: "other" }), AT_0);
  directory.recordStoreUnavailable();
  directory.recordStoreAnswered(10_000);
  directory.remove("up", 10_100);
  directory.remove("other", 10_100);
  expect(directory.isUsable("up", 11_900)).toBe(true);
  directory.recordEntry(createEntry(), { steady: 11_950, wall: 0 });
  expect(directory.isUsable("up", 12_500)).toBe(true);
  expect(directory.isUsable("other", 12_000)).toBe(false);
});

test("removes a leaving upstream at once after an outage", () => {
  const directory = new UpstreamDirectory();
  directory.recordEntry(createEntry({ state: "leaving" }), AT_0);
  directory.recordStoreUnavailable();
  directory.recordStoreAnswered(100);
  directory.remove("up", 200);
  expect(directory.size).toBe(0);
});

test("removes an entry that a listing lacks", () => {
  const directory = new UpstreamDirectory();
  directory.recordEntry(createEntry(), AT_0);
  directory.recordEntry(createEntry({ id: "other" }), AT_0);
  directory.retainOnly(new Set(["other"]), 0);
  expect(directory.listUsable("svc", 0).map(({ entry }) => entry.id))
    .toEqual(["other"]);
});

test("does not use a failure domain out of service; it returns cold", () => {
  const directory = new UpstreamDirectory();
  directory.recordEntry(createEntry(), AT_0);
  directory.takeOut("east");
  expect(directory.listUsable("svc", 0)).toEqual([]);
  directory.bringBack("east");
  directory.recordDomainRestarted("east", { coldMs: 2_400, now: 0 });
  const [known] = directory.listUsable("svc", 0);
  expect(known?.coldUntil).toBe(2_400);
});

test("detects a new process under a known id and uses its cold time", () => {
  const directory = new UpstreamDirectory();
  expect(directory.recordEntry(createEntry(), AT_0)).toBe(true);
  expect(directory.recordEntry(createEntry({ coldLeftMs: 5 }), AT_0)).toBe(
    false,
  );
  const restarted = createEntry({ bornAt: 2, coldLeftMs: 3_000 });
  expect(directory.recordEntry(restarted, { steady: 100, wall: 100 })).toBe(
    true,
  );
  expect(directory.find("up")?.coldUntil).toBe(3_100);
});

test("does not use an address at which another upstream answers", () => {
  const directory = new UpstreamDirectory();
  directory.recordEntry(createEntry(), AT_0);
  directory.recordMisdirected("up", 0);
  expect(directory.isUsable("up", 0)).toBe(false);
  directory.recordEntry(createEntry(), AT_0);
  expect(directory.isUsable("up", 0)).toBe(true);
});

test("distinguishes a plain heartbeat from a change", () => {
  const directory = new UpstreamDirectory();
  const cold = createEntry({ id: "a", coldLeftMs: 3_000 });
  expect(directory.isChange(cold, { steady: 0, wall: 0 })).toBe(true);
  directory.recordEntry(cold, { steady: 0, wall: 0 });
  const later = { steady: 1_200, wall: 1_200 };
  expect(directory.isChange({ ...cold, coldLeftMs: 1_900 }, later)).toBe(false);
  expect(directory.isChange({ ...cold, coldLeftMs: 3_000 }, later)).toBe(true);
  expect(directory.isChange({ ...cold, state: "leaving" }, later)).toBe(true);
  expect(directory.isChange({ ...cold, bornAt: 77 }, later)).toBe(true);
  directory.recordStoreRecoveredAt(1_200);
  directory.remove("a", 1_200);
  expect(directory.isChange({ ...cold, coldLeftMs: 1_800 }, later)).toBe(true);
});

test("does not use a process that has stated that it is leaving", () => {
  const directory = new UpstreamDirectory();
  directory.recordEntry(createEntry(), AT_0);
  expect(directory.recordLeaving("up", { bornAt: 1, now: 0 })).toBe(true);
  expect(directory.recordLeaving("up", { bornAt: 1, now: 1 })).toBe(false);
  expect(directory.listUsable("svc", 0)).toEqual([]);
  // The store may say otherwise, and may lose the entry and find it again.
  directory.recordEntry(createEntry({ slots: 5 }), AT_0);
  directory.remove("up", 0);
  directory.recordEntry(createEntry(), AT_0);
  expect(directory.isUsable("up", 0)).toBe(false);
  directory.recordEntry(createEntry({ bornAt: 2 }), AT_0);
  expect(directory.isUsable("up", 0)).toBe(true);
});

test("uses the process that has replaced the one that is leaving", () => {
  const directory = new UpstreamDirectory();
  directory.recordEntry(createEntry({ bornAt: 2 }), AT_0);
  directory.recordLeaving("up", { bornAt: 1, now: 0 });
  expect(directory.isUsable("up", 0)).toBe(true);
});
