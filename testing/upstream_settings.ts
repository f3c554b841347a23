/** Command-line options that the stand-in upstreams share. */
import process from "node:process";
import { parseArgs, type ParseArgsConfig } from "node:util";

/** Options by name, as `parseArgs` takes them. */
export type OptionTable = NonNullable<ParseArgsConfig["options"]>;

/** Options of every stand-in upstream, with defaults. */
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

/** Reads options from the command line. */
export class CommandLine {
  readonly #values: Record<string, unknown>;

  constructor(options: OptionTable) {
    this.#values = parseArgs({ options, strict: true }).values;
  }

  /** Value of a text option. */
  getText(name: string): string {
    return String(this.#values[name]);
  }

  /** Value of a numeric option. */
  getNumber(name: string): number {
    const value = Number(this.#values[name]);
    if (!Number.isFinite(value)) throw new TypeError(`--${name}: not a number`);
    return value;
  }

  /** Whether a switch is set. */
  hasFlag(name: string): boolean {
    return this.#values[name] === true;
  }

  /** The options that every stand-in upstream takes. */
  getUpstreamOptions() {
    return {
      name: this.getText("name"),
      hardLimit: this.getNumber("hard-limit"),
      coldLimit: this.getNumber("cold-limit"),
      coldMs: this.getNumber("cold-ms"),
      coldCompletions: this.getNumber("cold-completions"),
      coldGraceMs: this.getNumber("cold-grace-ms"),
      fallMs: this.getNumber("fall-ms"),
      reportLagMs: this.getNumber("report-lag-ms"),
      seed: this.getNumber("seed"),
    };
  }
}

/** A server that a main module runs. */
export interface Service {
  listen(port: number): Promise<string>;
  close(): void;
}

/** Listens, says where on standard output, and closes on SIGTERM. */
export async function serve(service: Service, port: number): Promise<void> {
  const listening = await service.listen(port);
  process.stdout.write(`${JSON.stringify({ listening })}\n`);
  process.once("SIGTERM", () => service.close());
}
