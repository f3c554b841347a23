/**
 * Generates fault schedules for a fleet from a seed. The same options always
 * produce the same schedule.
 */
import { Random } from "../bench/load/random.ts";

/** Kind of fault. */
export type ChaosKind =
  /** Killed with SIGKILL, and restarted when the fault ends. */
  | "router-killed"
  /** Stopped gracefully, and restarted when the fault ends. */
  | "router-stopped"
  | "router-paused"
  | "engine-killed"
  | "engine-cold"
  | "engine-leaving"
  /** The upstream stops sending on its open connections, permanently. */
  | "upstream-silent"
  /** The relay drops all data on its open connections, permanently. */
  | "link-silent"
  | "link-cut"
  | "link-cut-to-upstream"
  | "link-cut-to-router"
  /** The next three affect the control connections to a router. */
  | "control-link-cut"
  | "control-link-cut-to-router"
  | "control-link-silent"
  /** The next three affect the connections that forward requests to a router. */
  | "forward-link-cut"
  | "forward-link-cut-to-router"
  | "forward-link-silent"
  | "key-value-link-cut"
  | "key-value-link-silent"
  | "key-value-down"
  | "key-value-slow"
  | "key-value-loses-answers"
  | "watches-silent"
  /** The metadata store is down and comes back from an older copy. */
  | "store-restored"
  /** Another program writes items into the store that no router uses. */
  | "foreign-items"
  /** Callers send requests with a prompt part that crashes engines. */
  | "prompt-crashes"
  /** Callers send one request again and again that crashes upstreams. */
  | "request-crashes"
  /** A router's connections to all upstreams are refused, and open ones reset. */
  | "router-links-refused"
  /** They hang, open ones too. */
  | "router-links-hung"
  /** New ones are refused, while open ones go on. */
  | "router-links-new-refused"
  /** Upstreams end if they reject too many requests, and say so. */
  | "upstreams-brittle"
  /**
   * Restarted at once with another version of the software, under the same id,
   * and again when the fault ends; its entry follows later each time.
   */
  | "engine-upgraded"
  /** Answers without a length are reset. */
  | "answers-reset"
  /**
   * An upstream sends nothing of its answers for a while and then goes on with
   * them, as an engine that preempts requests; the others of its service may be
   * full or do the same.
   */
  | "answers-paused"
  /** The reader of a router's standard output closes its end. */
  | "log-reader-closed"
  /** It reads nothing for a while. */
  | "log-reader-stalled"
  /** A router restarts while another socket has one of its ports for a while. */
  | "port-taken-at-start"
  /** A router restarts and gets SIGHUP and SIGUSR2 as soon as it runs. */
  | "signals-at-start"
  /** A router gets series of these signals, also while it restarts. */
  | "signals-in-series"
  /** A router restarts while its settings are still being written. */
  | "settings-incomplete-at-start"
  /** It reloads them then. */
  | "settings-incomplete-at-reload"
  /** An upstream answers some requests with bytes without end. */
  | "answers-endless"
  /** Callers send bodies that have no end, or leave it out. */
  | "bodies-endless"
  /** Callers don't read their answers. */
  | "answers-unread"
  /** Two operators commit conflicting changes at the same time. */
  | "operators-race"
  | "failure-domain-out"
  /** The host list reports the host as leaving. */
  | "host-leaving";

/** One scheduled fault. */
export interface ChaosEvent {
  /** Start of the fault, in milliseconds since the start of the schedule. */
  readonly atMs: number;
  readonly kind: ChaosKind;
  readonly target: string;
  /** Duration in milliseconds; 0 for a fault that is not reverted. */
  readonly durationMs: number;
}

/** Names of the targets that faults can be injected into. */
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
  /** Length of the schedule, in milliseconds; every fault ends within it. */
  readonly durationMs: number;
  /** Mean time between two faults, in milliseconds. */
  readonly meanGapMs?: number;
  /**
   * Kinds of faults to draw from; by default all that exist in a fleet without
   * a metadata store.
   */
  readonly kinds?: readonly ChaosKind[];
  /** Upper bound of a fault's duration, in milliseconds. */
  readonly maxFaultMs?: number;
}

/** Targets and range of durations of a kind of fault. */
interface FaultSpec {
  readonly targets: keyof ChaosTargets | "platform" | "callers";
  readonly durationRangeMs: { readonly min: number; readonly max: number };
}

/** A schedule under construction. */
interface PartialSchedule {
  readonly events: ChaosEvent[];
  /** End of the last fault of each target, plus SETTLE_MS. */
  readonly busyUntilMs: Map<string, number>;
}

