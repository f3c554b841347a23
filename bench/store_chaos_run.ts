/** Runs a fleet with a metadata store under load and faults. */
import { monitorEventLoopDelay, performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { ChaosEvent, ChaosKind } from "../testing/chaos_schedule.ts";
import type { ChaosTargets } from "../testing/chaos_schedule.ts";
import type { RegisteredUpstream } from "../testing/registered_upstream.ts";
import type { RelayFaults } from "../testing/relay.ts";
import { runArrivals } from "./load/arrivals.ts";
import { Random } from "./load/random.ts";
import { Callers, type CallOptions } from "./store_chaos_calls.ts";
import type {
  Call,
  CallKind,
  CrashingCall,
  FaultWindow,
  StoreChaosEvidence,
} from "./store_chaos_evidence.ts";
import {
  EndFaults,
  isRouterEndKind,
  ROUTER_END_KINDS,
  type RouterEndKind,
} from "./store_chaos_end_faults.ts";
import { writeForeignItems } from "./store_chaos_foreign_items.ts";
import {
  STORE_CHAOS_BOUNDS,
  type StoreFleet,
  type StoreRouter,
} from "./store_chaos_fleet.ts";

/** Options of a chaos run. */
export interface StoreChaosOptions {
  readonly fleet: StoreFleet;
  readonly schedule: readonly ChaosEvent[];
  readonly seed: number;
  readonly durationMs: number;
  /** Requests per second; 40 by default. */
  readonly rate?: number;
  /** Called at the scheduled start of each fault. */
  readonly onEvent?: (event: ChaosEvent) => void;
}

/**
 * Kinds of faults that can be injected into a fleet with a metadata store; the
 * other kinds exist only in the project's own fleet.
 */
export const STORE_CHAOS_KINDS = [
  "router-killed",
  "router-stopped",
  "router-paused",
  "engine-killed",
  "engine-cold",
  "engine-leaving",
  "link-silent",
  "link-cut",
  "link-cut-to-upstream",
  "link-cut-to-router",
  "key-value-link-cut",
  "key-value-link-silent",
  "key-value-down",
  "key-value-slow",
  "key-value-loses-answers",
  "watches-silent",
  "failure-domain-out",
] as const satisfies readonly ChaosKind[];

/** The same, and a store that returns to an older copy. */
export const STORE_RESTORE_KINDS = [
  ...STORE_CHAOS_KINDS,
  "store-restored",
] as const satisfies readonly ChaosKind[];

/** All of these, and prompts and requests that crash upstreams. */
export const STORE_SOAK_KINDS = [
  ...STORE_RESTORE_KINDS,
  "prompt-crashes",
  "request-crashes",
] as const satisfies readonly ChaosKind[];

/** All of these, and routers without links and brittle upstreams. */
export const STORE_LINK_KINDS = [
  ...STORE_SOAK_KINDS,
  "router-links-refused",
  "router-links-hung",
  "router-links-new-refused",
  "upstreams-brittle",
] as const satisfies readonly ChaosKind[];

/** All of these, and answers that are cut off or change their version. */
export const STORE_STREAM_KINDS = [
  ...STORE_LINK_KINDS,
  "engine-upgraded",
  "answers-reset",
] as const satisfies readonly ChaosKind[];

/** All of these, and faults under which a router may end by itself. */
export const STORE_END_KINDS = [
  ...STORE_STREAM_KINDS,
  ...ROUTER_END_KINDS,
] as const satisfies readonly ChaosKind[];

/** All of these, and items of other programs in the store. */
export const STORE_ITEM_KINDS = [
  ...STORE_END_KINDS,
  "foreign-items",
] as const satisfies readonly ChaosKind[];

/** All of these, and answers that pause. */
export const STORE_PAUSE_KINDS = [
  ...STORE_ITEM_KINDS,
  "answers-paused",
] as const satisfies readonly ChaosKind[];
type StoreChaosKind = Exclude<
  typeof STORE_PAUSE_KINDS[number],
  RouterEndKind
>;

/** Items of other programs, and what has routers read the whole store. */
export const FOREIGN_ITEM_KINDS = [
  "foreign-items",
  "foreign-items",
  "router-killed",
  "router-stopped",
  "watches-silent",
  "engine-leaving",
] as const satisfies readonly StoreChaosKind[];

/** Answers that pause, and what routers may do meanwhile. */
export const ANSWER_PAUSE_KINDS = [
  "answers-paused",
  "answers-paused",
  "answers-paused",
  "router-stopped",
  "signals-in-series",
  "key-value-down",
] as const satisfies readonly (StoreChaosKind | RouterEndKind)[];

/** Those of all kinds that cut off answers in progress. */
export const STREAM_CUT_KINDS = [
  "router-killed",
  "router-stopped",
  "router-paused",
  "engine-killed",
  "engine-leaving",
  "engine-upgraded",
  "answers-reset",
  "link-cut",
] as const satisfies readonly StoreChaosKind[];

const REQUESTS_PER_SECOND = 40;
const CRASHING_REQUESTS_PER_SECOND = 8;
const SUBJECT_COUNT = 30;
/** Streams a second on top of the load while upstreams are brittle. */
const BRITTLE_REQUESTS_PER_SECOND = 120;
const BRITTLE_REJECTIONS_PER_SECOND = 4;
const CALL_KINDS: readonly CallKind[] = [
  "read",
  "read",
  "book",
  "chat",
  "plan",
];
/** Interval at which a key is added and the oldest is withdrawn. */
const CONFIGURE_INTERVAL_MS = 4_000;
/** Longer than a cold start, the bounds and the restart of killed processes. */
const SETTLE_MS = 7_000;
const RECOVERY_MS = 3_000;
const MEMORY_INTERVAL_MS = 100;
const NANOSECONDS_PER_MS = 1_000_000;
const STORE_DELAY_MS = 300;
/** Time from the end of an upgraded engine to its start, in milliseconds. */
const UPGRADE_DOWN_MS = 200;
/** Time from its start to its entry: a heartbeat, in milliseconds. */
const UPGRADE_ENTRY_MS = 400;
/** Age of the copy when the store goes down. */
const COPY_AGE_MS = 2_000;
const LOST_RESPONSE_SHARE = 0.3;
const LINK_FAULTS: Readonly<Record<string, Partial<RelayFaults>>> = {
  "link-silent": { silence: true },
  "link-cut": { cut: true },
  "link-cut-to-upstream": { cutOneWay: "to-target" },
  "link-cut-to-router": { cutOneWay: "to-client" },
  "key-value-link-cut": { cut: true },
  "key-value-link-silent": { silence: true },
};
const LINK_CUTS = {
  "router-links-refused": "refused",
  "router-links-hung": "hung",
  "router-links-new-refused": "new-refused",
} as const;
const NO_LINK_FAULTS = { cut: false, cutOneWay: "none" } as const;

/** Gets the names of all parts of a fleet into which faults are injected. */
export function getStoreChaosTargets(
  { routers, upstreams }: StoreFleet,
): ChaosTargets {
  const names = upstreams.map(({ name }) => name);
  return {
    routers: routers.map(({ name }) => name),
    engines: names,
    upstreams: names,
    failureDomains: ["east", "west", "south"],
    hosts: [],
  };
}

/**
 * Runs load with faults, then load without faults, and stops the fleet.
 *
 * @returns the data that the verdict is based on
 */
export async function runStoreChaos(
  options: StoreChaosOptions,
): Promise<StoreChaosEvidence> {
  const run = new StoreChaosRun(options);
  return await run.run();
}

class StoreChaosRun {
  readonly #options: StoreChaosOptions;
  readonly #random: Random;
  readonly #callers: Callers;
  readonly #windows: FaultWindow[] = [];
  readonly #stops: { router: string; exitCode: number | null }[] = [];
  /** Settles when the latest fault at a target has ended, by target. */
  readonly #lastFaultByTarget = new Map<string, Promise<void>>();
  #requestCount = 0;
  readonly #crashing: Promise<CrashingCall>[] = [];
  #crashCauseCount = 0;
  readonly #overload: Promise<Call>[] = [];
  readonly #brittleFalls: number[] = [];
  readonly #endFaults: EndFaults;

  constructor(options: StoreChaosOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    const { fleet } = options;
    this.#callers = new Callers({
      pickRouter: (current) =>
        this.#random.pick(fleet.routers.filter((each) => each !== current)),
      countServing: (version) => fleet.countServing(version),
    });
    this.#endFaults = new EndFaults({
      fleet,
      random: this.#random,
      stop: (router) => this.#stopRouter(router),
    });
  }

  async run(): Promise<StoreChaosEvidence> {
    const { fleet, schedule, durationMs, onEvent = () => {} } = this.#options;
    const configureTimer = setInterval(() => {
      fleet.configure({ addKey: `key-${performance.now().toFixed()}` });
    }, CONFIGURE_INTERVAL_MS);
    const memoryTimer = setInterval(
      () => fleet.sampleMemory(),
      MEMORY_INTERVAL_MS,
    );
    const ownDelay = monitorEventLoopDelay();
    ownDelay.enable();
    const [calls] = await Promise.all([
      this.#sendLoad(durationMs),
      ...schedule.map(async (event) => {
        await sleep(event.atMs);
        onEvent(event);
        await this.#performAfterPrevious(event);
      }),
      this.#replaceBuilds(durationMs),
    ]);
    clearInterval(configureTimer);
    await sleep(SETTLE_MS);
    const recovery = await this.#sendLoad(RECOVERY_MS);
    await Promise.all(this.#overload);
    this.#callers.close();
    clearInterval(memoryTimer);
    ownDelay.disable();
    const codes = await fleet.close();
    codes.forEach((exitCode, index) => {
      if (exitCode === undefined) return;
      this.#stops.push({ router: fleet.routers[index]!.name, exitCode });
    });
    return {
      calls,
      recovery,
      crashing: await Promise.all(this.#crashing),
      crashes: fleet.crashes,
      cuts: fleet.cuts,
      arrivals: fleet.arrivals,
      windows: this.#windows,
      withdrawals: fleet.withdrawals,
      bounds: STORE_CHAOS_BOUNDS,
      stops: this.#stops,
      overload: await Promise.all(this.#overload),
      brittleFalls: this.#brittleFalls,
      upstreamCount: fleet.upstreams.length,
      ends: fleet.ends,
      peakMemory: fleet.peakMemory,
      ownDelayMs: ownDelay.max / NANOSECONDS_PER_MS,
      reusedShare: this.#callers.reusedShare,
    };
  }

  async #sendLoad(durationMs: number): Promise<Call[]> {
    const { fleet, seed, rate = REQUESTS_PER_SECOND } = this.#options;
    const calls: Promise<Call>[] = [];
    const startMs = performance.now();
    await runArrivals(() => {
      const { key } = fleet;
      calls.push(this.#callers.call({
        requestId: `${seed}-${++this.#requestCount}`,
        kind: this.#random.pick(CALL_KINDS),
        router: this.#random.pick(fleet.routers),
        // About a tenth of the calls use the key that was withdrawn last, as
        // callers do that have not yet switched to a new one.
        key: this.#random.nextBoolean(0.1) ? this.#getWithdrawnKey(key) : key,
        subject: this.#pickSubject(),
      }));
    }, { random: this.#random, rate, startMs, endMs: startMs + durationMs });
    return await Promise.all(calls);
  }

  #getWithdrawnKey(key: string): string {
    const { withdrawals } = this.#options.fleet;
    return withdrawals.findLast(({ what }) => what === "key")?.name ?? key;
  }

  /** Replaces each router by one of the other build, one after the other. */
  async #replaceBuilds(durationMs: number): Promise<void> {
    const { fleet } = this.#options;
    if (!fleet.hasOtherBuild) return;
    for (const router of fleet.routers) {
      await sleep(durationMs / (fleet.routers.length + 1));
      fleet.switchBuild(router);
      await this.#performAfterPrevious({
        kind: "router-stopped",
        target: router.name,
        atMs: 0,
        durationMs: 0,
      });
    }
  }

  /** Injects a fault once the previous fault at its target has ended. */
  #performAfterPrevious(event: ChaosEvent): Promise<void> {
    const previous = this.#lastFaultByTarget.get(event.target) ??
      Promise.resolve();
    const performed = previous.then(() => this.#perform(event));
    this.#lastFaultByTarget.set(event.target, performed);
    return performed;
  }

  async #perform(
    { kind, target, durationMs }: ChaosEvent,
  ): Promise<void> {
    const fromMs = performance.now();
    if (isRouterEndKind(kind)) {
      await this.#endFaults.inject(kind, target, durationMs);
    } else {
      await this.#injectFault(kind as StoreChaosKind, target, durationMs);
    }
    this.#windows.push({ kind, target, fromMs, toMs: performance.now() });
  }

  async #injectFault(
    kind: StoreChaosKind,
    target: string,
    durationMs: number,
  ): Promise<void> {
    const { fleet } = this.#options;
    switch (kind) {
      case "router-killed":
      case "router-stopped":
      case "router-paused":
        return await this.#injectRouterFault(kind, target, durationMs);
      case "engine-killed": {
        const upstream = this.#findUpstream(target);
        await upstream.kill();
        await sleep(durationMs);
        return await this.#restart(upstream, {
          keepsId: this.#random.nextBoolean(0.5),
        });
      }
      case "engine-cold":
        return this.#findUpstream(target).turnCold();
      case "engine-leaving": {
        const upstream = this.#findUpstream(target);
        upstream.startDraining();
        fleet.recordWithdrawal({ what: "upstream", name: upstream.id });
        await upstream.exit();
        return await this.#restart(upstream);
      }
      case "engine-upgraded":
        return await this.#upgrade(this.#findUpstream(target), durationMs);
      case "answers-reset": {
        const upstream = this.#findUpstream(target);
        upstream.resetsAnswers = true;
        await sleep(durationMs);
        upstream.resetsAnswers = false;
        return;
      }
      case "answers-paused":
        return await this.#pauseAnswers(
          this.#findUpstream(target),
          durationMs,
        );
      case "link-silent":
      case "link-cut":
      case "link-cut-to-upstream":
      case "link-cut-to-router":
        return await injectLinkFault(
          this.#findUpstream(target),
          kind,
          durationMs,
        );
      case "key-value-link-cut":
      case "key-value-link-silent": {
        const { storeLink: relay } = this.#findRouter(target);
        return await injectLinkFault({ relay }, kind, durationMs);
      }
      case "key-value-down":
        return await this.#injectStoreFault({ refusalStatus: 503 }, durationMs);
      case "key-value-slow":
        return await this.#injectStoreFault(
          { delayMs: STORE_DELAY_MS },
          durationMs,
        );
      case "key-value-loses-answers":
        return await this.#injectStoreFault(
          { lostResponseRate: LOST_RESPONSE_SHARE },
          durationMs,
        );
      case "watches-silent":
        await this.#injectStoreFault({ withholdsEvents: true }, 1_000);
        return fleet.store.compact();
      case "store-restored":
        fleet.store.saveCopy();
        await sleep(COPY_AGE_MS);
        await this.#injectStoreFault({ refusalStatus: 503 }, durationMs);
        fleet.store.returnToCopy();
        return await fleet.writeAgain();
      case "foreign-items":
        return writeForeignItems(fleet.store, { random: this.#random });
      case "prompt-crashes":
        return await this.#sendCrashingPrompts(durationMs);
      case "request-crashes":
        return await this.#sendCrashingRequest(durationMs);
      case "router-links-refused":
      case "router-links-hung":
      case "router-links-new-refused": {
        const router = this.#findRouter(target);
        fleet.cutLinks(router, LINK_CUTS[kind]);
        await sleep(durationMs);
        return fleet.restoreLinks(router);
      }
      case "upstreams-brittle":
        return await this.#overloadBrittleUpstreams(durationMs);
      case "failure-domain-out": {
        fleet.takeOut(target);
        const untilMs = performance.now() + durationMs;
        fleet.recordWithdrawal({
          what: "failure-domain",
          name: target,
          untilMs,
        });
        await sleep(durationMs);
        return fleet.bringBack(target);
      }
    }
  }

  /** Sends more streams than the upstreams can run, while these are brittle. */
  async #overloadBrittleUpstreams(durationMs: number): Promise<void> {
    const { fleet, seed } = this.#options;
    for (const upstream of fleet.upstreams) {
      upstream.brittlePerSecond = BRITTLE_REJECTIONS_PER_SECOND;
    }
    // They fall over only when the routers have had time to know.
    await sleep(STORE_CHAOS_BOUNDS.faultFreeMs);
    const falls = countFalls(fleet);
    const startMs = performance.now();
    await runArrivals(() => {
      this.#overload.push(this.#callers.call({
        requestId: `overload-${seed}-${++this.#requestCount}`,
        kind: "plan",
        router: this.#random.pick(fleet.routers),
        key: fleet.key,
        subject: this.#pickSubject(),
      }));
    }, {
      random: this.#random,
      rate: BRITTLE_REQUESTS_PER_SECOND,
      startMs,
      endMs: startMs + durationMs,
    });
    for (const upstream of fleet.upstreams) {
      upstream.brittlePerSecond = undefined;
    }
    this.#brittleFalls.push(countFalls(fleet) - falls);
  }

  /** Sends requests with a new prompt part that crashes engines. */
  #sendCrashingPrompts(durationMs: number): Promise<void> {
    const cause = `crashing-${++this.#crashCauseCount}`;
    this.#options.fleet.crashingParts.add(cause);
    return this.#sendCrashing(() => ({
      kind: this.#random.pick(["chat", "plan"]),
      subject: this.#pickSubject(),
      parts: [cause],
    }), { cause, causeKind: "part", durationMs });
  }

  /** Sends one request again and again that crashes the upstreams that run it. */
  #sendCrashingRequest(durationMs: number): Promise<void> {
    const cause = JSON.stringify({ crash: ++this.#crashCauseCount });
    this.#options.fleet.crashingBodies.add(cause);
    const kind = this.#random.pick(["book", "chat", "plan"] as const);
    const subject = this.#pickSubject();
    return this.#sendCrashing(
      () => ({ kind, subject, body: cause }),
      { cause, causeKind: "request", durationMs },
    );
  }

  async #sendCrashing(
    createCall: () => Pick<CallOptions, "kind" | "subject" | "parts" | "body">,
    { cause, causeKind, durationMs }: {
      cause: string;
      causeKind: CrashingCall["causeKind"];
      durationMs: number;
    },
  ): Promise<void> {
    const { fleet, seed } = this.#options;
    const startMs = performance.now();
    await runArrivals(() => {
      const call = this.#callers.call({
        requestId: `crashing-${seed}-${++this.#requestCount}`,
        router: this.#random.pick(fleet.routers),
        key: fleet.key,
        ...createCall(),
      });
      this.#crashing.push(call.then((each) => ({ ...each, cause, causeKind })));
    }, {
      random: this.#random,
      rate: CRASHING_REQUESTS_PER_SECOND,
      startMs,
      endMs: startMs + durationMs,
    });
  }

  #pickSubject(): string {
    const index = this.#random.nextInteger({ min: 1, max: SUBJECT_COUNT });
    return `subject-${index}`;
  }

  async #injectRouterFault(
    kind: "router-killed" | "router-stopped" | "router-paused",
    target: string,
    durationMs: number,
  ): Promise<void> {
    const { fleet } = this.#options;
    const router = this.#findRouter(target);
    if (kind === "router-paused") {
      fleet.signal(router, "SIGSTOP");
      await sleep(durationMs);
      return fleet.signal(router, "SIGCONT");
    }
    if (kind === "router-killed") fleet.signal(router, "SIGKILL");
    if (kind === "router-stopped") await this.#stopRouter(router);
    else await fleet.stop(router);
    await sleep(durationMs);
    await fleet.start(router);
  }

  async #stopRouter(router: StoreRouter): Promise<void> {
    const exitCode = await this.#options.fleet.stop(router);
    if (exitCode === undefined) return;
    this.#stops.push({ router: router.name, exitCode });
  }

  async #injectStoreFault(
    faults: Partial<StoreFleet["store"]["faults"]>,
    durationMs: number,
  ): Promise<void> {
    const { store } = this.#options.fleet;
    Object.assign(store.faults, faults);
    await sleep(durationMs);
    const noFaults = {
      refusalStatus: undefined,
      delayMs: 0,
      lostResponseRate: 0,
      withholdsEvents: false,
    };
    Object.assign(store.faults, noFaults);
  }

  /** Starts an upstream again, engines with any version of the software. */
  async #restart(
    upstream: RegisteredUpstream,
    { keepsId = false } = {},
  ): Promise<void> {
    const { fleet } = this.#options;
    if (upstream.name.startsWith("engine")) {
      upstream.softwareVersion = this.#random.pick(fleet.engineVersions);
    }
    await upstream.start({ keepsId });
  }

  /** Restarts an engine with another version, and again after a while. */
  async #upgrade(
    upstream: RegisteredUpstream,
    durationMs: number,
  ): Promise<void> {
    const others = this.#options.fleet.engineVersions
      .filter((version) => version !== upstream.softwareVersion);
    upstream.softwareVersion = others[0] ?? upstream.softwareVersion;
    for (const waitMs of [durationMs, 0]) {
      await upstream.kill();
      await sleep(UPGRADE_DOWN_MS);
      await upstream.start({ keepsId: true, entryDelayMs: UPGRADE_ENTRY_MS });
      await sleep(waitMs);
    }
  }

  /** Pauses the answers of an upstream while others may not replace it. */
  async #pauseAnswers(
    upstream: RegisteredUpstream,
    durationMs: number,
  ): Promise<void> {
    const others = this.#options.fleet.upstreams.filter((each) =>
      each !== upstream && each.service === upstream.service
    );
    const state = this.#random.pick(["sound", "full", "paused"] as const);
    const paused = state === "paused" ? [upstream, ...others] : [upstream];
    for (const each of paused) {
      each.pausedUntilMs = performance.now() + durationMs;
    }
    if (state !== "full") return await sleep(durationMs);
    for (const each of others) each.isFull = true;
    await sleep(durationMs);
    for (const each of others) each.isFull = false;
  }

  #findRouter(name: string) {
    return this.#options.fleet.routers.find((each) => each.name === name)!;
  }

  #findUpstream(name: string) {
    return this.#options.fleet.upstreams.find((each) => each.name === name)!;
  }
}

function countFalls({ upstreams }: StoreFleet): number {
  return upstreams.reduce((sum, { fallCount }) => sum + fallCount, 0);
}

async function injectLinkFault(
  { relay }: { relay: { setFaults(faults: object): Promise<unknown> } },
  kind: StoreChaosKind,
  durationMs: number,
): Promise<void> {
  await relay.setFaults(LINK_FAULTS[kind]!);
  await sleep(durationMs);
  await relay.setFaults(NO_LINK_FAULTS);
}
