/**
 * Streams that callers resume at another router as upstreams of another software
 * version join; that router may be cut off from the others and from the store.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createRelay, type Relay } from "../../testing/relay.ts";
import type { IngressSettings } from "../config/ingress_settings.ts";
import { DatagramCut } from "./testing/datagram_cut.ts";
import {
  beginStream,
  type CallerResponse,
  endStream,
  LocalIngress,
  type ReceivedRequest,
  sendEvent,
} from "./testing/local_ingress.ts";

const STREAMS = 8;
const EVENTS = 3;
/** Exceeds the pause between two polls, after which a new router is known. */
const KNOWN_AFTER_MS = 1_000;
/** Longest wait for the store, and the time of an answer. */
const MAX_INQUIRY_MS = 1_500;

let fleet: LocalIngress;
let datagrams: DatagramCut;
/** Link of the routers 2 and 3 to the store. */
let relay: Relay;
let late: IngressSettings;

beforeEach(async () => {
  datagrams = new DatagramCut().open();
  fleet = await new LocalIngress().start({
    upstreams: 2,
    bounds: { graceS: 1 },
  });
  relay = await createRelay({ target: fleet.store.address });
  const storeAddress = relay.address;
  await fleet.addRouter({ name: "router-2", storeAddress });
  late = await fleet.addRouter({ name: "router-3", storeAddress });
  await fleet.untilLogged({ version: "v1", isWritten: true });
  await sleep(KNOWN_AFTER_MS);
});

afterEach(async () => {
  await relay.setFaults({ cutOneWay: "none" });
  await fleet.close();
  await relay.close();
  datagrams.close();
});

function sendRest(request: ReceivedRequest): void {
  const from = Number(request.headers["last-event-id"] ?? 0);
  beginStream(request);
  for (let id = from + 1; id <= EVENTS; id++) sendEvent(request, id);
  endStream(request);
}

/** Keeps the routers 2 and 3 from the store. */
async function cutStore(): Promise<void> {
  await relay.setFaults({ cutOneWay: "to-client" });
}

/** Adds upstreams of v2, to which the first router sends streams. */
async function addOtherVersion(): Promise<void> {
  for (const id of ["up-2", "up-3"]) {
    const upstream = await fleet.addUpstream(id);
    upstream.script = sendRest;
    fleet.putUpstream(upstream, { version: "v2", born: 7 });
    await fleet.untilLogged({ upstream: id, router: "router-1", bornAt: 7 });
  }
}

/**
 * Begins STREAMS streams, and more until `isReached`, since their placement is
 * partly random.
 *
 * @returns their number
 */
async function beginStreams(
  prefix: string,
  router: IngressSettings,
  isReached = () => true,
): Promise<number> {
  fleet.script(sendRest);
  let count = 0;
  while (count < STREAMS || !isReached()) {
    await fleet.ask({ id: `${prefix}-${count++}`, path: "/chat/x", router });
  }
  return count;
}

function resume(id: string, router: IngressSettings) {
  return fleet.ask({
    id: `${id}-again`,
    path: "/chat/x",
    headers: { "last-event-id": "1", "resumes": id },
    router,
  });
}

/** Versions of the upstreams that took part in a stream, once for each try. */
function listVersions(id: string): string[] {
  return fleet.upstreams.flatMap((upstream, index) =>
    // The id of another stream may begin with this one.
    upstream.arrived.filter((each) =>
      each.id === id || each.id.startsWith(`${id}-`)
    )
      .map(() => index < 2 ? "v1" : "v2")
  );
}

function countMixed(prefix: string, length = STREAMS): number {
  return Array.from({ length }, (_, each) => `${prefix}-${each}`)
    .filter((id) => new Set(listVersions(id)).size > 1).length;
}

async function resumeAll(
  prefix: string,
  router: IngressSettings,
  length = STREAMS,
) {
  return await Promise.all(
    Array.from(
      { length },
      (_, each) => resume(`${prefix}-${each}`, router),
    ),
  );
}

function checkRefused(answers: readonly CallerResponse[]): void {
  for (const { status, text, headers } of answers) {
    expect(status).toBe(503);
    expect(JSON.parse(text)).toMatchObject({
      type: "urn:corianderflow:stream-unknown",
      ran: "no",
    });
    expect(Number(headers["retry-after"])).toBeGreaterThan(0);
  }
}

