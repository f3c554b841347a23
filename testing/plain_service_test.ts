import { Agent, request } from "undici";
import { getBodyDigest, PlainService } from "./plain_service.ts";

let service: PlainService;
let origin: string;
let agent: Agent;

beforeEach(async () => {
  service = new PlainService({ name: "p", serviceMs: 1 });
  origin = `http://${await service.listen(0)}`;
  agent = new Agent();
});

afterEach(async () => {
  service.close();
  await agent.destroy();
});

function book(key: string) {
  return request(`${origin}/bookings/7`, {
    method: "PUT",
    dispatcher: agent,
    headers: { "idempotency-key": key },
    body: "two seats",
  });
}

async function getRuns() {
  const answer = await request(`${origin}/control/runs`);
  return await answer.body.json();
}

function sendControl(control: Record<string, unknown>) {
  const body = JSON.stringify(control);
  return request(`${origin}/control`, { method: "POST", body });
}

describe("PlainService", () => {
  test("counts every run of a key", async () => {
    await book("k");
    const answer = await book("k");
    expect(await answer.body.json()).toEqual({
      key: "k",
      runs: 2,
      path: "/bookings/7",
      bodyDigest: getBodyDigest("two seats"),
    });
    expect(answer.headers["x-load"]).toContain("in-flight=");
    expect(await getRuns()).toEqual({ k: 2 });
  });

  test("closes the connection before or after a run on request", async () => {
    await sendControl({ failBefore: 1 });
    await expect(book("before")).rejects.toThrow();
    await sendControl({ failAfter: 1 });
    await expect(book("after")).rejects.toThrow();
    expect(await getRuns()).toEqual({ after: 1 });
  });
});