const DEFAULT_MEAN_GAP_MS = 2_000;
const PAIR_PROBABILITY = 0.3;
const REPEAT_PROBABILITY = 0.15;
const REPEAT_GAP_MS = 300;
const SETTLE_MS = 1_000;
const INSTANT = { min: 0, max: 0 };

/** Maximum number of targets per group with a fault at the same time. */
const MAX_CONCURRENT_FAULTS = {
  routers: 2,
  engines: 3,
  upstreams: 3,
  hosts: 2,
  failureDomains: 1,
  platform: 1,
  callers: 1,
} as const;

const FAULT_SPECS: Readonly<Record<ChaosKind, FaultSpec>> = {
  "router-killed": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 6_000 },
  },
  "router-stopped": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 4_000 },
  },
  "router-paused": {
    targets: "routers",
    durationRangeMs: { min: 4_000, max: 18_000 },
  },
  "engine-killed": {
    targets: "engines",
    durationRangeMs: { min: 500, max: 4_000 },
  },
  "engine-cold": { targets: "engines", durationRangeMs: INSTANT },
  "engine-leaving": {
    targets: "engines",
    durationRangeMs: { min: 2_000, max: 6_000 },
  },
  "upstream-silent": { targets: "upstreams", durationRangeMs: INSTANT },
  "link-silent": { targets: "upstreams", durationRangeMs: INSTANT },
  "link-cut": {
    targets: "upstreams",
    durationRangeMs: { min: 500, max: 5_000 },
  },
  "link-cut-to-upstream": {
    targets: "upstreams",
    durationRangeMs: { min: 500, max: 5_000 },
  },
  "link-cut-to-router": {
    targets: "upstreams",
    durationRangeMs: { min: 500, max: 5_000 },
  },
  "control-link-cut": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 8_000 },
  },
  "control-link-cut-to-router": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 8_000 },
  },
  "control-link-silent": { targets: "routers", durationRangeMs: INSTANT },
  "forward-link-cut": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 5_000 },
  },
  "forward-link-cut-to-router": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 5_000 },
  },
  "forward-link-silent": { targets: "routers", durationRangeMs: INSTANT },
  "key-value-link-cut": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 8_000 },
  },
  "key-value-link-silent": { targets: "routers", durationRangeMs: INSTANT },
  "key-value-down": {
    targets: "platform",
    durationRangeMs: { min: 2_000, max: 12_000 },
  },
  "key-value-slow": {
    targets: "platform",
    durationRangeMs: { min: 2_000, max: 8_000 },
  },
  "key-value-loses-answers": {
    targets: "platform",
    durationRangeMs: { min: 2_000, max: 8_000 },
  },
  "watches-silent": { targets: "platform", durationRangeMs: INSTANT },
  "store-restored": {
    targets: "platform",
    durationRangeMs: { min: 200, max: 3_000 },
  },
  "foreign-items": { targets: "platform", durationRangeMs: INSTANT },
  "prompt-crashes": {
    targets: "callers",
    durationRangeMs: { min: 5_000, max: 12_000 },
  },
  "request-crashes": {
    targets: "callers",
    durationRangeMs: { min: 5_000, max: 12_000 },
  },
  "router-links-refused": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 9_000 },
  },
  "router-links-hung": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 9_000 },
  },
  "router-links-new-refused": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 9_000 },
  },
  "upstreams-brittle": {
    targets: "callers",
    durationRangeMs: { min: 5_000, max: 9_000 },
  },
  "engine-upgraded": {
    targets: "engines",
    durationRangeMs: { min: 100, max: 800 },
  },
  "answers-reset": {
    targets: "upstreams",
    durationRangeMs: { min: 1_000, max: 5_000 },
  },
  "answers-paused": {
    targets: "upstreams",
    // Callers abandon a stream after two seconds without an event.
    durationRangeMs: { min: 600, max: 1_800 },
  },
  "log-reader-closed": { targets: "routers", durationRangeMs: INSTANT },
  "log-reader-stalled": {
    targets: "routers",
    durationRangeMs: { min: 1_000, max: 5_000 },
  },
  "port-taken-at-start": {
    targets: "routers",
    durationRangeMs: { min: 200, max: 2_000 },
  },
  "signals-at-start": { targets: "routers", durationRangeMs: INSTANT },
  "signals-in-series": {
    targets: "routers",
    durationRangeMs: { min: 500, max: 4_000 },
  },
  "settings-incomplete-at-start": {
    targets: "routers",
    durationRangeMs: { min: 50, max: 800 },
  },
  "settings-incomplete-at-reload": {
    targets: "routers",
    durationRangeMs: { min: 50, max: 3_000 },
  },
  "answers-endless": {
    targets: "upstreams",
    durationRangeMs: { min: 2_000, max: 6_000 },
  },
  "bodies-endless": {
    targets: "callers",
    durationRangeMs: { min: 1_000, max: 5_000 },
  },
  "answers-unread": {
    targets: "callers",
    durationRangeMs: { min: 1_000, max: 5_000 },
  },
  "operators-race": {
    targets: "failureDomains",
    durationRangeMs: { min: 500, max: 2_000 },
  },
  "failure-domain-out": {
    targets: "failureDomains",
    durationRangeMs: { min: 7_000, max: 12_000 },
  },
  "host-leaving": {
    targets: "hosts",
    durationRangeMs: { min: 3_000, max: 8_000 },
  },
};

