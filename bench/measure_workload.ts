/** Load of each measured deployment. */
import type { LoadOptions } from "./load/run_load.ts";
import type { Manifest } from "../src/config/manifest.ts";
import type { Schedule } from "./measure_phases.ts";

/** Name of a deployment. */
export type Deployment = "rokuro" | "tuul";

interface Workload {
  readonly rate: number;
  readonly chats: number;
  readonly largeWorkspaces: number;
  readonly firstTokens: { readonly min: number; readonly max: number };
  readonly maxHistoryTokens: number;
  readonly bookingPath: string;
  readonly bookingRate: number;
  readonly surgeRate: number;
}

const WORKLOADS: Readonly<Record<Deployment, Workload>> = {
  // Many short chats, and bookings of which some are sent twice.
  rokuro: {
    rate: 45,
    chats: 260,
    largeWorkspaces: 3,
    firstTokens: { min: 200, max: 800 },
    maxHistoryTokens: 4_000,
    bookingPath: "/bookings",
    bookingRate: 6,
    surgeRate: 20,
  },
  // Fewer chats with long histories, and sheet issues in place of bookings.
  tuul: {
    rate: 25,
    chats: 140,
    largeWorkspaces: 2,
    firstTokens: { min: 1_000, max: 3_000 },
    maxHistoryTokens: 8_000,
    bookingPath: "/issues",
    bookingRate: 4,
    surgeRate: 12,
  },
};

const ANSWER_TOKENS = { min: 16, max: 96 };
const SURGE_SECONDS = 3;

/** Creates the options of the load tool for one run. */
export function createLoadOptions(
  deployment: Deployment,
  { manifest, schedule, seconds, seed }: {
    manifest: Manifest;
    schedule: Schedule;
    seconds: number;
    seed: number;
  },
): Omit<LoadOptions, "routers"> {
  const { surgeRate, ...workload } = WORKLOADS[deployment];
  const keys = manifest.workspaces.map(({ key }) => key);
  return {
    ...workload,
    keys,
    seed,
    seconds,
    model: manifest.models[0]!.name,
    answerTokens: ANSWER_TOKENS,
    surge: {
      key: keys[keys.length - 1]!,
      rate: surgeRate,
      fromSecond: schedule.steady.from + 2,
      seconds: SURGE_SECONDS,
    },
  };
}
