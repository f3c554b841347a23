/** Entry point of a process that runs one baseline router. */
import { readFileSync } from "node:fs";
import { CommandLine, serve } from "../testing/upstream_settings.ts";
import type { Manifest } from "../src/config/manifest.ts";
import {
  BASELINE_NAMES,
  type BaselineName,
  loadBaselinePolicy,
} from "./baselines_policy.ts";
import { BaselineRouter } from "./baselines_router.ts";

const BOUND_POLL_INTERVAL_MS = 50;

async function main(): Promise<void> {
  const commandLine = new CommandLine({
    "port": { type: "string", default: "0" },
    "policy": { type: "string", default: "round-robin" },
    "manifest": { type: "string", default: "" },
  });
  const name = commandLine.getText("policy") as BaselineName;
  if (!BASELINE_NAMES.includes(name)) {
    throw new TypeError(`--policy: unknown policy ${name}`);
  }
  const text = readFileSync(commandLine.getText("manifest"), "utf8");
  const manifest = JSON.parse(text) as Manifest;
  const engine = manifest.services.find(({ kind }) => kind === "engine");
  const policy = await loadBaselinePolicy(name, {
    loadFactor: engine?.loadFactor ?? 1,
  });
  const pollMs = name === "bound" ? BOUND_POLL_INTERVAL_MS : 0;
  const router = new BaselineRouter({ manifest, policy, pollMs });
  await serve(router, commandLine.getNumber("port"));
}

void main();
