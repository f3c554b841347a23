/** Generators of scenarios for the simulation of the capacity shares. */
import fc from "fast-check";
import {
  type Fault,
  FAULT_KINDS,
  FAULTS_END_MS,
  type Scenario,
} from "./shares_model.ts";

const MAX_FAULTS = 16;
const MAX_ROUTERS = 4;
const routerIndex = fc.nat({ max: MAX_ROUTERS - 1 });

const arbitraryFault = fc.record({
  kindIndex: fc.nat({ max: FAULT_KINDS.length - 1 }),
  at: fc.nat({ max: FAULTS_END_MS }),
  router: routerIndex,
  peer: routerIndex,
  durationMs: fc.nat({ max: 400 }),
});

/**
 * Generates faults of some of `kinds`. With few kinds in a run, faults of one
 * kind are frequent enough to overlap.
 */
function createFaultsArbitrary(
  kinds: readonly Fault["kind"][],
): fc.Arbitrary<Fault[]> {
  return fc.tuple(
    fc.subarray([...kinds], { minLength: 1 }),
    fc.array(arbitraryFault, { maxLength: MAX_FAULTS }),
  ).map(([chosen, faults]) =>
    faults.map(({ kindIndex, ...rest }) => ({
      kind: chosen[kindIndex % chosen.length]!,
      ...rest,
    }))
  );
}

function createScenarioArbitrary(
  kinds: readonly Fault["kind"][],
  minRouters: number,
): fc.Arbitrary<Scenario> {
  return fc.record({
    seed: fc.nat(),
    routerCount: fc.integer({ min: minRouters, max: MAX_ROUTERS }),
    replicaCount: fc.integer({ min: 1, max: MAX_ROUTERS }),
    limit: fc.integer({ min: 1, max: 12 }),
    limitVaries: fc.boolean(),
    injectedFaults: createFaultsArbitrary(kinds),
  });
}

/**
 * Generates any scenario. A third contain only changes of the replica set and
 * of one router's view of the owner, so that replica sets change more often.
 */
export const arbitraryScenario: fc.Arbitrary<Scenario> = fc.oneof(
  { weight: 2, arbitrary: createScenarioArbitrary(FAULT_KINDS, 2) },
  {
    weight: 1,
    arbitrary: createScenarioArbitrary(["replicas", "owner-of-one"], 3),
  },
);
