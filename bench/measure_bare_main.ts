/** Entry point of an idle process whose memory is the baseline of a router's. */
import process from "node:process";

const IDLE_MS = 3_600_000;

const timer = setTimeout(() => {}, IDLE_MS);
process.stdout.write(`${JSON.stringify({ listening: "nowhere" })}\n`);
process.once("SIGTERM", () => clearTimeout(timer));
