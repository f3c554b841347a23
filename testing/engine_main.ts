/** Entry point of the stand-in engine's process. */
import { Engine } from "./engine.ts";
import { CommandLine, serve, UPSTREAM_OPTIONS } from "./upstream_settings.ts";

const commandLine = new CommandLine({
  ...UPSTREAM_OPTIONS,
  "token-ms": { type: "string", default: "10" },
  "batch-size": { type: "string", default: "0" },
  "prefill-per-step": { type: "string", default: "512" },
  "cache-tokens": { type: "string", default: "200000" },
  "checks-fencing": { type: "boolean", default: false },
});

const engine = new Engine({
  ...commandLine.getUpstreamOptions(),
  tokenMs: commandLine.getNumber("token-ms"),
  batchSize: commandLine.getNumber("batch-size"),
  prefillPerStep: commandLine.getNumber("prefill-per-step"),
  cacheTokens: commandLine.getNumber("cache-tokens"),
  checksFencing: commandLine.hasFlag("checks-fencing"),
});

void serve(engine, commandLine.getNumber("port"));
