import { getMeanInFlight, getUpstreamLimit } from "./load_bound.ts";

const WARM = {
  hardLimit: 16,
  coldLimit: 2,
  cold: false,
  loadFactor: 1.25,
  meanInFlight: 4,
  upstreamCount: 4,
};

test.each([
  ["the load factor limits a warm upstream", {}, 5],
  ["a fraction rounds up", { meanInFlight: 4.1 }, 6],
  ["the hard limit limits a warm upstream", { meanInFlight: 100 }, 16],
  ["the cold limit limits a cold upstream", { cold: true }, 2],
  ["at least one request is allowed", { meanInFlight: 0 }, 1],
  ["a single upstream has no load limit", { upstreamCount: 1 }, 16],
])("%s", (_name, change, limit) => {
  expect(getUpstreamLimit({ ...WARM, ...change })).toBe(limit);
});

test("the mean counts only upstreams in service", () => {
  expect(getMeanInFlight({ inFlight: 9, upstreamCount: 2 })).toBe(4.5);
  expect(getMeanInFlight({ inFlight: 9, upstreamCount: 0 })).toBe(0);
});
