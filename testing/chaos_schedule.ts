/**
 * Schedules of faults for a fleet, drawn from a seed: the same options give the
 * same schedule.
 */
import { Random } from "../bench/load/random.ts";

/** What goes wrong. */
export type ChaosKind =
  /** Killed without notice, and started again at the end. */
  | "router-killed"
  /** Stopped gracefully, and started again. */
  | "router-stopped"
  | "router-paused"
  | "engine-killed"
  | "engine-cold"
  | "engine-leaving"
  /** Connections that the upstream has open go silent for good. */
  | "upstream-silent"
  /** Connections that the relay has open go silent for good. */
  | "link-silent"
  | "link-cut"
  | "link-cut-to-upstream"
  | "link-cut-to-router"
  /** Control connections to a router. */
  | "control-link-cut"
  | "control-link-cut-to-router"
  | "control-link-silent"
  /** Connections on which requests are forwarded to a router. */
  | "forward-link-cut"
  | "forward-link-cut-to-router"
  | "forward-link-silent"
  | "key-value-link-cut"
  | "key-value-link-silent"
  | "key-value-down"
  | "key-value-slow"
  | "key-value-loses-answers"
  | "watches-silent"
  /** Two operators commit changes that conflict. */
  | "operators-race"
  | "failure-domain-out"
  /** The host list says that the host leaves. */
  | "host-leaving";

/** One fault. */
export interface ChaosEvent {
  /** Time since the start, in milliseconds. */
  readonly atMs: number;
  readonly kind: ChaosKind;
  readonly target: string;
  /** How long it lasts, in milliseconds; 0 for a fault without an end. */
  readonly forMs: number;
}

/** Names of what can fail. */
export interface ChaosTargets {
  readonly routers: readonly string[];
  readonly engines: readonly string[];
  /** Engines and plain services. */
  readonly upstreams: readonly string[];
  readonly failureDomains: readonly string[];
  /** Hosts of engines. */
  readonly hosts: readonly string[];
}

/** Options of a schedule. */
export interface ChaosScheduleOptions {
  readonly seed: number;
  readonly targets: ChaosTargets;
  /** Every fault ends by then. */
  readonly durationMs: number;
  /** Mean time between two faults. */
  readonly meanGapMs?: number;
  /** Kinds to draw from; all unless given. */
  readonly kinds?: readonly ChaosKind[];
  /** Cuts the longest faults short. */
  readonly maxForMs?: number;
}

/** What a kind of fault hits, and for how long. */
interface Row {
  readonly targets: keyof ChaosTargets | "platform";
  readonly forMs: { readonly min: number; readonly max: number };
}

/** A schedule that is being drawn. */
interface Draft {
  readonly events: ChaosEvent[];
  /** When each target is free again. */
  readonly busyUntil: Map<string, number>;
}

const MEAN_GAP_MS = 2_000;
const PAIR_SHARE = 0.3;
const REPEAT_SHARE = 0.15;
const REPEAT_GAP_MS = 300;
const SETTLE_MS = 1_000;
const ONCE = { min: 0, max: 0 };

/** Most targets of one sort that may be in a fault at the same time. */
const MOST_AT_ONCE = {
  routers: 2,
  engines: 3,
  upstreams: 3,
  hosts: 2,
  failureDomains: 1,
  platform: 1,
} as const;

