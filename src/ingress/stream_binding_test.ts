/** Streams that begin before it is certain which process serves them. */
import { UpstreamDirectory } from "../policy/upstream_directory.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import type { IngressExchange } from "./ingress_exchange.ts";
import { StreamBinding } from "./stream_binding.ts";

const SERVICE = {
  name: "engine",
  coldStartMs: 0,
  coldRequestsPerSecond: 0,
  isEngine: true,
};
const EXCHANGE = {
  traits: { requestId: "r1" },
  route: { kind: "stream", isResumable: true, timeoutMs: 5_000 },
} as unknown as IngressExchange;
const ENTRY: UpstreamEntry = {
  id: "up",
  service: "engine",
  address: "127.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  softwareVersion: "v1",
  bornAt: 7,
};
const LOOK_MS = 300;

let directory: UpstreamDirectory;
let told: string[];

function readClocks() {
  return { steady: performance.now(), wall: Date.now() };
}

/** Begins a stream by `entry` while its process is not proven. */
function begin(entry: UpstreamEntry): StreamBinding {
  directory = new UpstreamDirectory();
  told = [];
  directory.recordEntry(entry, readClocks());
  const binding = new StreamBinding(EXCHANGE, {
    routing: { directory, confirmView: () => Promise.resolve(false) },
    processes: {
      isProven: () => false,
      ask: () => new Promise(() => {}),
    },
    clock: () => performance.now(),
    onOtherProcess: () => {},
    streams: {
      find: () => Promise.resolve(undefined),
      recordStart: ({ softwareVersion }) => told.push(softwareVersion),
      recordEnd: () => {},
    },
  });
  binding.recordSent(entry, SERVICE);
  binding.recordStart(entry, SERVICE);
  return binding;
}

// Guards against a host that loses power: its connections stay open here, and the
// process that starts there next, whose entry arrives, did not make the first
// event (ORDER).
test("an open connection without data does not bind a stream to a later process", async () => {
  const binding = begin(ENTRY);
  // The host loses power here, restarts, and writes its new entry. The try goes
  // on for its time without data.
  const later = { ...ENTRY, softwareVersion: "v2", bornAt: 8 };
  directory.recordEntry(later, readClocks());
  await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
  binding.recordEnd();
  expect(told).not.toContain("v2");
});

// Guards against a store that returns to an older copy while a stream is in
// doubt: the process of an older entry has not made the first event (ORDER).
test("an entry of an older copy does not bind a stream in doubt", async () => {
  const binding = begin(ENTRY);
  const older = { ...ENTRY, softwareVersion: "v0", bornAt: 6 };
  directory.recordEntry(older, readClocks());
  await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
  binding.recordEnd();
  expect(told).not.toContain("v0");
});
