/**
 * Faults under which a router may end by itself: readers of its log that close,
 * ports that are taken, signals, settings that are being written, and messages
 * without end.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { ChaosKind } from "../testing/chaos_schedule.ts";
import { ENDLESS_ANSWERS, ENDLESS_REQUESTS } from "../testing/endless_bytes.ts";
import type { RegisteredUpstream } from "../testing/registered_upstream.ts";
import type { Random } from "./load/random.ts";
import {
  type IncompleteSettings,
  ROUTER_PORTS,
  type StoreFleet,
  type StoreRouter,
} from "./store_chaos_fleet.ts";
import { leaveAnswersUnread, sendEndlessBodies } from "./store_chaos_floods.ts";

/** Kinds of these faults. */
export const ROUTER_END_KINDS = [
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
] as const satisfies readonly ChaosKind[];
export type RouterEndKind = typeof ROUTER_END_KINDS[number];

/** Options of `EndFaults`. */
export interface EndFaultsOptions {
  readonly fleet: StoreFleet;
  readonly random: Random;
  /** Stops a router and records its exit code. */
  readonly stop: (router: StoreRouter) => Promise<void>;
}

/** Signals that a router handles without ending. */
const SIGNALS = ["SIGHUP", "SIGUSR2"] as const;
const MAX_SIGNALS_AT_START = 4;
/** Time of a start in which signals come, in milliseconds. */
const START_MS = 300;
const MEAN_SIGNAL_GAP_MS = 120;
const INCOMPLETE_SETTINGS: readonly IncompleteSettings[] = ["empty", "half"];

/** Whether a fault is one of these. */
export function isRouterEndKind(kind: ChaosKind): kind is RouterEndKind {
  return (ROUTER_END_KINDS as readonly ChaosKind[]).includes(kind);
}

/** Injects these faults, and draws what a schedule leaves open. */
export class EndFaults {
  readonly #options: EndFaultsOptions;
  #floodCount = 0;

  constructor(options: EndFaultsOptions) {
    this.#options = options;
  }

  async inject(
    kind: RouterEndKind,
    target: string,
    durationMs: number,
  ): Promise<void> {
    const { fleet, random } = this.#options;
    switch (kind) {
      case "answers-endless":
        return await this.#answerEndlessly(target, durationMs);
      case "bodies-endless":
        return await sendEndlessBodies(
          random.pick(ENDLESS_REQUESTS),
          this.#createFlood(durationMs),
        );
      case "answers-unread":
        return await leaveAnswersUnread(this.#createFlood(durationMs));
    }
    const router = fleet.routers.find(({ name }) => name === target)!;
    switch (kind) {
      case "log-reader-closed":
        return fleet.closeLogReader(router);
      case "log-reader-stalled":
        return await fleet.stallLogReader(router, durationMs);
      case "port-taken-at-start":
        return await this.#startWithPortTaken(router, durationMs);
      case "signals-at-start":
        return await this.#startUnderSignals(router);
      case "signals-in-series":
        return await this.#sendSignals(router, durationMs);
      case "settings-incomplete-at-start":
        return await this.#startAmidWrite(router, durationMs);
      case "settings-incomplete-at-reload":
        return await this.#reloadAmidWrite(router, durationMs);
    }
  }

  async #startWithPortTaken(
    router: StoreRouter,
    durationMs: number,
  ): Promise<void> {
    const { fleet, random, stop } = this.#options;
    await stop(router);
    const release = await fleet.takePort(router, random.pick(ROUTER_PORTS));
    const started = fleet.start(router);
    await sleep(durationMs);
    await release();
    await started;
  }

  async #startUnderSignals(router: StoreRouter): Promise<void> {
    const { fleet, random, stop } = this.#options;
    await stop(router);
    const started = fleet.start(router);
    await fleet.waitForProgram(router);
    const count = random.nextInteger({ min: 1, max: MAX_SIGNALS_AT_START });
    for (let each = 0; each < count; each++) {
      fleet.signal(router, random.pick(SIGNALS));
      await sleep(random.nextInteger({ min: 0, max: START_MS / count }));
    }
    await started;
  }

  /** Sends signals, also while the router stops and starts amid them. */
  async #sendSignals(router: StoreRouter, durationMs: number): Promise<void> {
    const { fleet, random, stop } = this.#options;
    const endMs = performance.now() + durationMs;
    const restartMs = random.nextInteger({ min: 0, max: durationMs });
    let isOver = false;
    const restarted = sleep(restartMs)
      .then(() => stop(router))
      .then(() => fleet.start(router))
      .finally(() => isOver = true);
    while (!isOver || performance.now() < endMs) {
      await sleep(random.nextExponential(MEAN_SIGNAL_GAP_MS));
      if (!fleet.hasBegun(router)) await fleet.waitForProgram(router);
      fleet.signal(router, random.pick(SIGNALS));
    }
    await restarted;
  }

  async #startAmidWrite(
    router: StoreRouter,
    durationMs: number,
  ): Promise<void> {
    const { fleet, random, stop } = this.#options;
    await stop(router);
    fleet.writeIncompleteSettings(router, random.pick(INCOMPLETE_SETTINGS));
    const started = fleet.start(router);
    await sleep(durationMs);
    fleet.writeSettings(router);
    await started;
  }

  async #reloadAmidWrite(
    router: StoreRouter,
    durationMs: number,
  ): Promise<void> {
    const { fleet, random } = this.#options;
    fleet.writeIncompleteSettings(router, random.pick(INCOMPLETE_SETTINGS));
    fleet.signal(router, "SIGHUP");
    await sleep(durationMs);
    fleet.writeSettings(router);
    fleet.signal(router, "SIGHUP");
  }

  async #answerEndlessly(target: string, durationMs: number): Promise<void> {
    const { fleet, random } = this.#options;
    const upstream = fleet.upstreams.find(({ name }) =>
      name === target
    ) as RegisteredUpstream;
    upstream.endlessAnswer = random.pick(ENDLESS_ANSWERS);
    await sleep(durationMs);
    upstream.endlessAnswer = undefined;
  }

  #createFlood(durationMs: number) {
    const { fleet, random } = this.#options;
    return {
      router: random.pick(fleet.routers),
      key: fleet.key,
      name: `flood-${++this.#floodCount}`,
      durationMs,
    };
  }
}
