import fc from "fast-check";
import { CrashQuarantine, type RequestSubjects } from "./crash_quarantine.ts";
import { type Hash, loadHash } from "./rendezvous.ts";

let hash: Hash;
beforeAll(async () => {
  hash = await loadHash();
});

function createQuarantine(random = () => 0.5): CrashQuarantine {
  return new CrashQuarantine({ hash, random });
}

/** Returns the subjects of a request that comes once. */
function prompt(parts: readonly string[], workspace = "studio") {
  return { workspace, parts, getDigest: () => parts.join() };
}

/** Returns the subjects of a request without prompt parts. */
function plain(digest: string, workspace = "studio"): RequestSubjects {
  return { workspace, parts: [], getDigest: () => digest };
}

/** Lets `count` upstreams end, one a second, under a request with `parts`. */
function crash(
  quarantine: CrashQuarantine,
  request: readonly string[] | RequestSubjects,
  { from = 0, count = 3 }: { from?: number; count?: number } = {},
): number {
  for (let each = from; each < from + count; each++) {
    const now = each * 1_000;
    const subjects = "workspace" in request
      ? request
      : prompt([...request.slice(0, -1), `${request.at(-1)}-${each}`]);
    quarantine.recordCrash(subjects, {
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
  expect(quarantine.find(prompt(["first", "bad", "own-2"]), 1_500))
    .toBeUndefined();
  crash(quarantine, ["second", "bad", "own-3"], { from: 2, count: 1 });
  expect(quarantine.find(prompt(["third", "bad", "own-4"]), 2_500)).toEqual({
    kind: "part",
    id: "bad",
    crashes: 3,
    remainingMs: 29_500,
  });
});

// Guards against a loss of several hosts that has nothing to do with prompts.
test("does not refuse a part that was at upstreams lost together", () => {
  const quarantine = createQuarantine();
  for (let each = 0; each < 8; each++) {
    quarantine.recordCrash(prompt(["first", "own"]), {
      upstream: `up-${each}`,
      sentAt: 0,
      now: 500 + each,
    });
  }
  expect(quarantine.find(prompt(["first", "own"]), 600)).toBeUndefined();
});

test("an answer clears the parts of its request, also after quarantine", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["first", "bad", "own"]);
  quarantine.recordAnswer(prompt(["first", "other", "own"]), now + 10);
  expect(quarantine.find(prompt(["first", "other", "own"]), now + 20))
    .toBeUndefined();
  expect(quarantine.find(prompt(["first", "bad", "own"]), now + 20)?.id).toBe(
    "bad",
  );
  quarantine.recordAnswer(prompt(["first", "bad", "own"]), now + 30);
  expect(quarantine.find(prompt(["first", "bad", "own"]), now + 40))
    .toBeUndefined();
});

// Guards against sound requests that are refused because they share the first
// part of the prompt with crashing ones (LOST).
test("serves a part whose crashes another part explains as well", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["first", "bad", "own"]);
  expect(quarantine.find(prompt(["first", "other", "own"]), now))
    .toBeUndefined();
  expect(quarantine.find(prompt(["first", "bad", "own"]), now)).toBeDefined();
});

test("keeps refusing a part when parts of lost sound requests share crashes", () => {
  const quarantine = createQuarantine();
  crash(quarantine, ["bad", "own"], { count: 5 });
  const now = crash(quarantine, ["session", "own"], { from: 2, count: 3 });
  expect(quarantine.find(prompt(["bad", "own"]), now)?.id).toBe("bad");
  expect(quarantine.find(prompt(["session", "own"]), now)).toBeUndefined();
});

test("tries a part again after a time that doubles with each crash", () => {
  const quarantine = createQuarantine(() => 0);
  const now = crash(quarantine, ["bad", "own"]);
  expect(quarantine.find(prompt(["bad", "own"]), now + 29_999)).toBeDefined();
  expect(quarantine.find(prompt(["bad", "own"]), now + 30_000)).toBeUndefined();
  const next = crash(quarantine, ["bad", "own"], { from: 35, count: 1 });
  expect(quarantine.find(prompt(["bad", "own"]), next + 59_999)).toBeDefined();
  expect(quarantine.find(prompt(["bad", "own"]), next + 60_000))
    .toBeUndefined();
});

