/**
 * Runs all tests and prints those that failed. Exits with an error if a test
 * failed that KNOWN-RED.txt doesn't list, or if a test file couldn't run.
 *
 * KNOWN-RED.txt lists a test as a line `  test: FILE: FULL NAME`.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";
import process from "node:process";

const KNOWN_RED_FILE = "KNOWN-RED.txt";

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
  const prefix = "  test: ";
  return new Set(
    lines.filter((line) => line.startsWith(prefix))
      .map((line) => line.slice(prefix.length).trim()),
  );
}

const report = join(mkdtempSync(join(tmpdir(), "tests-")), "report.json");
const jest = spawnSync("npx", ["jest", "--json", `--outputFile=${report}`], {
  stdio: ["ignore", "ignore", "inherit"],
});
if (!existsSync(report)) process.exit(jest.status ?? 1);
const { testResults } = JSON.parse(readFileSync(report, "utf8"));
const knownRed = readKnownRed();
let hasUnlistedFailure = false;
for (const { name, status, message, assertionResults } of testResults) {
  const file = relative(process.cwd(), name);
  const failed = assertionResults.filter((test) => test.status === "failed");
  // A failed file without a failed test did not run, such as one that throws on
  // import.
  if (status === "failed" && failed.length === 0) {
    console.log(`FAILED ${file}\n${message}`);
    hasUnlistedFailure = true;
  }
  for (const { fullName } of failed) {
    const isKnownRed = knownRed.has(`${file}: ${fullName}`);
    console.log(`${isKnownRed ? "KNOWN RED" : "FAILED"} ${file}: ${fullName}`);
    if (!isKnownRed) hasUnlistedFailure = true;
  }
}
process.exit(hasUnlistedFailure ? 1 : 0);
