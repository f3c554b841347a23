/**
 * Runs the tests and passes over those that KNOWN-RED.txt lists: a failure of
 * any other test fails the run. Listed tests that failed are printed.
 *
 * A listed test is a line `  test: FILE: FULL NAME`.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";
import process from "node:process";

const LIST = "KNOWN-RED.txt";

function readListed() {
  if (!existsSync(LIST)) return new Set();
  const lines = readFileSync(LIST, "utf8").split("\n");
  const prefix = "  test: ";
  return new Set(
    lines.filter((line) => line.startsWith(prefix))
      .map((line) => line.slice(prefix.length).trim()),
  );
}

const report = join(mkdtempSync(join(tmpdir(), "tests-")), "report.json");
const run = spawnSync("npx", ["jest", "--json", `--outputFile=${report}`], {
  stdio: ["ignore", "ignore", "inherit"],
});
if (!existsSync(report)) process.exit(run.status ?? 1);
const { testResults } = JSON.parse(readFileSync(report, "utf8"));
const listed = readListed();
let hasOther = false;
for (const { name, status, message, assertionResults } of testResults) {
  const file = relative(process.cwd(), name);
  const failed = assertionResults.filter((each) => each.status === "failed");
  // A file that fails without a failed test did not run.
  if (status === "failed" && failed.length === 0) {
    console.log(`FAILED ${file}\n${message}`);
    hasOther = true;
  }
  for (const { fullName } of failed) {
    const isListed = listed.has(`${file}: ${fullName}`);
    console.log(`${isListed ? "KNOWN RED" : "FAILED"} ${file}: ${fullName}`);
    if (!isListed) hasOther = true;
  }
}
process.exit(hasOther ? 1 : 0);