test("sends only a tenth of the requests when a part is tried again", () => {
  const quarantine = createQuarantine(() => 0.1);
  const now = crash(quarantine, ["bad", "own"]);
  expect(quarantine.find(prompt(["bad", "own"]), now + 40_000)).toEqual({
    kind: "part",
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
  routers[1]!.recordAnswer(prompt(["first", "own"]), now);
  exchange(now);
  for (const router of routers) {
    expect(router.find(prompt(["first", "bad", "own"]), now)?.id).toBe("bad");
    expect(router.find(prompt(["first", "own"]), now)).toBeUndefined();
  }
});

test("news is repeated for two seconds, and a quarantined part for as long as it lasts", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["bad", "own"]);
  quarantine.recordCrash(prompt(["session", "own"]), {
    upstream: "up-0",
    sentAt: -10,
    now,
  });
  // Both parts, and the requests that were at the last upstream.
  expect(quarantine.createReports(now + 1_999)).toHaveLength(4);
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
  other.recordAnswer(prompt(["session", "own"]), now + 50);
  other.receiveReports(reports, now + 60);
  expect(other.find(prompt(["session", "own"]), now + 70)).toBeUndefined();
  one.receiveReports(other.createReports(now + 100), now + 100);
  expect(one.find(prompt(["session", "own"]), now + 110)).toBeUndefined();
});

// Guards against callers that fill the memory with prompt parts.
test("remembers a bounded number of parts, and the quarantined ones first", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["bad", "own"]);
  fc.assert(
    fc.property(fc.array(fc.string(), { maxLength: 60 }), (ids) => {
      const parts = ids.map((id, index) => id.padEnd(1_000, String(index)));
      quarantine.recordCrash(prompt(parts), {
        upstream: "up-0",
        sentAt: 0,
        now,
      });
      return quarantine.size <= 1_024 &&
        quarantine.createReports(now).length <= 32;
    }),
    { seed: 7, numRuns: 200 },
  );
  expect(quarantine.find(prompt(["bad", "own"]), now)?.id).toBe("bad");
});

// Pattern: one request crashes upstream after upstream, while others with the
// same prompt parts are answered.
test("refuses a request under which three upstreams ended, and no other", () => {
  const quarantine = createQuarantine();
  const deadly = { ...prompt(["first", "subject", "own"]) };
  for (let each = 0; each < 3; each++) {
    const now = crash(quarantine, deadly, { from: each, count: 1 });
    quarantine.recordAnswer(prompt(["first", "subject", "x"]), now + 500);
  }
  expect(quarantine.find(deadly, 2_600)).toEqual({
    kind: "request",
    id: "first,subject,own",
    crashes: 3,
    remainingMs: 119_400,
  });
  expect(quarantine.find(prompt(["first", "subject", "y"]), 2_600))
    .toBeUndefined();
});

// Guards against requests of plain services, which name no prompt parts.
test("refuses a request without prompt parts, for half an hour at most", () => {
  const quarantine = createQuarantine(() => 0);
  const now = crash(quarantine, plain("deadly"), { count: 8 });
  expect(quarantine.find(plain("deadly"), now + 1_799_999)?.crashes).toBe(8);
  expect(quarantine.find(plain("deadly"), now + 1_800_000)).toBeUndefined();
  expect(quarantine.find(plain("sound"), now)).toBeUndefined();
});

test("an answer ends the quarantine of a request", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, plain("retried"));
  quarantine.recordAnswer(plain("retried"), now + 10);
  expect(quarantine.find(plain("retried"), now + 20)).toBeUndefined();
});

