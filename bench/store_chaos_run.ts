/** A run of a fleet with a metadata store under load and faults. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { ChaosEvent, ChaosKind } from "../testing/chaos_schedule.ts";
import type { ChaosTargets } from "../testing/chaos_schedule.ts";
import type { RelayFaults } from "../testing/relay.ts";
import { runArrivals } from "./load/arrivals.ts";
import { Random } from "./load/random.ts";
import { Callers } from "./store_chaos_calls.ts";
import type {
  Call,
  CallKind,
  FaultWindow,
  StoreChaosEvidence,
} from "./store_chaos_evidence.ts";
import { STORE_CHAOS_BOUNDS, type StoreFleet } from "./store_chaos_fleet.ts";

/** Options of a run. */
export interface StoreChaosOptions {
  readonly fleet: StoreFleet;
  readonly schedule: readonly ChaosEvent[];
  readonly seed: number;
  readonly durationMs: number;
  /** Requests a second. */
  readonly rate?: number;
  readonly onEvent?: (event: ChaosEvent) => void;
}

/** Faults that such a fleet can have; the others are of the project's own. */
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
type StoreChaosKind = typeof STORE_CHAOS_KINDS[number];

const RATE = 40;
const SUBJECTS = 30;
const KINDS: readonly CallKind[] = ["read", "read", "book", "chat", "plan"];
/** A key is taken away, and another added, each time. */
const CONFIGURE_MS = 4_000;
/** Past a cold start, the bounds and the restart of what was killed. */
const SETTLE_MS = 7_000;
const RECOVERY_MS = 3_000;
const SLOW_STORE_MS = 300;
const LOST_SHARE = 0.3;
const LINK_FAULTS: Readonly<Record<string, Partial<RelayFaults>>> = {
  "link-silent": { silence: true },
  "link-cut": { cut: true },
  "link-cut-to-upstream": { cutOneWay: "to-target" },
  "link-cut-to-router": { cutOneWay: "to-client" },
  "key-value-link-cut": { cut: true },
  "key-value-link-silent": { silence: true },
};
const LINK_IS_SOUND = { cut: false, cutOneWay: "none" } as const;

/** Names what can fail in a fleet. */
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

/** Runs load and faults, then load alone, and stops the fleet. */
export async function runStoreChaos(
  options: StoreChaosOptions,
): Promise<StoreChaosEvidence> {
  const run = new StoreChaosRun(options);
  return await run.run();
}

class StoreChaosRun {
  readonly #options: StoreChaosOptions;
  readonly #random: Random;
  readonly #callers = new Callers();
  readonly #windows: FaultWindow[] = [];
  readonly #stops: { router: string; exitCode: number | null }[] = [];
  /** The last fault at each target. */
  readonly #lastAt = new Map<string, Promise<void>>();
  #requests = 0;

  constructor(options: StoreChaosOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  async run(): Promise<StoreChaosEvidence> {
    const { fleet, schedule, durationMs, onEvent = () => {} } = this.#options;
    const configuring = setInterval(() => {
      fleet.configure({ addKey: `key-${performance.now().toFixed()}` });
    }, CONFIGURE_MS);
    const [calls] = await Promise.all([
      this.#load(durationMs),
      ...schedule.map(async (event) => {
        await sleep(event.atMs);
        onEvent(event);
        await this.#performInTurn(event);
      }),
    ]);
    clearInterval(configuring);
    await sleep(SETTLE_MS);
    const recovery = await this.#load(RECOVERY_MS);
    this.#callers.close();
    const codes = await fleet.close();
    codes.forEach((exitCode, index) => {
      this.#stops.push({ router: fleet.routers[index]!.name, exitCode });
    });
    return {
      calls,
      recovery,
      arrivals: fleet.arrivals,
      windows: this.#windows,
      withdrawals: fleet.withdrawals,
      bounds: STORE_CHAOS_BOUNDS,
      stops: this.#stops,
    };
  }

  async #load(durationMs: number): Promise<Call[]> {
    const { fleet, seed, rate = RATE } = this.#options;
    const calls: Promise<Call>[] = [];
    const startMs = performance.now();
    await runArrivals(() => {
      const { key } = fleet;
      calls.push(this.#callers.call({
        requestId: `${seed}-${++this.#requests}`,
        kind: this.#random.pick(KINDS),
        router: this.#random.pick(fleet.routers),
        // Some callers learn late that their key was taken away.
        key: this.#random.nextBoolean(0.1) ? this.#pickOldKey(key) : key,
        subject: `subject-${
          this.#random.nextInteger({ min: 1, max: SUBJECTS })
        }`,
      }));
    }, { random: this.#random, rate, startMs, endMs: startMs + durationMs });
    return await Promise.all(calls);
  }