// Guards against a router that was cut off for a few seconds, has not heard of a
// version that joined meanwhile, and goes on with its streams at the version
// before (ORDER).
test("a router that is cut off refuses streams it can't know, as not run", async () => {
  datagrams.add(late.listen.peers);
  await cutStore();
  await addOtherVersion();
  const third = fleet.upstreams[2]!;
  const count = await beginStreams(
    "other",
    fleet.settings,
    () => third.arrived.length > 0,
  );
  const answers = await resumeAll("other", late, count);
  expect(answers.length).toBeGreaterThanOrEqual(STREAMS);
  expect(countMixed("other", count)).toBe(0);
  checkRefused(answers);
});

// Guards against the same where routers that are as far behind answer (ORDER).
test("routers that are out of step do not confirm each other", async () => {
  datagrams.add(fleet.settings.listen.peers);
  await cutStore();
  await addOtherVersion();
  await beginStreams("other", fleet.settings);
  const answers = await resumeAll("other", late);
  expect(countMixed("other")).toBe(0);
  checkRefused(answers);
});

// Guards against the same where they reach the store again, but their watches
// return nothing and so seem to confirm what they know (ORDER).
test("a watch that returns nothing does not prove a sole version", async () => {
  datagrams.add(fleet.settings.listen.peers);
  await cutStore();
  await addOtherVersion();
  await beginStreams("other", fleet.settings);
  fleet.store.faults.withholdsEvents = true;
  await relay.setFaults({ cutOneWay: "none" });
  for (const router of ["router-2", "router-3"]) {
    await fleet.untilLogged({
      message: "config: The metadata store is regained.",
      router,
    });
  }
  const answers = await resumeAll("other", late);
  expect(countMixed("other")).toBe(0);
  checkRefused(answers);
});

// Guards against the same where the store has returned to a copy from before the
// version joined (ORDER).
test("a store that has returned to a copy does not prove a sole version", async () => {
  datagrams.add(fleet.settings.listen.peers);
  fleet.store.saveCopy();
  await cutStore();
  await addOtherVersion();
  await beginStreams("other", fleet.settings);
  fleet.store.returnToCopy();
  await relay.setFaults({ cutOneWay: "none" });
  for (const router of ["router-2", "router-3"]) {
    await fleet.untilLogged({
      message: "config: The store has returned to an older copy of its state.",
      router,
    });
  }
  const answers = await resumeAll("other", late);
  expect(countMixed("other")).toBe(0);
  checkRefused(answers);
});

// Guards against streams that are refused where others know them (LOST).
test("a router whose view of the store stands still resumes what others know", async () => {
  await beginStreams("first", fleet.settings);
  await cutStore();
  await addOtherVersion();
  for (const { status, isComplete } of await resumeAll("first", late)) {
    expect({ status, isComplete }).toEqual({ status: 200, isComplete: true });
  }
  expect(countMixed("first")).toBe(0);
});

// Guards against streams that are refused after messages were lost, though the
// service has had one version (LOST).
test("streams of which nobody was told go on at the only version", async () => {
  datagrams.add(fleet.settings.listen.peers);
  await beginStreams("first", fleet.settings);
  for (const { status } of await resumeAll("first", late)) {
    expect(status).toBe(200);
  }
  const readMs = performance.now();
  const ranges = fleet.store.calls.get("/corianderflow/kv-range")!;
  await resumeAll("none", late);
  expect(performance.now() - readMs).toBeLessThan(MAX_INQUIRY_MS);
  expect(fleet.store.calls.get("/corianderflow/kv-range")! - ranges)
    .toBeLessThanOrEqual(1);
});

// Guards against streams that only the router which ended knew, since their
// service had one version when they began (LOST).
test("streams of a router that ended go on after another version has joined", async () => {
  const ended = await fleet.addRouter({ name: "router-4" });
  await sleep(KNOWN_AFTER_MS);
  await beginStreams("first", ended);
  await fleet.removeRouter("router-4");
  await addOtherVersion();
  for (const { status } of await resumeAll("first", fleet.settings)) {
    expect(status).toBe(200);
  }
  expect(countMixed("first")).toBe(0);
});
