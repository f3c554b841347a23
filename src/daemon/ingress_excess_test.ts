/** How routers choose after an upstream has sent without end. */
import {
  beginStream,
  createSignedHead,
  endStream,
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

/** Events of a quick engine, in some seconds. */
const TOKENS = 2_000;
const TOKENS_PER_TICK = 4;

let fleet: LocalIngress;
let count = 0;

beforeAll(async () => {
  fleet = await new LocalIngress().start({
    bounds: { graceS: 1, retrySlack: 500 },
    upstreams: 3,
    timeoutMs: 15_000,
  });
});

afterAll(async () => {
  await fleet.close();
});

function sendEndlessly(request: ReceivedRequest): void {
  const { socket } = request;
  const more = "transfer-encoding: chunked\r\n\r\n";
  const part = "1\r\nb\r\n".repeat(10_000);
  socket.write(createSignedHead(request, { more }));
  function write(): void {
    while (!socket.destroyed && socket.write(part));
  }
  socket.on("drain", write);
  write();
}

async function ask(path = "/read/x"): Promise<number> {
  return (await fleet.ask({ id: `excess-${++count}`, path })).status;
}

// Guards against callers whose requests go to an upstream that sends without end
// for as long as it does (FAULT).
test(
  "an upstream that sends without end is avoided, and comes back",
  async () => {
    const [faulty] = fleet.upstreams;
    faulty!.script = sendEndlessly;
    const endsAt = performance.now() + 3_000;
    while (performance.now() < endsAt) expect(await ask()).toBe(200);
    // At most one after each time for which it is avoided, which doubles.
    expect(faulty!.arrived.length).toBeLessThanOrEqual(5);
    faulty!.script = sendCompleteResponse;
    faulty!.arrived.length = 0;
    while (faulty!.arrived.length === 0) expect(await ask()).toBe(200);
    expect(await ask()).toBe(200);
  },
  20_000,
);

test("a stream of small tokens and comments passes", async () => {
  fleet.script((request) => {
    beginStream(request);
    let sent = 0;
    const timer = setInterval(() => {
      for (let each = 0; each < TOKENS_PER_TICK; each++) {
        const event = ++sent % 10 === 0 ? ":\n\n" : "data: a\n\n";
        request.socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      }
      if (sent < TOKENS) return;
      clearInterval(timer);
      endStream(request);
    }, 10);
  });
  const answer = await fleet.ask({
    id: `excess-${++count}`,
    path: "/plan/x",
    deadlineMs: 15_000,
  });
  expect(answer.isComplete).toBe(true);
  expect(answer.text.match(/data: a/g)).toHaveLength(TOKENS * 0.9);
}, 20_000);

test("what may not be repeated and was dropped counts as run, perhaps", async () => {
  fleet.script(sendEndlessly);
  const answer = await fleet.ask({ id: `excess-${++count}`, path: "/book/x" });
  expect(answer.status).toBe(502);
  expect(JSON.parse(answer.text)).toMatchObject({ ran: "unknown" });
});
