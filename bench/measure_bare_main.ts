/** A process that does nothing, to compare the memory of a router with. */
import process from "node:process";

const IDLE_MS = 3_600_000;

const timer = setTimeout(() => {}, IDLE_MS);
process.stdout.write(`${JSON.stringify({ listening: "nowhere" })}\n`);
process.once("SIGTERM", () => clearTimeout(timer));
