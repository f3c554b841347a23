/**
 * Streams of upstreams with several software versions, as one router continues
 * and resumes them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  beginStream,
  endStream,
  LocalIngress,
  type ReceivedRequest,
  sendEvent,
} from "./testing/local_ingress.ts";

const UPSTREAMS = 4;
/** As in the configuration of `LocalIngress`. */
const ROUTE_TIMEOUT_MS = 2_000;
const EVENTS = 3;

let fleet: LocalIngress;

beforeEach(async () => {
  fleet = await new LocalIngress().start({ upstreams: UPSTREAMS });
});

afterEach(async () => {
  await fleet.close();
});

/** Gives the upstreams versions, in turn, and waits until the router knows. */
async function setVersions(...versions: string[]): Promise<void> {
  for (const [index, upstream] of fleet.upstreams.entries()) {
    const version = versions[index % versions.length]!;
    fleet.putUpstream(upstream, { version, born: 7 });
    await fleet.untilLogged({ upstream: upstream.id, bornAt: 7 });
  }
}

function getVersion(upstream: number, ...versions: string[]): string {
  return versions[upstream % versions.length]!;
}

function sendRest(request: ReceivedRequest): void {
  const from = Number(request.headers["last-event-id"] ?? 0);
  beginStream(request);
  for (let id = from + 1; id <= EVENTS; id++) sendEvent(request, id);
  endStream(request);
}

/** Sends one event and breaks the connection off, once. */
function breakOffOnce() {
  let hasBroken = false;
  fleet.script((request) => {
    if (hasBroken) return sendRest(request);
    hasBroken = true;
    beginStream(request);
    sendEvent(request, 1);
    setTimeout(() => request.socket.destroy(), 20);
  });
}

function listArrivedVersions(...versions: string[]): string[] {
  return fleet.upstreams.flatMap(({ arrived }, index) =>
    arrived.map(() => getVersion(index, ...versions))
  );
}

// Guards against answers that go on at another software version (ORDER).
test("a stream goes on within an answer at the version that began it", async () => {
  await setVersions("v1", "v2");
  for (let each = 0; each < 8; each++) {
    breakOffOnce();
    const before = listArrivedVersions("v1", "v2");
    const answer = await fleet.ask({ id: `id-${each}`, path: "/chat/x" });
    expect(answer.isComplete).toBe(true);
    const added = fleet.upstreams.flatMap(({ arrived }, index) =>
      arrived.filter(({ id }) => id === `id-${each}`)
        .map(() => getVersion(index, "v1", "v2"))
    );
    expect(before.length + added.length)
      .toBe(listArrivedVersions("v1", "v2").length);
    expect(added).toHaveLength(2);
    expect(new Set(added).size).toBe(1);
  }
});

test("an answer breaks off if no other upstream has its version", async () => {
  await setVersions("v1", "v2", "v3", "v4");
  breakOffOnce();
  const answer = await fleet.ask({ path: "/chat/x" });
  expect(answer.isComplete).toBe(false);
  expect(fleet.arrived).toHaveLength(1);
});

// Guards against callers whose streams go on at any version (ORDER), and against
// streams that could go on and are refused (LOST).
test("a caller's stream is resumed at the version that began it", async () => {
  await setVersions("v1", "v2");
  fleet.script(sendRest);
  for (let each = 0; each < 8; each++) {
    const id = `id-${each}`;
    expect((await fleet.ask({ id, path: "/chat/x" })).isComplete).toBe(true);
    const answer = await fleet.ask({
      id: `${id}-again`,
      path: "/chat/x",
      headers: { "last-event-id": "1", "resumes": id },
    });
    expect(answer.text).not.toContain("id: 1\n");
    expect(answer.isComplete).toBe(true);
    const versions = fleet.upstreams.flatMap(({ arrived }, index) =>
      arrived.filter((request) => request.id.startsWith(id))
        .map(() => getVersion(index, "v1", "v2"))
    );
    expect(versions).toHaveLength(2);
    expect(new Set(versions).size).toBe(1);
  }
});

test("a stream whose version is unknown is refused as not run", async () => {
  await setVersions("v1", "v2");
  fleet.script(sendRest);
  const answer = await fleet.ask({
    path: "/chat/x",
    headers: { "last-event-id": "1", "resumes": "never-seen" },
  });
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.text)).toMatchObject({
    type: "urn:corianderflow:stream-unknown",
    ran: "no",
  });
  expect(fleet.arrived).toHaveLength(0);
});

test("a stream whose version has left is refused as not run", async () => {
  await setVersions("v1");
  fleet.script(sendRest);
  await fleet.ask({ id: "first", path: "/chat/x" });
  // All at once, since the stream is remembered for the route's timeout.
  for (const upstream of fleet.upstreams) {
    fleet.putUpstream(upstream, { version: "v2", born: 8 });
  }
  for (const { id } of fleet.upstreams) {
    await fleet.untilLogged({ upstream: id, bornAt: 8 });
  }
  const answer = await fleet.ask({
    id: "again",
    path: "/chat/x",
    headers: { "last-event-id": "1", "resumes": "first" },
  });
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.text).detail).toContain("version v1");
  expect(fleet.arrived).toHaveLength(1);
});

/** Resumes the stream of the request `first`, as another request. */
function resumeFirst() {
  return fleet.ask({
    id: "again",
    path: "/chat/x",
    headers: { "last-event-id": "1", "resumes": "first" },
  });
}

async function replaceVersion(version: string, born: number): Promise<void> {
  for (const upstream of fleet.upstreams) {
    fleet.putUpstream(upstream, { version, born });
    await fleet.untilLogged({ upstream: upstream.id, bornAt: born });
  }
}

// Guards against a router that started after a version had left, and takes the
// one that it sees for the only one, once it has run for the route's timeout:
// callers resume streams for longer (ORDER).
test("a router that restarts after a version has left refuses its streams", async () => {
  await setVersions("v1");
  fleet.script(sendRest);
  await fleet.ask({ id: "first", path: "/chat/x" });
  await replaceVersion("v2", 8);
  await fleet.untilLogged({ version: "v2", isWritten: true });
  await fleet.restart();
  await sleep(ROUTE_TIMEOUT_MS + 200);
  const answer = await resumeFirst();
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.text).type).toContain("stream-unknown");
  expect(fleet.arrived).toHaveLength(1);
});

// Guards against streams that are refused after a restart of all routers, though
// the service has never had another version (LOST).
test("a router that restarts resumes streams of the only version there was", async () => {
  await setVersions("v1");
  fleet.script(sendRest);
  await fleet.ask({ id: "first", path: "/chat/x" });
  await fleet.untilLogged({ version: "v1", isWritten: true });
  await fleet.restart();
  const answer = await resumeFirst();
  expect(answer.isComplete).toBe(true);
  expect(fleet.arrived.length).toBe(2);
});

test("the same id of another request does not name the stream", async () => {
  await setVersions("v1", "v2");
  fleet.script(sendRest);
  await fleet.ask({ id: "first", path: "/plan/x" });
  const answer = await fleet.ask({
    id: "again",
    path: "/chat/x",
    headers: { "last-event-id": "1", "resumes": "first" },
  });
  expect(answer.status).toBe(503);
});
