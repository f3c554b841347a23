/** Requests that are still running when the grace time of a stop ends. */
import { setTimeout as sleep } from "node:timers/promises";
import {
  beginStream,
  LocalIngress,
  sendCompleteResponse,
  sendEvent,
} from "./testing/local_ingress.ts";

const GRACE_S = 2;
/** Time limit of a caller that outlasts the grace time. */
const LONG_DEADLINE_MS = 10_000;

let fleet: LocalIngress;

beforeEach(async () => {
  fleet = await new LocalIngress().start({
    upstreams: 2,
    bounds: { graceS: GRACE_S },
    timeoutMs: LONG_DEADLINE_MS,
  });
});

afterEach(async () => {
  await fleet.close();
});

async function untilArrived(count: number): Promise<void> {
  while (fleet.arrived.length < count) await sleep(10);
}

// Guards against requests that were passed on and whose connections are closed
// without an answer at the end of the grace time (LOST).
test("a request whose answer has not begun when the grace ends is answered", async () => {
  fleet.script(() => {});
  const asked = ["/book/x", "/read/x", "/chat/x"].map((path) =>
    fleet.ask({ id: path, path, deadlineMs: LONG_DEADLINE_MS })
  );
  await untilArrived(asked.length);
  const stopped = fleet.daemon.stop();
  for (const answer of await Promise.all(asked)) {
    expect(answer).toMatchObject({ status: 502, isComplete: true });
    expect(answer.headers.connection).toBe("close");
    expect(JSON.parse(answer.text)).toMatchObject({ ran: "unknown" });
  }
  await stopped;
  const bookings = fleet.arrived.filter(({ id }) => id === "/book/x");
  expect(bookings.length).toBe(1);
});

test("a stream that has begun when the grace ends is broken off", async () => {
  fleet.script((request) => {
    beginStream(request);
    sendEvent(request, 1);
  });
  const asked = fleet.ask({
    id: "id-1",
    path: "/plan/x",
    deadlineMs: LONG_DEADLINE_MS,
  });
  await untilArrived(1);
  await fleet.daemon.stop();
  expect(await asked).toMatchObject({ status: 200, isComplete: false });
});

/** Answers of a route after which their usual duration is known. */
const KNOWN_ANSWERS = 32;
const ANSWER_MS = 800;

// Guards against requests that are taken late in the grace time although answers
// of their route take longer than what is left of it (LOST).
test("a request that would outlast the process is refused at once, as not run", async () => {
  fleet.script((request) => {
    setTimeout(() => sendCompleteResponse(request), ANSWER_MS);
  });
  const ask = (id: string) =>
    fleet.ask({ id, path: "/book/x", deadlineMs: LONG_DEADLINE_MS });
  await Promise.all(
    Array.from({ length: KNOWN_ANSWERS }, (_, each) => ask(`known-${each}`)),
  );
  const stopped = fleet.daemon.stop();
  const early = ask("early");
  await sleep(GRACE_S * 1_000 / 2);
  const askedAt = performance.now();
  const late = await ask("late");
  expect(performance.now() - askedAt).toBeLessThan(ANSWER_MS / 2);
  expect(late).toMatchObject({ status: 503, isComplete: true });
  expect(JSON.parse(late.text)).toMatchObject({
    type: "urn:corianderflow:router-stopping",
    ran: "no",
  });
  expect(Number(late.headers["retry-after"])).toBeLessThan(0.5);
  expect(await early).toMatchObject({ status: 200, text: "ok" });
  await stopped;
  expect(fleet.arrived.some(({ id }) => id === "late")).toBe(false);
});
