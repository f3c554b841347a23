/** Generator of scenarios for the model of the capacity shares. */
import fc from "fast-check";
import {
  type Scenario,
  type Trouble,
  TROUBLE_END_MS,
  TROUBLES,
} from "./shares_model.ts";

const MAX_TROUBLES = 16;
const MAX_ROUTERS = 4;
const index = fc.nat({ max: MAX_ROUTERS - 1 });

const arbitraryTrouble = fc.record({
  kindIndex: fc.nat({ max: TROUBLES.length - 1 }),
  at: fc.nat({ max: TROUBLE_END_MS }),
  router: index,
  peer: index,
  durationMs: fc.nat({ max: 400 }),
});

/** Few kinds in a run let each come often enough to meet itself. */
function troublesOf(
  kinds: readonly Trouble["kind"][],
): fc.Arbitrary<Trouble[]> {
  return fc.tuple(
    fc.subarray([...kinds], { minLength: 1 }),
    fc.array(arbitraryTrouble, { maxLength: MAX_TROUBLES }),
  ).map(([chosen, troubles]) =>
    troubles.map(({ kindIndex, ...rest }) => ({
      kind: chosen[kindIndex % chosen.length]!,
      ...rest,
    }))
  );
}

function scenarioOf(
  kinds: readonly Trouble["kind"][],
  minRouters: number,
): fc.Arbitrary<Scenario> {
  return fc.record({
    seed: fc.nat(),
    routerCount: fc.integer({ min: minRouters, max: MAX_ROUTERS }),
    replicaCount: fc.integer({ min: 1, max: MAX_ROUTERS }),
    limit: fc.integer({ min: 1, max: 12 }),
    limitVaries: fc.boolean(),
    troubles: troublesOf(kinds),
  });
}

/** Any scenario, with more than their part of changed replica sets. */
export const arbitraryScenario: fc.Arbitrary<Scenario> = fc.oneof(
  { weight: 2, arbitrary: scenarioOf(TROUBLES, 2) },
  { weight: 1, arbitrary: scenarioOf(["replicas", "owner-of-one"], 3) },
);
