/** Command-line options that the stand-in upstreams share. */
import process from "node:process";
import { parseArgs, type ParseArgsConfig } from "node:util";

/** Options by name, in the form that `parseArgs` expects. */
export type OptionTable = NonNullable<ParseArgsConfig["options"]>;

/** Options of every stand-in upstream and their defaults. */
export const UPSTREAM_OPTIONS = {
  "port": { type: "string", default: "0" },
  "name": { type: "string", default: "upstream" },
  "hard-limit": { type: "string", default: "16" },
  "cold-limit": { type: "string", default: "2" },
  "cold-ms": { type: "string", default: "2000" },
  "cold-completions": { type: "string", default: "0" },
  "cold-grace-ms": { type: "string", default: "1000" },
  "fall-ms": { type: "string", default: "1000" },
  "report-lag-ms": { type: "string", default: "200" },
  "seed": { type: "string", default: "1" },
} as const satisfies OptionTable;

/** Parses the command line; throws on unknown options. */
export class CommandLine {
  readonly #values: Record<string, unknown>;

  constructor(options: OptionTable) {
    this.#values = parseArgs({ options, strict: true }).values;
  }

  /** Returns the value of a text option. */
  getText(name: string): string {
    return String(this.#values[name]);
  }

  /** Returns the value of a numeric option; throws if it is not a number. */
  getNumber(name: string): number {
    const value = Number(this.#values[name]);
    if (!Number.isFinite(value)) {
      throw new TypeError(`--${name} must be a number`);
    }
    return value;
  }

  /** Returns whether a Boolean option is set. */
  hasFlag(name: string): boolean {
    return this.#values[name] === true;
  }

  /** Returns the values of `UPSTREAM_OPTIONS`. */
  getUpstreamOptions() {
    return {
      name: this.getText("name"),
      hardLimit: this.getNumber("hard-limit"),
      coldLimit: this.getNumber("cold-limit"),
      coldMs: this.getNumber("cold-ms"),
      coldCompletions: this.getNumber("cold-completions"),
      coldGraceMs: this.getNumber("cold-grace-ms"),
      downMs: this.getNumber("fall-ms"),
      reportLagMs: this.getNumber("report-lag-ms"),
      seed: this.getNumber("seed"),
    };
  }
}

/** A server that an entry point runs. */
export interface StandInServer {
  listen(port: number): Promise<string>;
  close(): void;
}

/** Listens, prints the address as JSON to stdout, and closes on SIGTERM. */
export async function serve(
  service: StandInServer,
  port: number,
): Promise<void> {
  const listening = await service.listen(port);
  process.stdout.write(`${JSON.stringify({ listening })}\n`);
  process.once("SIGTERM", () => service.close());
}
