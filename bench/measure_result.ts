/** The result of a whole measurement, as it is written to a file. */
import type { FleetFigures } from "./measure_fleet.ts";
import type { Schedule } from "./measure_phases.ts";
import type { RunFigures } from "./measure_run.ts";
import type { Verdict } from "./measure_targets.ts";
import type { Deployment } from "./measure_workload.ts";

/** Figures of one deployment. */
export interface DeploymentResult {
  readonly deployment: Deployment;
  readonly fleet: FleetFigures;
  readonly baselines: readonly RunFigures[];
  readonly verdicts: readonly Verdict[];
}

/** Everything that was measured. */
export interface MeasureResult {
  readonly seed: number;
  readonly note: string;
  readonly schedule: Schedule;
  /** Resident memory of a process that does nothing, in bytes. */
  readonly bareBytes: number;
  /** Load average of the machine over a minute, before and after. */
  readonly loadAverage: readonly [before: number, after: number];
  readonly deployments: readonly DeploymentResult[];
}
