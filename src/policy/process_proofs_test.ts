import type { UpstreamEntry } from "../routing/types.ts";
import {
  isSameProcess,
  ProcessProofs,
  type ReportedStart,
} from "./process_proofs.ts";

const ENTRY: UpstreamEntry = {
  id: "up",
  service: "engine",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  softwareVersion: "v1",
  bornAt: 7,
};

function stated(bornAt: number): ReportedStart {
  return { kind: "stated", bornAt };
}

/** An upstream and a router's connections to it, which end with its process. */
class SimulatedUpstream {
  readonly address: string;
  readonly openedAt: number[] = [];
  bornAt: number;
  entry: UpstreamEntry;

  constructor(index: number) {
    this.address = `10.0.0.${index}:80`;
    this.bornAt = index;
    this.entry = { ...ENTRY, address: this.address, bornAt: this.bornAt };
  }

  restart(bornAt: number): void {
    this.bornAt = bornAt;
    this.openedAt.length = 0;
  }
}

// Guards against streams that are bound to the version of a process that has
// ended (ORDER), and against a call for each stream.
test("a release costs one call for each process, and none is mistaken", () => {
  const upstreams = Array.from(
    { length: 8 },
    (_, index) => new SimulatedUpstream(index),
  );
  const proofs = new ProcessProofs();
  let calls = 0;
  for (let now = 0; now < 60_000; now += 50) {
    const upstream = upstreams[(now / 50) % upstreams.length]!;
    // One upstream restarts each 5 s; its entry follows 1.2 s later.
    const released = upstreams[Math.floor(now / 5_000) % upstreams.length]!;
    if (now % 5_000 === 0 && now > 0) released.restart(now);
    if (now % 5_000 === 1_200 && now > 5_000) {
      released.entry = { ...released.entry, bornAt: released.bornAt };
    }
    upstream.openedAt.push(now);
    const isOpenSince = (since: number) =>
      upstream.openedAt.some((at) => at <= since);
    if (!proofs.isProven(upstream.entry, isOpenSince)) {
      calls++;
      const start = stated(upstream.bornAt);
      proofs.record(upstream.address, { start, askedAt: now });
    }
    expect(proofs.isProven(upstream.entry, isOpenSince))
      .toBe(upstream.entry.bornAt === upstream.bornAt);
  }
  // Eight at first, and in each of the 11 restarts the calls of 1.2 s, in which
  // the upstream is chosen each 0.4 s.
  expect(calls).toBeLessThanOrEqual(8 + 11 * 4);
});

test("a process is proven while a connection from before stays open", () => {
  const proofs = new ProcessProofs();
  expect(proofs.isProven(ENTRY, () => true)).toBe(false);
  proofs.record(ENTRY.address, { start: stated(7), askedAt: 100 });
  expect(proofs.isProven(ENTRY, (since) => since >= 100)).toBe(true);
  expect(proofs.isProven({ ...ENTRY, bornAt: 8 }, () => true)).toBe(false);
  expect(proofs.isProven(ENTRY, () => false)).toBe(false);
  // A connection that is opened later does not prove it again.
  expect(proofs.isProven(ENTRY, () => true)).toBe(false);
});

test("a process that does not answer is not proven", () => {
  const proofs = new ProcessProofs();
  proofs.record(ENTRY.address, { start: stated(7), askedAt: 100 });
  proofs.record(ENTRY.address, { start: { kind: "silent" }, askedAt: 200 });
  expect(proofs.isProven(ENTRY, () => true)).toBe(false);
});

test("only start times that differ tell processes apart", () => {
  expect(isSameProcess(ENTRY, stated(7))).toBe(true);
  expect(isSameProcess(ENTRY, stated(8))).toBe(false);
  expect(isSameProcess(ENTRY, { kind: "unstated" })).toBe(true);
  expect(isSameProcess({ bornAt: undefined }, stated(8))).toBe(true);
  expect(isSameProcess(ENTRY, { kind: "silent" })).toBe(false);
});
