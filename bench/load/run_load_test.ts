import { Agent, request } from "undici";
import { Engine } from "../../testing/engine.ts";
import { PlainService } from "../../testing/plain_service.ts";
import { runLoad } from "./run_load.ts";

const keys = ["large-key", "small-key"];

async function postControl(address: string, order: unknown): Promise<void> {
  const dispatcher = new Agent();
  const body = JSON.stringify(order);
  const url = `http://${address}/control`;
  await request(url, { method: "POST", body, dispatcher });
  await dispatcher.close();
}

describe("runLoad", () => {
  test("checks the responses of returning chats", async () => {
    const options = { name: "e", coldMs: 0, hardLimit: 1_000, tokenMs: 1 };
    const engine = new Engine(options);
    const router = await engine.listen(0);
    await postControl(router, { failAmid: 1 });
    const report = await runLoad({
      routers: [router],
      keys,
      chats: 10,
      seconds: 1,
      rate: 100,
      pollMs: 0,
      minPauseMs: 0,
      surge: { key: "small-key", rate: 50, fromSecond: 0, seconds: 1 },
    });
    engine.close();
    const { chats, cacheReuse, firstTokenMs, wholeAnswerMs } = report;
    expect(chats.sent).toBeGreaterThan(0);
    expect(chats.broken).toBe(1);
    expect(chats.whole).toBe(chats.sent - 1);
    expect(firstTokenMs.count + wholeAnswerMs.count).toBe(chats.whole);
    expect(cacheReuse.turns).toBeGreaterThan(0);
    expect(cacheReuse).toMatchObject({ ratio: 1, withoutHeaders: 0 });
    expect(report.perUpstream).toEqual({ unnamed: chats.whole });
    expect(Object.keys(report.chatsByKey).sort()).toEqual(keys);
  });

  test("reports bookings that ran twice", async () => {
    const service = new PlainService({ name: "p", coldMs: 0, serviceMs: 1 });
    const router = await service.listen(0);
    const report = await runLoad({
      routers: [router],
      keys,
      seconds: 0.5,
      rate: 0,
      bookingRate: 40,
      concurrentDuplicateShare: 1,
      lateDuplicateShare: 0,
      pollMs: 0,
      plainServices: [router],
    });
    service.close();
    const { bookings, bookingRuns } = report;
    expect(bookings.whole).toBeGreaterThan(0);
    expect(bookings.brokenBy).toEqual({ "ran-twice": bookings.whole });
    expect(bookingRuns?.ranTwice).toHaveLength(bookings.whole);
    expect(bookingRuns?.ran).toBe(bookings.whole);
  });
});
