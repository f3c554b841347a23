import {
  getSilenceTimeoutMs,
  getSlotRule,
  type SlotRule,
} from "./silent_tries.ts";

test("times without data after which tries are silent, by kind of route", () => {
  const times = (["stream", "idempotent"] as const).map((kind) => [
    kind,
    ...[200, 300, 1_200].map((objectiveMs) =>
      getSilenceTimeoutMs({ kind, objectiveMs }, { isRepeatable: true })
    ),
  ]);
  expect(times).toMatchSnapshot();
  const once = { kind: "non-idempotent", objectiveMs: 300 } as const;
  expect(getSilenceTimeoutMs(once, { isRepeatable: false })).toBe(Infinity);
});

test("silent tries take free slots only, unless none of them may be answered", () => {
  const rules: [boolean[], SlotRule][] = [
    [[], "any"],
    [[false], "free"],
    [[true], "any"],
    [[true, false], "free"],
    [[true, true], "any"],
  ];
  for (const [suspects, rule] of rules) {
    expect(getSlotRule(suspects.map((isSuspect) => ({ isSuspect }))))
      .toBe(rule);
  }
});

const ENGINES = 4;
const SLOTS = 8;

/** Slots of each engine that are taken. */
type Loads = number[];

/**
 * Sends the preempted requests of an engine to others as the rule allows.
 * Returns the highest load of another engine, and how many were sent.
 */
function replacePreempted(
  loads: Loads,
  { preempted, isDead }: { preempted: number; isDead: boolean },
): { highest: number; sent: number } {
  const others = loads.slice(1);
  let sent = 0;
  for (let request = 0; request < preempted; request++) {
    const rule = getSlotRule([{ isSuspect: isDead }]);
    const least = others.indexOf(Math.min(...others));
    if (rule === "free" && others[least]! >= SLOTS) continue;
    others[least]!++;
    sent++;
  }
  return { highest: Math.max(...others), sent };
}

// Load: all engines are full and one of them preempts requests. Guards against
// requests that fill two places each, so that the queues of all grow.
test("preempted requests add no load to engines that are full", () => {
  const full = Array<number>(ENGINES).fill(SLOTS);
  expect(replacePreempted(full, { preempted: SLOTS, isDead: false }))
    .toEqual({ highest: SLOTS, sent: 0 });
  const halfFull = Array<number>(ENGINES).fill(SLOTS / 2);
  expect(replacePreempted(halfFull, { preempted: SLOTS, isDead: false }))
    .toEqual({ highest: SLOTS - 1, sent: SLOTS });
  // The requests of a host without power have to go somewhere.
  expect(replacePreempted(full, { preempted: SLOTS, isDead: true }).sent)
    .toBe(SLOTS);
});
