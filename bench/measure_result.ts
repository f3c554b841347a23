/** Format of the file that holds the result of a measurement. */
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

/** Result of a measurement. */
export interface MeasureResult {
  readonly seed: number;
  readonly note: string;
  readonly schedule: Schedule;
  /** Resident memory of an idle process, in bytes. */
  readonly bareBytes: number;
  /** One-minute load average of the machine, before and after. */
  readonly loadAverage: readonly [before: number, after: number];
  readonly deployments: readonly DeploymentResult[];
}
