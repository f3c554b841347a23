/**
 * Routers that are killed amid answers, on fleets of router processes; needs a
 * build. The upstreams send some of their streams without a length.
 */
import { Buffer } from "node:buffer";
import { type IncomingMessage, request as sendRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { EventSplitter } from "../src/transport/event_stream.ts";
import { getEventCount } from "../testing/registered_upstream.ts";
import { ROUTE_HOST } from "./store_chaos_calls.ts";
import type { StoreRouter } from "./store_chaos_fleet.ts";
import { openTestFleet, type TestFleet } from "./testing/test_fleet.ts";

const STREAMS = 24;
const EVENT_INTERVAL_MS = 150;
/** Streams of which the caller has events when the router is killed. */
const MIN_BEGUN_STREAMS = 16;
const MAX_PROBES = 50;
const PROBE_INTERVAL_MS = 100;
const CALL_TIMEOUT_MS = 4_000;
const TEST_TIMEOUT_MS = 60_000;

/** A stream as its caller received it. */
interface ReceivedStream {
  readonly expectedEvents: number;
  readonly events: number;
  /** Whether it is complete by the protocol. */
  readonly isComplete: boolean;
}

async function readStream(
  response: IncomingMessage,
  { requestId, onBegun }: { requestId: string; onBegun: () => void },
): Promise<ReceivedStream> {
  const chunks: Buffer[] = [];
  let isCut = response.statusCode !== 200;
  try {
    for await (const chunk of response) {
      if (chunks.length === 0 && !isCut) onBegun();
      chunks.push(chunk as Buffer);
    }
  } catch {
    isCut = true;
  }
  return {
    expectedEvents: getEventCount(requestId),
    events: new EventSplitter().push(Buffer.concat(chunks)).length,
    // Node reports a response without a length that was reset as complete.
    isComplete: !isCut && response.complete && !response.socket?.errored,
  };
}

/** Sends a request for a stream that may not resume. */
function askStream(
  { fleet }: TestFleet,
  { router, requestId, onBegun }: {
    router: StoreRouter;
    requestId: string;
    onBegun: () => void;
  },
): Promise<ReceivedStream> {
  const [host, port] = router.address.split(":");
  const none = { expectedEvents: getEventCount(requestId), events: 0 };
  return new Promise((resolve) => {
    const request = sendRequest({
      agent: false,
      host,
      port,
      method: "POST",
      path: "/plan/x",
      headers: {
        "host": ROUTE_HOST,
        "authorization": `Bearer ${fleet.key}`,
        "x-attempt-id": requestId,
        "x-deadline-ms": String(CALL_TIMEOUT_MS),
        "x-prompt-prefix": `${requestId}:20`,
        "content-length": "0",
      },
    }, (response) => resolve(readStream(response, { requestId, onBegun })));
    request.on("error", () => resolve({ ...none, isComplete: false }));
    request.end();
  });
}

/** Waits until a router whose links are cut forwards to another. */
async function waitUntilServed(
  test: TestFleet,
  router: StoreRouter,
): Promise<void> {
  for (let probe = 0; probe < MAX_PROBES; probe++) {
    await sleep(PROBE_INTERVAL_MS);
    const requestId = `probe-${probe}`;
    const onBegun = () => {};
    const stream = await askStream(test, { router, requestId, onBegun });
    if (stream.isComplete) return;
  }
  throw new Error("the router does not forward");
}

/** Asks `asked` for streams and kills `killed` amid them. */
async function killAmidStreams(
  test: TestFleet,
  { asked, killed }: { asked: StoreRouter; killed: StoreRouter },
): Promise<ReceivedStream[]> {
  let begun = 0;
  const streams: Promise<ReceivedStream>[] = [];
  await new Promise<void>((resolve) => {
    const onBegun = () => {
      if (++begun === MIN_BEGUN_STREAMS) resolve();
    };
    for (let index = 0; index < STREAMS; index++) {
      const requestId = `stream-${index}`;
      streams.push(askStream(test, { router: asked, requestId, onBegun }));
    }
  });
  test.fleet.signal(killed, "SIGKILL");
  return await Promise.all(streams);
}

function expectNoCutLooksComplete(streams: readonly ReceivedStream[]): void {
  const cut = streams.filter(({ events, expectedEvents }) =>
    events < expectedEvents
  );
  expect(cut.filter(({ events }) => events > 0).length).toBeGreaterThan(
    MIN_BEGUN_STREAMS / 2,
  );
  expect(cut.filter(({ isComplete }) => isComplete)).toEqual([]);
}

let testFleet: TestFleet;

beforeEach(async () => {
  testFleet = await openTestFleet({
    routers: 2,
    engines: 6,
    eventIntervalMs: EVENT_INTERVAL_MS,
    seed: 1,
  });
}, TEST_TIMEOUT_MS);

afterEach(async () => {
  await testFleet.close();
});

// Guards against streams that a killed router cuts and that look complete, since
// its kernel closes their connections as at the end of an answer that has no
// length (ORDER).
test("streams that a killed router cuts do not look complete", async () => {
  const [router] = testFleet.fleet.routers;
  const streams = await killAmidStreams(testFleet, {
    asked: router!,
    killed: router!,
  });
  expectNoCutLooksComplete(streams);
}, TEST_TIMEOUT_MS);

// Guards against the same where the killed router is the one that another
// forwards its requests to.
test(
  "streams that a killed router between cuts do not look complete",
  async () => {
    const [asked, killed] = testFleet.fleet.routers as [
      StoreRouter,
      StoreRouter,
    ];
    testFleet.fleet.cutLinks(asked, "refused");
    await waitUntilServed(testFleet, asked);
    const streams = await killAmidStreams(testFleet, { asked, killed });
    expectNoCutLooksComplete(streams);
  },
  TEST_TIMEOUT_MS,
);
