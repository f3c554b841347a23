import { execFileSync } from "node:child_process";
import process from "node:process";
import { findFreeAddress } from "./free_address.ts";

const PROGRAM = "dist/testing/free_address.js";
const PORTS_PER_PART = 90;

function getPart(address: string): number {
  return Math.floor((Number(address.split(":")[1]) - 10_000) / PORTS_PER_PART);
}

// Guards against two processes that start servers on the same port.
test("a running process has its part of the ports for itself", async () => {
  const own = getPart(await findFreeAddress());
  const script = `import { findFreeAddress } from "./${PROGRAM}";
    Object.defineProperty(process, "pid", { value: ${process.pid + 100} });
    console.log(await findFreeAddress());`;
  const other = execFileSync(process.execPath, [
    "--input-type=module",
    "-e",
    script,
  ], { encoding: "utf8" });
  expect(getPart(other.trim())).not.toBe(own);
});

// Guards against a large fleet that gets the same port for two of its servers.
test("consecutive addresses differ, also of a large fleet", async () => {
  const addresses: string[] = [];
  for (let each = 0; each < 400; each++) {
    addresses.push(await findFreeAddress());
  }
  expect(new Set(addresses).size).toBe(400);
});
