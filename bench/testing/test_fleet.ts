/**
 * A fleet of router processes with a metadata store for one test, and callers
 * that send requests to any of its routers.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Random } from "../load/random.ts";
import { Callers, type CallOptions } from "../store_chaos_calls.ts";
import type { Call } from "../store_chaos_evidence.ts";
import { StoreFleet } from "../store_chaos_fleet.ts";

/** Options of `openTestFleet`. */
export interface TestFleetOptions {
  readonly routers: number;
  readonly engines: number;
  /** 1 by default. */
  readonly plainServices?: number;
  /** Versions of the engines' software, in turn; "v1" by default. */
  readonly engineVersions?: readonly string[];
  /** Time between two events of a stream, in milliseconds. */
  readonly eventIntervalMs?: number;
  readonly seed: number;
}

const PROGRAM = "dist/src/daemon/main.js";
const MS_PER_SECOND = 1_000;

/** Starts a fleet and waits until its routers are ready. */
export async function openTestFleet(
  { plainServices = 1, seed, ...options }: TestFleetOptions,
): Promise<TestFleet> {
  const directory = mkdtempSync(join(tmpdir(), "test-fleet-"));
  const fleet = new StoreFleet({
    directory,
    plainServices,
    ...options,
    program: PROGRAM,
  });
  await fleet.open();
  return new TestFleet(fleet, { directory, seed });
}

/** A running fleet and its callers. */
export class TestFleet {
  readonly fleet: StoreFleet;
  readonly random: Random;
  readonly #directory: string;
  readonly #seed: number;
  readonly #callers: Callers;
  #requestCount = 0;

  constructor(
    fleet: StoreFleet,
    { directory, seed }: { directory: string; seed: number },
  ) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.#directory = directory;
    this.#seed = seed;
    this.#callers = new Callers({
      pickRouter: (current) =>
        this.random.pick(fleet.routers.filter((each) => each !== current)),
      countServing: (version) => fleet.countServing(version),
    });
  }

  /**
   * Sends `perSecond` streams a second at any router until `stop` is called,
   * which resolves with all of them once they have ended. `getPrompt` returns
   * the ids of the parts that requests share.
   */
  sendStreams(
    perSecond: number,
    getPrompt: () => readonly [string, ...string[]],
  ): { stop(): Promise<Call[]> } {
    return this.sendCalls(perSecond, () => {
      const [subject, ...parts] = getPrompt();
      const kind = this.random.pick(["chat", "plan"] as const);
      return { kind, subject, parts };
    });
  }

  /** Sends `perSecond` requests a second in the same way. */
  sendCalls(
    perSecond: number,
    createCall: () => Pick<CallOptions, "kind" | "subject" | "parts" | "body">,
  ): { stop(): Promise<Call[]> } {
    const calls: Promise<Call>[] = [];
    const timer = setInterval(() => {
      calls.push(this.#callers.call({
        requestId: `${this.#seed}-${++this.#requestCount}`,
        router: this.random.pick(this.fleet.routers),
        key: this.fleet.key,
        ...createCall(),
      }));
    }, MS_PER_SECOND / perSecond);
    return {
      stop: () => {
        clearInterval(timer);
        return Promise.all(calls);
      },
    };
  }

  async close(): Promise<void> {
    this.#callers.close();
    await this.fleet.close();
    rmSync(this.#directory, { recursive: true });
  }
}
