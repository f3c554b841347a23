import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { getExpectedJsonBody } from "./answer.ts";
import { type Fleet, startFleet } from "./fleet.ts";
import { waitFor } from "./fleet_http.ts";

const CHAT = {
  model: "kiln-assistant",
  messages: [{ role: "user", content: "when does the kiln cool" }],
  "max_tokens": 4,
  stream: false,
};

async function chat(address: string): Promise<string> {
  const answer = await request(`http://${address}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: "Bearer rokuro-hakata-key",
      "x-chat-id": "chat-1",
      "content-type": "application/json",
    },
    body: JSON.stringify(CHAT),
    reset: true,
  });
  return await answer.body.text();
}

describe("Fleet", () => {
  let fleet: Fleet;

  beforeAll(async () => {
    fleet = await startFleet({
      directory: mkdtempSync(join(tmpdir(), "fleet-")),
      freePorts: true,
      hasLinks: true,
      routers: 2,
      upstreams: { assistant: 2, booking: 1 },
      settings: {
        limits: { "drain_ms": "200" },
        timing: { "hold_down_ms": "4000" },
      },
    });
  });

  afterAll(async () => {
    expect(await fleet.stopAll()).toEqual({ failed: {} });
  });

  test("serves, loses a router and gets it back", async () => {
    await fleet.apply();
    const [first, second] = fleet.routers;
    const expected = getExpectedJsonBody(CHAT);
    const isWhole = async () => await chat(first!.address) === expected;
    await waitFor("a whole answer", isWhole);
    await second!.kill();
    await expect(second!.getState()).rejects.toThrow();
    await second!.start();
    const version = await fleet.operator.setFailureDomain("kyushu-a", "out");
    await fleet.waitForVersion(version);
    expect(await chat(second!.address)).toBe(expected);
    const records = await Promise.all(
      fleet.engines.map((engine) => engine.getRecord()),
    );
    expect(records.map(({ falls }) => falls)).toEqual([0, 0]);
  });
});
