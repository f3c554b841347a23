/**
 * Streams that engines begin after they have started again with other software,
 * before their new entries have arrived.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  beginStream,
  endStream,
  LocalIngress,
  type ReceivedRequest,
  type ScriptedUpstream,
  sendEvent,
} from "./testing/local_ingress.ts";

const REPORT_PATH = "/corianderflow/report";
const EVENTS = 3;
const OLD_START = 7;
const NEW_START = 8;
/** Time in which a router has looked at its view of the upstreams. */
const LOOK_MS = 400;

let fleet: LocalIngress;
/** Engine that has started again; the first that gets a request. */
let restarted: ScriptedUpstream | undefined;
let reports: number;
/** Another engine that has started again. */
let renewed: ScriptedUpstream | undefined;

beforeEach(async () => {
  restarted = undefined;
  renewed = undefined;
  reports = 0;
  fleet = await new LocalIngress().start({ upstreams: 4, areEngines: true });
  for (const upstream of fleet.upstreams) {
    fleet.putUpstream(upstream, { version: "v1", born: OLD_START });
    await fleet.untilLogged({ upstream: upstream.id, bornAt: OLD_START });
  }
});

afterEach(async () => {
  await fleet.close();
});

function isReport({ head }: ReceivedRequest): boolean {
  return head.includes(REPORT_PATH);
}

function sendReport({ socket }: ReceivedRequest, born: number): void {
  const body = JSON.stringify({ born });
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
}

function sendRest(request: ReceivedRequest): void {
  const from = Number(request.headers["last-event-id"] ?? 0);
  beginStream(request);
  for (let id = from + 1; id <= EVENTS; id++) sendEvent(request, id);
  endStream(request);
}

/**
 * Lets the first engine that gets a request be one that has started again. Its
 * stream breaks off after an event, once `untilBreak` has resolved.
 */
function scriptRestart(
  { untilBreak, reportDelayMs = 0 }: {
    untilBreak: (request: ReceivedRequest) => Promise<unknown>;
    reportDelayMs?: number;
  },
): void {
  for (const upstream of fleet.upstreams) {
    upstream.script = (request) => {
      restarted ??= upstream;
      const isRestarted = restarted === upstream;
      if (isReport(request)) {
        reports++;
        const isNew = isRestarted || renewed === upstream;
        const born = isNew ? NEW_START : OLD_START;
        setTimeout(() => sendReport(request, born), reportDelayMs);
        return;
      }
      if (!isRestarted) return sendRest(request);
      beginStream(request);
      sendEvent(request, 1);
      void untilBreak(request).then(() => request.socket.destroy());
    };
  }
}

/** Requests for streams that reached any engine. */
function listStreams(): ReceivedRequest[] {
  return fleet.arrived.filter((request) => !isReport(request));
}

function resume() {
  return fleet.ask({
    id: "again",
    path: "/chat/x",
    headers: { "last-event-id": "1", "resumes": "first" },
  });
}

// Guards against streams of a restarted engine that go on at the version of its
// old entry (ORDER).
test("a stream of an engine that has restarted does not go on at the version of its entry", async () => {
  scriptRestart({ untilBreak: () => sleep(50) });
  const answer = await fleet.ask({ id: "first", path: "/chat/x" });
  expect(answer.isComplete).toBe(false);
  expect(listStreams()).toHaveLength(1);
});

// Guards against the same in a stream that breaks off before the engine has
// stated when it started.
test("a stream that breaks off at once does not go on at a guessed version", async () => {
  scriptRestart({ untilBreak: () => sleep(5), reportDelayMs: 100 });
  const answer = await fleet.ask({ id: "first", path: "/chat/x" });
  expect(answer.isComplete).toBe(false);
  expect(listStreams()).toHaveLength(1);
});

// Guards against callers who take up such a stream (ORDER).
test("a stream whose version is in doubt is refused as not run", async () => {
  scriptRestart({ untilBreak: () => sleep(50) });
  await fleet.ask({ id: "first", path: "/chat/x" });
  const answer = await resume();
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.text)).toMatchObject({
    type: "urn:corianderflow:stream-unknown",
    ran: "no",
  });
  expect(listStreams()).toHaveLength(1);
});

/** Writes the new entries, and sends an event of the restarted engine later. */
async function putNewEntries(request: ReceivedRequest): Promise<void> {
  renewed = fleet.upstreams.find((each) => each !== restarted);
  const both = [restarted!, renewed!];
  for (const upstream of both) {
    fleet.putUpstream(upstream, { version: "v2", born: NEW_START });
  }
  for (const { id } of both) {
    await fleet.untilLogged({ upstream: id, bornAt: NEW_START });
  }
  await sleep(LOOK_MS);
  sendEvent(request, 2);
  await sleep(LOOK_MS);
}

// Guards against streams that could go on and break off (LOST).
test("a stream goes on at the version that a late entry states", async () => {
  scriptRestart({ untilBreak: putNewEntries });
  const answer = await fleet.ask({ id: "first", path: "/chat/x" });
  expect(answer.isComplete).toBe(true);
  expect(renewed!.arrived.filter((each) => !isReport(each))).toHaveLength(1);
  expect(listStreams()).toHaveLength(2);
});

// Guards against streams of sound engines that can't be taken up, because it was
// not asked which process began them (LOST).
test("a stream goes on that an engine began whose process still runs", async () => {
  for (const upstream of fleet.upstreams) {
    upstream.script = (request) => {
      if (isReport(request)) return sendReport(request, OLD_START);
      if (request.headers["last-event-id"] !== undefined) {
        return sendRest(request);
      }
      beginStream(request);
      sendEvent(request, 1);
    };
  }
  const answer = await fleet.open({ id: "first", path: "/chat/x" });
  await new Promise((resolve) => answer.once("data", resolve));
  answer.destroy();
  expect((await resume()).status).toBe(200);
});

// Guards against first events that wait for a report, and reports for each
// stream, which are priced.
test("no engine is asked while streams end by themselves", async () => {
  fleet.script((request) => {
    if (!isReport(request)) return sendRest(request);
    reports++;
    sendReport(request, OLD_START);
  });
  for (let each = 0; each < 20; each++) {
    await fleet.ask({ id: `id-${each}`, path: "/chat/x" });
  }
  expect(listStreams()).toHaveLength(20);
  expect(reports).toBe(0);
});
