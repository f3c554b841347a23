/**
 * Requests under which upstreams end, and those with a prompt part that ends
 * them, as one router handles them.
 */
import {
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

const UPSTREAMS = 5;

let fleet: LocalIngress;
let count = 0;

beforeEach(async () => {
  fleet = await new LocalIngress().start({ upstreams: UPSTREAMS });
});

afterEach(async () => {
  await fleet.close();
});

/** Sends a request that may run once; the last part is its own. */
function book(...parts: string[]) {
  const id = `id-${++count}`;
  const prompt = [...parts, id].map((part) => `${part}:10`).join();
  return fleet.ask({
    id,
    path: `/book/${id}`,
    headers: { "x-prompt-prefix": prompt },
  });
}

/** Ends the upstream that received the request. */
function endUpstream({ socket }: ReceivedRequest): void {
  fleet.upstreams.find(({ arrived }) =>
    arrived.some((request) => request.socket === socket)
  )!.close();
}

function isBad({ headers }: ReceivedRequest): boolean {
  return headers["x-prompt-prefix"]!.includes("bad:");
}

// Guards against prompts that end upstream after upstream.
test("a part under which three upstreams ended is refused as not run", async () => {
  fleet.script((request) =>
    isBad(request) ? endUpstream(request) : sendCompleteResponse(request)
  );
  for (let each = 0; each < 3; each++) {
    expect((await book("first", "bad")).status).toBe(502);
    expect((await book("first", "good")).status).toBe(200);
  }
  const arrived = fleet.arrived.length;
  const answer = await book("first", "bad");
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.text)).toMatchObject({
    type: "urn:corianderflow:prompt-quarantined",
    ran: "no",
  });
  expect(Number(answer.headers["retry-after"])).toBeGreaterThan(25);
  expect(fleet.arrived).toHaveLength(arrived);
  expect((await book("first", "good")).status).toBe(200);
});

// Guards against sound prompts that are refused because upstreams that go on
// running lose their answers (LOST).
test("connections that upstreams only close quarantine nothing", async () => {
  fleet.script(({ socket }) => socket.destroy());
  for (let each = 0; each < 6; each++) {
    expect((await book("first", "good")).status).toBe(502);
  }
  fleet.script((request) => sendCompleteResponse(request));
  expect((await book("first", "good")).status).toBe(200);
});

test("the metrics state how many parts are quarantined", async () => {
  fleet.script(endUpstream);
  for (let each = 0; each < 3; each++) await book("bad");
  const metrics = await fetch(`http://${fleet.settings.listen.metrics}/`);
  expect(await metrics.text()).toContain(
    "corianderflow_prompt_parts_quarantined 1",
  );
});

// Guards against a request to a plain service that ends upstream after upstream.
test("a request under which three upstreams ended is refused as not run", async () => {
  const bad = { path: "/book/seat", method: "POST", body: "deadly" };
  fleet.script((request) =>
    request.headers["content-length"] === "6"
      ? endUpstream(request)
      : sendCompleteResponse(request)
  );
  for (let each = 0; each < 3; each++) {
    expect((await fleet.ask({ ...bad, id: `bad-${each}` })).status).toBe(502);
    expect((await fleet.ask({ ...bad, id: "good", body: "good" })).status)
      .toBe(200);
  }
  const arrived = fleet.arrived.length;
  const answer = await fleet.ask({ ...bad, id: "bad-4" });
  expect(answer.status).toBe(503);
  expect(JSON.parse(answer.text)).toMatchObject({
    type: "urn:corianderflow:request-quarantined",
    ran: "no",
  });
  expect(fleet.arrived).toHaveLength(arrived);
  expect((await fleet.ask({ ...bad, id: "good", body: "good" })).status)
    .toBe(200);
});
