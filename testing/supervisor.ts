/**
 * Keeps processes running as the users' platform does: one that ends by itself,
 * or does not start, is started again after a short delay.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  ProcessError,
  type Processes,
  type StartedProcess,
} from "./processes.ts";

/** Time from the end of a process to its next start, in milliseconds. */
const RESTART_DELAY_MS = 1_000;

/** Starts a process. */
export type Starter = () => Promise<StartedProcess>;

/** Starts, restarts and stops the processes of a set. */
export class Supervisor {
  readonly #processes: Processes;
  /** How to start each process that is to run. */
  readonly #starters = new Map<string, Starter>();

  constructor(processes: Processes) {
    this.#processes = processes;
  }

  /**
   * Starts a process, and starts it again whenever it ends until it is stopped.
   *
   * @returns whether the first start succeeded
   */
  async start(name: string, starter: Starter): Promise<boolean> {
    this.#starters.set(name, starter);
    return await this.#tryStart(name, starter);
  }

  /**
   * Stops a process for good.
   *
   * @returns its exit code, null if a signal ended it, and undefined if it did
   * not run or had not yet started
   */
  async stop(name: string): Promise<number | null | undefined> {
    this.#starters.delete(name);
    const hasStarted = this.#processes.hasStarted(name);
    const exitCode = await this.#processes.stop(name);
    return hasStarted ? exitCode : undefined;
  }

  async #tryStart(name: string, starter: Starter): Promise<boolean> {
    try {
      const { exited } = await starter();
      void exited.then(() => this.#restart(name, starter));
      return true;
    } catch (error) {
      // `Processes.ends` holds the reason.
      if (!(error instanceof ProcessError)) throw error;
      void this.#restart(name, starter);
      return false;
    }
  }

  async #restart(name: string, starter: Starter): Promise<void> {
    if (this.#starters.get(name) !== starter) return;
    await sleep(RESTART_DELAY_MS, undefined, { ref: false });
    if (this.#starters.get(name) !== starter) return;
    await this.#tryStart(name, starter);
  }
}