  #pickOldKey(key: string): string {
    const { withdrawals } = this.#options.fleet;
    return withdrawals.findLast(({ what }) => what === "key")?.name ?? key;
  }

  /** A fault waits until the one before at its target has ended. */
  #performInTurn(event: ChaosEvent): Promise<void> {
    const before = this.#lastAt.get(event.target) ?? Promise.resolve();
    const performed = before.then(() => this.#perform(event));
    this.#lastAt.set(event.target, performed);
    return performed;
  }

  async #perform({ kind, target, forMs }: ChaosEvent): Promise<void> {
    const fromMs = performance.now();
    await this.#begin(kind as StoreChaosKind, target, forMs);
    this.#windows.push({ kind, target, fromMs, toMs: performance.now() });
  }

  async #begin(
    kind: StoreChaosKind,
    target: string,
    forMs: number,
  ): Promise<void> {
    const { fleet } = this.#options;
    switch (kind) {
      case "router-killed":
      case "router-stopped":
      case "router-paused":
        return await this.#disturbRouter(kind, target, forMs);
      case "engine-killed": {
        const upstream = this.#findUpstream(target);
        await upstream.kill();
        await sleep(forMs);
        return await upstream.start();
      }
      case "engine-cold":
        return this.#findUpstream(target).turnCold();
      case "engine-leaving": {
        const upstream = this.#findUpstream(target);
        upstream.leave();
        fleet.noteWithdrawn({ what: "upstream", name: upstream.id });
        await upstream.exit();
        return await upstream.start();
      }
      case "link-silent":
      case "link-cut":
      case "link-cut-to-upstream":
      case "link-cut-to-router":
        return await disturbLink(this.#findUpstream(target), kind, forMs);
      case "key-value-link-cut":
      case "key-value-link-silent": {
        const { storeLink: relay } = this.#findRouter(target);
        return await disturbLink({ relay }, kind, forMs);
      }
      case "key-value-down":
        return await this.#disturbStore({ refuseWith: 503 }, forMs);
      case "key-value-slow":
        return await this.#disturbStore({ delayMs: SLOW_STORE_MS }, forMs);
      case "key-value-loses-answers":
        return await this.#disturbStore({ lostShare: LOST_SHARE }, forMs);
      case "watches-silent":
        await this.#disturbStore({ isDeaf: true }, 1_000);
        return fleet.store.compact();
      case "failure-domain-out": {
        fleet.store.put(`op/evacuate/${target}`, {});
        const untilMs = performance.now() + forMs;
        fleet.noteWithdrawn({ what: "failure-domain", name: target, untilMs });
        await sleep(forMs);
        return fleet.store.remove(`op/evacuate/${target}`);
      }
    }
  }

  async #disturbRouter(
    kind: "router-killed" | "router-stopped" | "router-paused",
    target: string,
    forMs: number,
  ): Promise<void> {
    const { fleet } = this.#options;
    const router = this.#findRouter(target);
    if (kind === "router-paused") {
      fleet.signal(router, "SIGSTOP");
      await sleep(forMs);
      return fleet.signal(router, "SIGCONT");
    }
    if (kind === "router-killed") fleet.signal(router, "SIGKILL");
    const exitCode = await fleet.stop(router);
    if (kind === "router-stopped") {
      this.#stops.push({ router: router.name, exitCode });
    }
    await sleep(forMs);
    await fleet.start(router);
  }

  async #disturbStore(
    faults: Partial<StoreFleet["store"]["faults"]>,
    forMs: number,
  ): Promise<void> {
    const { store } = this.#options.fleet;
    Object.assign(store.faults, faults);
    await sleep(forMs);
    const sound = {
      refuseWith: undefined,
      delayMs: 0,
      lostShare: 0,
      isDeaf: false,
    };
    Object.assign(store.faults, sound);
  }

  #findRouter(name: string) {
    return this.#options.fleet.routers.find((each) => each.name === name)!;
  }

  #findUpstream(name: string) {
    return this.#options.fleet.upstreams.find((each) => each.name === name)!;
  }
}

async function disturbLink(
  { relay }: { relay: { setFaults(faults: object): Promise<unknown> } },
  kind: StoreChaosKind,
  forMs: number,
): Promise<void> {
  await relay.setFaults(LINK_FAULTS[kind]!);
  await sleep(forMs);
  await relay.setFaults(LINK_IS_SOUND);
}