// Guards against sound parts that are refused because a request with them
// crashes upstreams by itself (LOST).
test("serves a part all of whose crashes a quarantined request explains", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, prompt(["subject", "bad"]), { count: 4 });
  expect(quarantine.find(prompt(["subject", "sound"]), now)).toBeUndefined();
  expect(quarantine.find(prompt(["subject", "bad"]), now)?.kind)
    .toBe("request");
});

// Pattern: each request with a crashing part is retried, so that it crashes
// several upstreams by itself, before the next one comes.
test("refuses a part as soon as a second request with it crashes an upstream", () => {
  const quarantine = createQuarantine();
  crash(quarantine, prompt(["bad", "own-1"]), { count: 4 });
  const now = crash(quarantine, prompt(["bad", "own-2"]), {
    from: 4,
    count: 1,
  });
  expect(quarantine.find(prompt(["bad", "own-3"]), now)?.id).toBe("bad");
});

test("a request that was lost with a crashing one several times is served", () => {
  const quarantine = createQuarantine();
  crash(quarantine, plain("bad"), { count: 4 });
  const now = crash(quarantine, plain("sound"), { from: 1, count: 3 });
  expect(quarantine.find(plain("sound"), now)).toBeUndefined();
  expect(quarantine.find(plain("bad"), now)).toBeDefined();
});

// Guards against a crashing request that goes on because a part that is at every
// upstream at any time was at those that it crashed.
test("no prompt part explains the crashes of a request", () => {
  const quarantine = createQuarantine();
  crash(quarantine, plain("bad"));
  const now = crash(quarantine, ["everywhere", "own"], { count: 5 });
  expect(quarantine.find(plain("bad"), now)).toBeDefined();
});

// Guards against two crashing requests that explain each other's crashes.
test("refuses both of two requests with the same crashes", () => {
  const quarantine = createQuarantine();
  crash(quarantine, plain("one"));
  const now = crash(quarantine, plain("other"));
  expect(quarantine.find(plain("one"), now)).toBeDefined();
  expect(quarantine.find(plain("other"), now)).toBeDefined();
});

// Guards against callers that get another workspace's sound requests refused
// by sending ever new crashing requests with its prompt parts.
test("serves a part if all its crashes had requests of one other workspace", () => {
  const quarantine = createQuarantine();
  const now = crash(quarantine, ["subject", "bad"], { count: 5 });
  // A sound request of the family was lost with one of them.
  quarantine.recordCrash(prompt(["subject", "sound"], "family"), {
    upstream: "up-4",
    sentAt: now - 50,
    now,
  });
  const sound = prompt(["subject", "other"], "family");
  expect(quarantine.find(sound, now)).toBeUndefined();
  expect(quarantine.find(prompt(["subject", "x"]), now)?.id).toBe("subject");
  crash(quarantine, prompt(["subject", "own"], "family"), {
    from: 5,
    count: 1,
  });
  expect(quarantine.find(sound, now)?.id).toBe("subject");
});

// Pattern: more requests crash upstreams at a time than one report holds.
test("tells other routers all of what is quarantined, in several reports", () => {
  const one = createQuarantine();
  const other = createQuarantine();
  const names = Array.from({ length: 100 }, (_, index) => `bad-${index}`);
  for (const name of names) crash(one, plain(name));
  for (let now = 2_000; now < 4_000; now += 200) {
    other.receiveReports(one.createReports(now), now);
  }
  expect(names.filter((name) => !other.find(plain(name), 4_000))).toEqual([]);
});

// Guards against reports that other routers refuse as invalid, with the loads
// that come with them.
test("reports no age of more than an hour", () => {
  const quarantine = createQuarantine();
  for (let each = 0; each < 8; each++) {
    const from = each * 1_800;
    crash(quarantine, plain("bad"), { from, count: 1 });
  }
  const [report] = quarantine.createReports(8 * 1_800_000 - 1_000);
  const ages = report!.crashes.map(({ ageMs }) => ageMs);
  expect(Math.max(...ages)).toBe(3_600_000);
});
