import fc from "fast-check";
import { PromptQuarantine } from "./prompt_quarantine.ts";
import { type Hash, loadHash } from "./rendezvous.ts";

let hash: Hash;
beforeAll(async () => {
  hash = await loadHash();
});

function createQuarantine(random = () => 0.5): PromptQuarantine {
  return new PromptQuarantine({ hash, random });
}

/** Lets `count` upstreams end, one a second, under a request with `parts`. */
function crash(
  quarantine: PromptQuarantine,
  parts: readonly string[],
  { from = 0, count = 3 }: { from?: number; count?: number } = {},
): number {
  for (let each = from; each < from + count; each++) {
    const now = each * 1_000;
    quarantine.recordCrash(parts, {
      upstream: `up-${each}`,
      sentAt: now - 100,
      now,
    });
  }
  return (from + count - 1) * 1_000;
}

// Pattern: requests with one part crash upstream after upstream.
test("refuses a part under which three upstreams ended one after the other", () => {
  const quarantine = createQuarantine();
  crash(quarantine, ["first", "bad", "own-1"], { count: 2 });
  expect(quarantine.find(["first", "bad", "own-2"], 1_500)).toBeUndefined();
  crash(quarantine, ["second", "bad", "own-3"], { from: 2, count: 1 });
  expect(quarantine.find(["third", "bad", "own-4"], 2_500)).toEqual({
    id: "bad",
    crashes: 3,
    remainingMs: 29_500,
  });
});

// Guards against a loss of several hosts that has nothing to do with prompts.
test("does not refuse a part that was at upstreams lost together", () => {
  const quarantine = createQuarantine();
  for (let each = 0; each < 8; each++) {
    quarantine.recordCrash(["first", "own"], {
      upstream: `up-${each}`,
      sentAt: 0,
      now: 500 + each,
    });
  }
  expect(quarantine.find(["first", "own"], 600)).toBeUndefined();
});

test("an answer clears the parts of its request, also after quarantine", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["first", "bad", "own"]);
  quarantine.recordAnswer(["first", "other", "own"], now + 10);
  expect(quarantine.find(["first", "other", "own"], now + 20)).toBeUndefined();
  expect(quarantine.find(["first", "bad", "own"], now + 20)?.id).toBe("bad");
  quarantine.recordAnswer(["first", "bad", "own"], now + 30);
  expect(quarantine.find(["first", "bad", "own"], now + 40)).toBeUndefined();
});

// Guards against sound requests that are refused because they share the first
// part of the prompt with crashing ones (LOST).
test("serves a part whose crashes another part explains as well", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["first", "bad", "own"]);
  expect(quarantine.find(["first", "other", "own"], now)).toBeUndefined();
  expect(quarantine.find(["first", "bad", "own"], now)).toBeDefined();
});

test("keeps refusing a part when parts of lost sound requests share crashes", () => {
  const quarantine = createQuarantine();
  crash(quarantine, ["bad", "own"], { count: 5 });
  const now = crash(quarantine, ["session", "own"], { from: 2, count: 3 });
  expect(quarantine.find(["bad", "own"], now)?.id).toBe("bad");
  expect(quarantine.find(["session", "own"], now)).toBeUndefined();
});

test("tries a part again after a time that doubles with each crash", () => {
  const quarantine = createQuarantine(() => 0);
  const now = crash(quarantine, ["bad", "own"]);
  expect(quarantine.find(["bad", "own"], now + 29_999)).toBeDefined();
  expect(quarantine.find(["bad", "own"], now + 30_000)).toBeUndefined();
  const next = crash(quarantine, ["bad", "own"], { from: 35, count: 1 });
  expect(quarantine.find(["bad", "own"], next + 59_999)).toBeDefined();
  expect(quarantine.find(["bad", "own"], next + 60_000)).toBeUndefined();
});

test("sends only a tenth of the requests when a part is tried again", () => {
  const quarantine = createQuarantine(() => 0.1);
  const now = crash(quarantine, ["bad", "own"]);
  expect(quarantine.find(["bad", "own"], now + 40_000)).toEqual({
    id: "bad",
    crashes: 3,
    remainingMs: 0,
  });
});

// Guards against routers that each have to see the crashes themselves.
test("adds up the crashes and answers of several routers", () => {
  const routers = [0, 1, 2].map(() => createQuarantine());
  function exchange(now: number): void {
    for (const from of routers) {
      const reports = from.createReports(now);
      for (const to of routers) to.receiveReports(reports, now);
    }
  }
  for (const [index, router] of routers.entries()) {
    const parts = ["first", "bad", "own"];
    exchange(crash(router, parts, { from: index, count: 1 }) + 100);
  }
  const now = 2_200;
  routers[1]!.recordAnswer(["first", "own"], now);
  exchange(now);
  for (const router of routers) {
    expect(router.find(["first", "bad", "own"], now)?.id).toBe("bad");
    expect(router.find(["first", "own"], now)).toBeUndefined();
  }
});

test("news is repeated for two seconds, and a quarantined part for as long as it lasts", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["bad", "own"]);
  quarantine.recordCrash(["session", "own"], {
    upstream: "up-0",
    sentAt: -10,
    now,
  });
  expect(quarantine.createReports(now + 1_999)).toHaveLength(2);
  expect(quarantine.createReports(now + 20_000)).toHaveLength(1);
  expect(quarantine.createReports(now + 200_000)).toEqual([]);
  expect(quarantine.size).toBe(0);
});

test("an answer that was reported is not undone by an older report", () => {
  const one = createQuarantine();
  const other = createQuarantine();
  const now = crash(one, ["session", "own"]);
  const reports = one.createReports(now);
  other.receiveReports(reports, now);
  other.recordAnswer(["session", "own"], now + 50);
  other.receiveReports(reports, now + 60);
  expect(other.find(["session", "own"], now + 70)).toBeUndefined();
  one.receiveReports(other.createReports(now + 100), now + 100);
  expect(one.find(["session", "own"], now + 110)).toBeUndefined();
});

// Guards against callers that fill the memory with prompt parts.
test("remembers a bounded number of parts, and the quarantined ones first", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["bad", "own"]);
  fc.assert(
    fc.property(fc.array(fc.string(), { maxLength: 60 }), (ids) => {
      const parts = ids.map((id, index) => id.padEnd(1_000, String(index)));
      quarantine.recordCrash(parts, { upstream: "up-0", sentAt: 0, now });
      return quarantine.size <= 512 &&
        quarantine.createReports(now).length <= 32;
    }),
    { seed: 7, numRuns: 200 },
  );
  expect(quarantine.find(["bad", "own"], now)?.id).toBe("bad");
});
