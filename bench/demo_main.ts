/**
 * The demo: starts Rokuro Hour's stand-ins and six routers on loopback, sends
 * returning chats and bookings through all routers, and prints a table of the
 * results.
 *
 * Exits with 0 only if every check passes and every router exits with 0. With
 * `KEEP=1` in the environment the fleet keeps running until it is interrupted.
 */
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { stringify } from "ini";
import { type Fleet, startFleet } from "../testing/fleet.ts";
import {
  type ControlTraffic,
  type DemoResult,
  findDemoFailures,
  renderDemoReport,
} from "./demo_report.ts";
import { runLoad } from "./load/run_load.ts";
import type { LoadReport } from "./load/report.ts";

const DIRECTORY = "out/demo";
const OPERATOR_FILE = `${DIRECTORY}/operator.ini`;
const SEED = 1;
const DURATION_SECONDS = 15;
const CHATS_PER_SECOND = 40;
const CHAT_COUNT = 60;
const BOOKINGS_PER_SECOND = 6;
const MS_PER_SECOND = 1_000;
/** Lets the upstreams finish their cold start. */
const WARM_UP_MS = 3_000;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function readControlBytes(fleet: Fleet): Promise<number[]> {
  const scrapes = await Promise.all(
    fleet.routers.map((router) => router.scrape()),
  );
  return scrapes.map((scrape) =>
    scrape.sum("corianderflow_control_bytes_total")
  );
}

async function measureControlTraffic(
  fleet: Fleet,
  run: () => Promise<LoadReport>,
): Promise<{ load: LoadReport; control: ControlTraffic[] }> {
  const before = await readControlBytes(fleet);
  const startedAt = performance.now();
  const load = await run();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = await readControlBytes(fleet);
  const control = fleet.routers.map(({ name }, index) => ({
    router: name,
    bytesPerSecond: (after[index]! - before[index]!) / seconds,
  }));
  return { load, control };
}

async function countBreaches(fleet: Fleet): Promise<number> {
  const scrapes = await Promise.all(
    fleet.routers.map((router) => router.scrape()),
  );
  return scrapes.reduce(
    (sum, scrape) => sum + scrape.sum("corianderflow_invariant_breaches_total"),
    0,
  );
}

async function countFalls(fleet: Fleet): Promise<number> {
  const records = await Promise.all(
    fleet.upstreams.map((upstream) => upstream.getRecord()),
  );
  return records.reduce((sum, { falls }) => sum + falls, 0);
}

async function runDemo(fleet: Fleet): Promise<DemoResult> {
  const { workspaces } = fleet.plan.manifest;
  const { load, control } = await measureControlTraffic(fleet, () =>
    runLoad({
      routers: fleet.addresses,
      keys: workspaces.map(({ key }) => key),
      model: fleet.plan.manifest.models[0]!.name,
      seed: SEED,
      seconds: DURATION_SECONDS,
      rate: CHATS_PER_SECOND,
      chats: CHAT_COUNT,
      bookingRate: BOOKINGS_PER_SECOND,
      plainServices: fleet.plainServices.map(({ address }) => address),
    }));
  const breaches = await countBreaches(fleet);
  return { load, control, breaches, falls: await countFalls(fleet) };
}

function printUsage(fleet: Fleet): void {
  const [router] = fleet.addresses;
  const { key, name: workspace } = fleet.plan.manifest.workspaces[0]!;
  const model = fleet.plan.manifest.models[0]!.name;
  const service = fleet.plan.manifest.services[0]!.name;
  const failureDomain = fleet.plan.manifest.failureDomains[0]!.name;
  const body = JSON.stringify({
    model,
    messages: [{ role: "user", content: "How long should the kiln cool?" }],
    "max_tokens": 16,
    stream: true,
  });
  print(`
The fleet keeps running; interrupt this command to stop it. Logs are in ${DIRECTORY}.

A chat:
  curl -N http://${router}/v1/chat/completions \\
    -H 'authorization: Bearer ${key}' -H 'x-chat-id: demo' \\
    -H 'content-type: application/json' -d '${body}'

A booking:
  curl http://${router}/bookings -H 'authorization: Bearer ${key}' \\
    -H 'idempotency-key: demo-1' -d '{"class":"wheel","seats":2}'

The operators' commands:
  export CFLOW_SETTINGS=${OPERATOR_FILE}
  node dist/src/cli/main.js status
  node dist/src/cli/main.js explain demo --service ${service} \\
    --workspace ${workspace}
  node dist/src/cli/main.js failure-domain take-out ${failureDomain}
  node dist/src/cli/main.js failure-domain bring-back ${failureDomain}
  node dist/src/cli/main.js history
`);
}

function writeOperatorFile({ plan, addresses }: Fleet): void {
  const settings = {
    platform: { "key_value": plan.platform.keyValue },
    operator: { name: "demo", routers: addresses.join(", ") },
  };
  writeFileSync(OPERATOR_FILE, stringify(settings));
}

async function keepRunning(fleet: Fleet): Promise<void> {
  writeOperatorFile(fleet);
  printUsage(fleet);
  await Promise.race([once(process, "SIGINT"), once(process, "SIGTERM")]);
}

async function main(): Promise<void> {
  print("Starting Rokuro Hour's stand-ins and six routers.");
  const fleet = await startFleet({ directory: DIRECTORY });
  let isSuccessful = false;
  try {
    print("Applying the manifest.");
    const version = await fleet.apply();
    print(`Version ${version} is in force on every router.`);
    await fleet.waitUntilServing();
    await sleep(WARM_UP_MS);
    print(`Sending chats and bookings for ${DURATION_SECONDS} seconds.`);
    const result = await runDemo(fleet);
    print(`\n${renderDemoReport(result)}`);
    const failures = findDemoFailures(result);
    for (const failure of failures) print(`Check failed: ${failure}`);
    isSuccessful = failures.length === 0;
    if (process.env["KEEP"] === "1") await keepRunning(fleet);
  } finally {
    const { failed } = await fleet.stopAll();
    for (const [name, code] of Object.entries(failed)) {
      print(`Check failed: ${name} exited with code ${code}.`);
      isSuccessful = false;
    }
  }
  print(isSuccessful ? "All checks passed." : "The demo failed.");
  process.exitCode = isSuccessful ? 0 : 1;
}

void main();
