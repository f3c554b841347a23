/** One process of a fleet, which can be stopped and started again. */
import type { UpstreamRecord } from "./upstream_state.ts";
import type { Control } from "./upstream_control.ts";
import type { Upstream } from "../src/config/manifest.ts";
import { call, type FleetAnswer } from "./fleet_http.ts";
import { Scrape } from "./fleet_metrics.ts";
import type { Processes, StartedProcess } from "./processes.ts";

/** Options of a member. */
export interface MemberOptions {
  readonly processes: Processes;
  readonly name: string;
  /** `ip:port` at which the process listens. */
  readonly address: string;
  readonly script: string;
  readonly args: readonly string[];
}

/** What a router reports of itself. */
export interface RouterView {
  readonly isReady: boolean;
  readonly version: number;
}

/** A process at a fixed address. */
export class Member {
  readonly name: string;
  readonly address: string;
  readonly #options: MemberOptions;
  #process: StartedProcess | undefined;
  #starts = 0;

  constructor(options: MemberOptions) {
    this.#options = options;
    this.name = options.name;
    this.address = options.address;
  }

  /** Starts the process; each start has a log file of its own. */
  async start(): Promise<void> {
    const { processes, script, args } = this.#options;
    this.#starts++;
    const name = `${this.name}.${this.#starts}`;
    this.#process = await processes.start(script, args, { name });
  }

  /** Stops gracefully; the exit code, or null when it had to be killed. */
  async stop(): Promise<number | null> {
    return await this.#options.processes.stop(this.#getProcessName());
  }

  /** Kills the process without notice. */
  async kill(): Promise<void> {
    this.#signal("SIGKILL");
    await this.#process?.exited;
  }

  /** Pauses the process. */
  pause(): void {
    this.#signal("SIGSTOP");
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.#signal("SIGCONT");
  }

  /** Calls a path of the process. */
  call(
    path: string,
    options?: Parameters<typeof call>[1],
  ): Promise<FleetAnswer> {
    return call(`http://${this.address}${path}`, options);
  }

  #signal(signal: NodeJS.Signals): void {
    this.#options.processes.signal(this.#getProcessName(), signal);
  }

  #getProcessName(): string {
    return `${this.name}.${this.#starts}`;
  }
}

/** A router. */
export class RouterMember extends Member {
  readonly failureDomain: string;

  constructor(options: MemberOptions & { failureDomain: string }) {
    super(options);
    this.failureDomain = options.failureDomain;
  }

  /** Reads the metrics. */
  async scrape(): Promise<Scrape> {
    const { text } = await this.call("/metrics");
    return new Scrape(text);
  }

  /** Reads readiness and the configuration version in force. */
  async getView(): Promise<RouterView> {
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

  /** Gives a control order to the stand-in. */
  async control(order: Control): Promise<void> {
    await this.call("/control", { body: order });
  }

  /** What the stand-in has seen since its process started. */
  async getRecord(): Promise<UpstreamRecord> {
    const { text } = await this.call("/control/record");
    return JSON.parse(text) as UpstreamRecord;
  }

  /** Runs by idempotency key; only a plain service has them. */
  async getRuns(): Promise<Record<string, number>> {
    const { text } = await this.call("/control/runs");
    return JSON.parse(text) as Record<string, number>;
  }
}
