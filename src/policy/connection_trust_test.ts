/** Tests of when a new connection is needed. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ConnectionTrust } from "./connection_trust.ts";

const REQUESTS = 10_000;
const INTERVAL_MS = 20;

/**
 * Sends requests to an upstream that repeats an answer on a share of the requests
 * on reused connections; returns how many were lost to copies.
 */
function play(copyShare: number): { lost: number; connections: number } {
  const generator = xoroshiro128plus(1);
  const trust = new ConnectionTrust();
  let lost = 0;
  let connections = 0;
  for (let count = 0; count < REQUESTS; count++) {
    const now = count * INTERVAL_MS;
    if (trust.takeNewConnection("a", now)) connections++;
    else if (uniformFloat64(generator) < copyShare) {
      lost++;
      trust.recordUnclear("a", now);
    }
  }
  return { lost, connections };
}

// Guards against an upstream that repeats answers and thereby costs a part of
// the requests that may not repeat for as long as it does.
test("an upstream that repeats a third of its answers costs few requests", () => {
  const { lost } = play(1 / 3);
  expect(lost).toBeGreaterThan(0);
  expect(lost).toBeLessThan(REQUESTS / 10);
});

// Guards against new connections, which are priced, for upstreams that hardly
// ever repeat an answer.
test("a rare copy costs few new connections", () => {
  const { lost, connections } = play(1 / 500);
  expect(lost).toBeGreaterThan(0);
  expect(connections).toBeLessThanOrEqual(lost * 16);
  expect(play(0)).toEqual({ lost: 0, connections: 0 });
});

test("doubts end, and concern their address only", () => {
  const trust = new ConnectionTrust();
  expect(trust.recordUnclear("a", 0)).toBe(true);
  expect(trust.recordUnclear("a", 10)).toBe(false);
  expect(trust.takeNewConnection("b", 10)).toBe(false);
  expect(trust.takeNewConnection("a", 10_009)).toBe(true);
  expect(trust.takeNewConnection("a", 10_010)).toBe(false);
  expect(trust.recordUnclear("a", 20_000)).toBe(true);
  expect(trust.recordUnclear("b", 30_000)).toBe(true);
  expect(trust.recordUnclear("a", 30_000)).toBe(true);
});
