import * as fc from "fast-check";
import { type Candidate, place, type PlacementRequest } from "./placement.ts";

const CHAT = { hi: 1, lo: 2 };

function candidate(upstream: number, fields: Partial<Candidate> = {}) {
  return {
    upstream,
    room: 2,
    inFlight: 2,
    limit: 4,
    cold: false,
    inService: true,
    failureDomain: "east",
    msPerPromptToken: 1,
    expectedWaitMs: 0,
    ...fields,
  };
}

function request(fields: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    chat: CHAT,
    promptTokens: 1_000,
    now: 0,
    deadline: 10_000,
    ...fields,
  };
}

const full = { room: 0, inFlight: 4 };
const home = { upstream: 2, tokens: 900 };

test.each<[string, Partial<PlacementRequest>, Candidate[]]>([
  ["a new chat", {}, [candidate(1), candidate(2)]],
  ["a returning chat", { home }, [candidate(1), candidate(2)]],
  ["an evicted chat", { home: { upstream: 2, tokens: 0 } }, [
    candidate(1),
    candidate(2),
  ]],
  ["a full first choice", {}, [candidate(1, full), candidate(2)]],
  ["no chat", { chat: undefined }, [
    candidate(1),
    candidate(2, { inFlight: 1 }),
  ]],
  ["a home that is soon free", { home }, [
    candidate(1),
    candidate(2, { ...full, expectedWaitMs: 500 }),
  ]],
  ["a home that is free late", { home }, [
    candidate(1),
    candidate(2, { ...full, expectedWaitMs: 950 }),
  ]],
  ["a home waited for too long", { home, waitedMs: 1_600 }, [
    candidate(1),
    candidate(2, { ...full, expectedWaitMs: 500 }),
  ]],
  ["a home out of service", { home }, [
    candidate(1),
    candidate(2, { inService: false }),
  ]],
  ["a slow first choice", {}, [candidate(1, { slow: true }), candidate(2)]],
  ["a slow home with a cache worth it", { home }, [
    candidate(1),
    candidate(2, { slow: true, msPerPromptToken: 5 }),
  ]],
  ["a slow home with a cache not worth it", { home }, [
    candidate(1),
    candidate(2, { slow: true, msPerPromptToken: 20 }),
  ]],
  ["only a slow home", { home }, [
    candidate(1, full),
    candidate(2, { slow: true, msPerPromptToken: 20 }),
  ]],
  ["no room", { home }, [candidate(1, full), candidate(2, full)]],
  ["none in service", {}, [candidate(1, { inService: false })]],
  ["a passed deadline", { now: 10_000 }, [candidate(1)]],
])("%s", (_, fields, candidates) => {
  expect(place(request(fields), candidates)).toMatchSnapshot();
});

test("never places a request without room or out of service", () => {
  const anyCandidates = fc.uniqueArray(
    fc.record({
      upstream: fc.nat(31),
      room: fc.integer({ min: -2, max: 3 }),
      inFlight: fc.nat(4),
      limit: fc.nat(4),
      cold: fc.boolean(),
      inService: fc.boolean(),
      failureDomain: fc.constant("east"),
      msPerPromptToken: fc.nat(10),
      expectedWaitMs: fc.nat(5_000),
      slow: fc.boolean(),
    }),
    { selector: ({ upstream }) => upstream, maxLength: 8 },
  );
  const anyRequest = fc.record({
    chat: fc.constantFrom(CHAT, undefined),
    promptTokens: fc.nat(4_000),
    home: fc.option(
      fc.record({ upstream: fc.nat(31), tokens: fc.nat(5_000) }),
      { nil: undefined },
    ),
    now: fc.constant(0),
    deadline: fc.nat(3_000),
    waitedMs: fc.nat(3_000),
  });
  const check = (
    wanted: PlacementRequest,
    candidates: Candidate[],
    choices: number,
  ) => {
    const placement = place(wanted, candidates, { choices });
    const open = candidates.filter((each) => each.inService && each.room > 0);
    if (placement.kind === "place") {
      expect(open.map((each) => each.upstream)).toContain(placement.upstream);
    }
    if (placement.kind !== "wait" || open.length === 0) return;
    const awaited = candidates.find(
      (each) => each.upstream === placement.forUpstream,
    );
    expect(awaited?.inService).toBe(true);
    expect((wanted.waitedMs ?? 0) + awaited!.expectedWaitMs)
      .toBeLessThanOrEqual(2_000);
    expect(awaited!.expectedWaitMs).toBeLessThan(wanted.deadline);
  };
  fc.assert(
    fc.property(
      anyRequest,
      anyCandidates,
      fc.integer({ min: 1, max: 3 }),
      check,
    ),
    { seed: 12, numRuns: 5_000 },
  );
});
