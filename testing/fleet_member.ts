/** Processes of a fleet, which can be stopped and restarted. */
import type { UpstreamRecord } from "./upstream_state.ts";
import type { Control } from "./upstream_control.ts";
import type { Upstream } from "../src/config/manifest.ts";
import { call, type FleetResponse } from "./fleet_http.ts";
import { Scrape } from "./fleet_metrics.ts";
import type { Processes, StartedProcess } from "./processes.ts";

/** Options of a fleet process. */
export interface MemberOptions {
  readonly processes: Processes;
  readonly name: string;
  /** `ip:port` at which the process listens. */
  readonly address: string;
  readonly script: string;
  readonly args: readonly string[];
}

/** State that a router reports. */
export interface RouterState {
  readonly isReady: boolean;
  /** Configuration version in force. */
  readonly version: number;
}

/** A process that keeps its address when it is restarted. */
export class Member {
  readonly name: string;
  readonly address: string;
  readonly #options: MemberOptions;
  #process: StartedProcess | undefined;
  #startCount = 0;

  constructor(options: MemberOptions) {
    this.#options = options;
    this.name = options.name;
    this.address = options.address;
  }

  /** Starts the process; each start writes a new log file. */
  async start(): Promise<void> {
    const { processes, script, args } = this.#options;
    this.#startCount++;
    const name = `${this.name}.${this.#startCount}`;
    this.#process = await processes.start(script, args, { name });
  }

  /** Stops gracefully; returns the exit code, or null if it had to be killed. */
  async stop(): Promise<number | null> {
    return await this.#options.processes.stop(this.#getProcessName());
  }

  /** Kills the process with SIGKILL and waits until it has exited. */
  async kill(): Promise<void> {
    this.#sendSignal("SIGKILL");
    await this.#process?.exited;
  }

  /** Suspends the process with SIGSTOP. */
  pause(): void {
    this.#sendSignal("SIGSTOP");
  }

  /** Continues a paused process. */
  resume(): void {
    this.#sendSignal("SIGCONT");
  }

  /** Sends a request to a path of the process. */
  call(
    path: string,
    options?: Parameters<typeof call>[1],
  ): Promise<FleetResponse> {
    return call(`http://${this.address}${path}`, options);
  }

  #sendSignal(signal: NodeJS.Signals): void {
    this.#options.processes.signal(this.#getProcessName(), signal);
  }

  #getProcessName(): string {
    return `${this.name}.${this.#startCount}`;
  }
}

/** A router. */
export class RouterMember extends Member {
  readonly failureDomain: string;

  constructor(options: MemberOptions & { failureDomain: string }) {
    super(options);
    this.failureDomain = options.failureDomain;
  }

  /** Fetches `/metrics`. */
  async scrape(): Promise<Scrape> {
    const { text } = await this.call("/metrics");
    return new Scrape(text);
  }

  /** Fetches readiness and the configuration version in force. */
  async getState(): Promise<RouterState> {
    const [ready, scrape] = await Promise.all([
      this.call("/readyz"),
      this.scrape(),
    ]);
    return {
      isReady: ready.status === 200,
      version: scrape.sum("corianderflow_configuration_version"),
    };
  }
}

/** An engine or a plain service. */
export class UpstreamMember extends Member {
  readonly service: string;
  readonly kind: "engine" | "plain";
  readonly upstream: Upstream;

  constructor(
    options: MemberOptions & {
      service: string;
      kind: "engine" | "plain";
      upstream: Upstream;
    },
  ) {
    super(options);
    this.service = options.service;
    this.kind = options.kind;
    this.upstream = options.upstream;
  }

  /** Sends a control command to the stand-in. */
  async control(order: Control): Promise<void> {
    await this.call("/control", { body: order });
  }

  /** Returns what the stand-in has recorded since its process started. */
  async getRecord(): Promise<UpstreamRecord> {
    const { text } = await this.call("/control/record");
    return JSON.parse(text) as UpstreamRecord;
  }

  /** Returns the number of runs by idempotency key; plain services only. */
  async getRuns(): Promise<Record<string, number>> {
    const { text } = await this.call("/control/runs");
    return JSON.parse(text) as Record<string, number>;
  }
}