const ROWS: Readonly<Record<ChaosKind, Row>> = {
  "router-killed": { targets: "routers", forMs: { min: 500, max: 6_000 } },
  "router-stopped": { targets: "routers", forMs: { min: 500, max: 4_000 } },
  "router-paused": { targets: "routers", forMs: { min: 4_000, max: 18_000 } },
  "engine-killed": { targets: "engines", forMs: { min: 500, max: 4_000 } },
  "engine-cold": { targets: "engines", forMs: ONCE },
  "engine-leaving": { targets: "engines", forMs: { min: 2_000, max: 6_000 } },
  "upstream-silent": { targets: "upstreams", forMs: ONCE },
  "link-silent": { targets: "upstreams", forMs: ONCE },
  "link-cut": { targets: "upstreams", forMs: { min: 500, max: 5_000 } },
  "link-cut-to-upstream": {
    targets: "upstreams",
    forMs: { min: 500, max: 5_000 },
  },
  "link-cut-to-router": {
    targets: "upstreams",
    forMs: { min: 500, max: 5_000 },
  },
  "control-link-cut": { targets: "routers", forMs: { min: 500, max: 8_000 } },
  "control-link-cut-to-router": {
    targets: "routers",
    forMs: { min: 500, max: 8_000 },
  },
  "control-link-silent": { targets: "routers", forMs: ONCE },
  "forward-link-cut": { targets: "routers", forMs: { min: 500, max: 5_000 } },
  "forward-link-cut-to-router": {
    targets: "routers",
    forMs: { min: 500, max: 5_000 },
  },
  "forward-link-silent": { targets: "routers", forMs: ONCE },
  "key-value-link-cut": { targets: "routers", forMs: { min: 500, max: 8_000 } },
  "key-value-link-silent": { targets: "routers", forMs: ONCE },
  "key-value-down": { targets: "platform", forMs: { min: 2_000, max: 12_000 } },
  "key-value-slow": { targets: "platform", forMs: { min: 2_000, max: 8_000 } },
  "key-value-loses-answers": {
    targets: "platform",
    forMs: { min: 2_000, max: 8_000 },
  },
  "watches-silent": { targets: "platform", forMs: ONCE },
  "operators-race": {
    targets: "failureDomains",
    forMs: { min: 500, max: 2_000 },
  },
  "failure-domain-out": {
    targets: "failureDomains",
    forMs: { min: 7_000, max: 12_000 },
  },
  "host-leaving": { targets: "hosts", forMs: { min: 3_000, max: 8_000 } },
};

/** Draws a schedule, in the order of time. */
export function createChaosSchedule(
  options: ChaosScheduleOptions,
): ChaosEvent[] {
  const { seed, durationMs, meanGapMs = MEAN_GAP_MS } = options;
  const random = new Random(seed);
  const draft: Draft = { events: [], busyUntil: new Map() };
  let atMs = random.nextExponential(meanGapMs);
  while (atMs < durationMs) {
    drawEvent(Math.round(atMs), { random, draft, options });
    const isPair = random.nextBoolean(PAIR_SHARE);
    if (isPair) drawEvent(Math.round(atMs), { random, draft, options });
    atMs += random.nextExponential(meanGapMs);
  }
  return draft.events.sort((one, other) => one.atMs - other.atMs);
}

interface Drawing {
  readonly random: Random;
  readonly draft: Draft;
  readonly options: ChaosScheduleOptions;
}

/** Adds a fault, and sometimes the same one once more after it. */
function drawEvent(atMs: number, { random, draft, options }: Drawing): void {
  const all = Object.keys(ROWS) as ChaosKind[];
  const kind = random.pick(options.kinds ?? all);
  const { targets, forMs: range } = ROWS[kind];
  const drawnMs = random.nextInteger(range);
  const forMs = Math.min(drawnMs, options.maxForMs ?? drawnMs);
  const repeats = random.nextBoolean(REPEAT_SHARE);
  const target = pickFree(targets, { atMs, random, draft, options });
  if (target === undefined) return;
  addEvent({ atMs, kind, target, forMs }, { draft, options });
  const againMs = atMs + forMs + REPEAT_GAP_MS;
  if (repeats) {
    addEvent({ atMs: againMs, kind, target, forMs }, { draft, options });
  }
}

function addEvent(
  event: ChaosEvent,
  { draft, options }: Pick<Drawing, "draft" | "options">,
): void {
  const endMs = event.atMs + event.forMs;
  if (endMs > options.durationMs) return;
  const { targets } = ROWS[event.kind];
  draft.events.push(event);
  draft.busyUntil.set(`${targets}/${event.target}`, endMs + SETTLE_MS);
}

/** A target that is in no other fault of its sort. */
function pickFree(
  targets: Row["targets"],
  { atMs, random, draft, options }: Drawing & { readonly atMs: number },
): string | undefined {
  const names = targets === "platform"
    ? ["platform"]
    : options.targets[targets];
  const free = names.filter((name) =>
    (draft.busyUntil.get(`${targets}/${name}`) ?? 0) <= atMs
  );
  const busy = names.length - free.length;
  // One is left in order, where there are several.
  const most = Math.min(MOST_AT_ONCE[targets], Math.max(1, names.length - 1));
  if (free.length === 0 || busy >= most) return undefined;
  return random.pick(free);
}
