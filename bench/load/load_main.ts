/** Entry point of the load tool; prints the report as JSON. */
import process from "node:process";
import { parseArgs } from "node:util";
import type { BalancerChoice } from "./balancer.ts";
import { runLoad } from "./run_load.ts";

const { values } = parseArgs({
  strict: true,
  options: {
    "routers": { type: "string", default: "" },
    "keys": { type: "string", default: "" },
    "key": { type: "string", multiple: true, default: [] },
    "model": { type: "string", default: "assistant" },
    "seed": { type: "string", default: "1" },
    "seconds": { type: "string", default: "10" },
    "rate": { type: "string", default: "20" },
    "chats": { type: "string", default: "200" },
    "stream-share": { type: "string", default: "0.5" },
    "choice": { type: "string", default: "round-robin" },
    "poll-ms": { type: "string", default: "500" },
    "connections": { type: "string", default: "128" },
    "booking-rate": { type: "string", default: "0" },
    "booking-path": { type: "string", default: "/bookings" },
    "plain-services": { type: "string", default: "" },
    "timeout-ms": { type: "string", default: "90000" },
  },
});

function splitList(list: string): string[] {
  return list.split(",").filter((item) => item !== "");
}

/** Runs the load; the exit code is 1 if any response was broken. */
async function main(): Promise<void> {
  const report = await runLoad({
    routers: splitList(values.routers),
    keys: [...splitList(values.keys), ...values.key],
    model: values.model,
    seed: Number(values.seed),
    seconds: Number(values.seconds),
    rate: Number(values.rate),
    chats: Number(values.chats),
    streamShare: Number(values["stream-share"]),
    choice: values.choice as BalancerChoice,
    pollMs: Number(values["poll-ms"]),
    connections: Number(values.connections),
    bookingRate: Number(values["booking-rate"]),
    bookingPath: values["booking-path"],
    plainServices: splitList(values["plain-services"]),
    timeoutMs: Number(values["timeout-ms"]),
  });
  process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
  const broken = report.chats.broken + report.bookings.broken;
  process.exitCode = broken === 0 ? 0 : 1;
}

void main();
