import { getExpectedAnswer } from "./answer.ts";
import { Attempt } from "./engine_attempt.ts";
import { Batch } from "./engine_batch.ts";
import { CacheEvents } from "./engine_cache_events.ts";
import { PrefixCache } from "./engine_prefix_cache.ts";
import { UpstreamState } from "./upstream_state.ts";

function createAttempt(id: string, priority: number): Attempt {
  const messages = [{ role: "user", content: id }];
  const answer = getExpectedAnswer({ model: "m", messages, max_tokens: 2 });
  return new Attempt({ id, incarnation: "i", answer, chat: id, priority });
}

describe("PrefixCache", () => {
  test("evicts the least recently used and reports it late, with gaps", () => {
    let now = 0;
    const events = new CacheEvents({
      clock: () => now,
      delayMs: 10,
      lossPercent: 30,
    });
    const cache = new PrefixCache(100, events);
    cache.store("a", 60);
    cache.store("b", 40);
    expect(cache.get("a")).toBe(60);
    cache.store("c", 10);
    expect([cache.get("a"), cache.get("b")]).toEqual([60, 0]);
    expect(events.getPage(0)).toEqual({ first: 0, last: 0, events: [] });
    now = 10;
    for (let count = 0; count < 100; count++) cache.store("a", 60);
    const page = events.getPage(0);
    expect(page.last).toBe(4);
    now = 20;
    const { events: all, last } = events.getPage(0);
    expect(last).toBe(104);
    expect(all.length).toBeLessThan(104);
    expect(all.length).toBeGreaterThan(50);
  });
});

describe("Batch", () => {
  test("runs attempts in order of priority", async () => {
    const order: string[] = [];
    const cache = new PrefixCache(1_000, {
      onStored: () => {},
      onEvicted: () => {},
    });
    await new Promise<void>((resolve) => {
      const batch = new Batch({
        cache,
        tokenMs: 1,
        batchSize: 1,
        onDone: ({ id }) => {
          if (order.push(id) === 3) resolve();
        },
      });
      batch.add(createAttempt("low", 0));
      batch.add(createAttempt("high", 5));
      batch.add(createAttempt("middle", 3));
    });
    expect(order).toEqual(["high", "middle", "low"]);
  });
});

describe("UpstreamState", () => {
  test("reports its load with a delay", () => {
    let now = 0;
    const clock = () => now;
    const state = new UpstreamState({ name: "u", coldMs: 100, clock });
    now = 1_000;
    expect(state.tryStart()).toBe("started");
    expect(state.getReport()).toMatchObject({ inFlight: 0, ageMs: 200 });
    now = 1_200;
    expect(state.getReport()).toMatchObject({ inFlight: 1, cold: false });
  });

  test("enforces the cold limit after a grace period once turned cold", () => {
    let now = 0;
    const options = { name: "u", coldMs: 100, coldGraceMs: 50, coldLimit: 1 };
    const state = new UpstreamState({ ...options, clock: () => now });
    now = 200;
    state.turnCold();
    expect(state.tryStart()).toBe("started");
    expect(state.tryStart()).toBe("started");
    now = 251;
    expect(state.tryStart()).toBe("fell");
    expect(state.tryStart()).toBe("down");
  });
});