/** Kinds that exist only in a fleet with a metadata store. */
const METADATA_STORE_KINDS: ReadonlySet<ChaosKind> = new Set([
  "store-restored",
  "foreign-items",
  "prompt-crashes",
  "request-crashes",
  "router-links-refused",
  "router-links-hung",
  "router-links-new-refused",
  "upstreams-brittle",
  "engine-upgraded",
  "answers-reset",
  "answers-paused",
  "log-reader-closed",
  "log-reader-stalled",
  "port-taken-at-start",
  "signals-at-start",
  "signals-in-series",
  "settings-incomplete-at-start",
  "settings-incomplete-at-reload",
  "answers-endless",
  "bodies-endless",
  "answers-unread",
]);
const DEFAULT_KINDS = (Object.keys(FAULT_SPECS) as ChaosKind[])
  .filter((kind) => !METADATA_STORE_KINDS.has(kind));

/** Creates a schedule, sorted by start time. */
export function createChaosSchedule(
  options: ChaosScheduleOptions,
): ChaosEvent[] {
  const { seed, durationMs, meanGapMs = DEFAULT_MEAN_GAP_MS } = options;
  const random = new Random(seed);
  const draft: PartialSchedule = { events: [], busyUntilMs: new Map() };
  let atMs = random.nextExponential(meanGapMs);
  while (atMs < durationMs) {
    drawEvent(Math.round(atMs), { random, draft, options });
    const isPair = random.nextBoolean(PAIR_PROBABILITY);
    if (isPair) drawEvent(Math.round(atMs), { random, draft, options });
    atMs += random.nextExponential(meanGapMs);
  }
  return draft.events.sort((one, other) => one.atMs - other.atMs);
}

interface DrawContext {
  readonly random: Random;
  readonly draft: PartialSchedule;
  readonly options: ChaosScheduleOptions;
}

/** Adds a random fault and, with REPEAT_PROBABILITY, the same fault after it. */
function drawEvent(
  atMs: number,
  { random, draft, options }: DrawContext,
): void {
  const kind = random.pick(options.kinds ?? DEFAULT_KINDS);
  const { targets, durationRangeMs: range } = FAULT_SPECS[kind];
  const drawnMs = random.nextInteger(range);
  const durationMs = Math.min(drawnMs, options.maxFaultMs ?? drawnMs);
  const isRepeated = random.nextBoolean(REPEAT_PROBABILITY);
  const target = pickIdleTarget(targets, { atMs, random, draft, options });
  if (target === undefined) return;
  addEvent({ atMs, kind, target, durationMs }, { draft, options });
  const repeatAtMs = atMs + durationMs + REPEAT_GAP_MS;
  if (isRepeated) {
    addEvent({ atMs: repeatAtMs, kind, target, durationMs }, {
      draft,
      options,
    });
  }
}

function addEvent(
  event: ChaosEvent,
  { draft, options }: Pick<DrawContext, "draft" | "options">,
): void {
  const endsAtMs = event.atMs + event.durationMs;
  if (endsAtMs > options.durationMs) return;
  const { targets } = FAULT_SPECS[event.kind];
  draft.events.push(event);
  draft.busyUntilMs.set(`${targets}/${event.target}`, endsAtMs + SETTLE_MS);
}

/**
 * Picks a target without a fault in its group; undefined if none is idle or the
 * group has reached its limit.
 */
function pickIdleTarget(
  targets: FaultSpec["targets"],
  { atMs, random, draft, options }: DrawContext & { readonly atMs: number },
): string | undefined {
  const names = targets === "platform" || targets === "callers"
    ? [targets]
    : options.targets[targets];
  const idle = names.filter((name) =>
    (draft.busyUntilMs.get(`${targets}/${name}`) ?? 0) <= atMs
  );
  const busyCount = names.length - idle.length;
  // Groups of several targets always keep one without a fault.
  const maxBusy = Math.min(
    MAX_CONCURRENT_FAULTS[targets],
    Math.max(1, names.length - 1),
  );
  if (idle.length === 0 || busyCount >= maxBusy) return undefined;
  return random.pick(idle);
}
