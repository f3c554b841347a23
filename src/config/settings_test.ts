import { readFileSync } from "node:fs";
import { join } from "node:path";
import { formatSettingFault } from "./ini_sections.ts";
import { readSettings, SETTING_DEFAULTS } from "./settings.ts";

const MINIMAL_SETTINGS = `
[router]
name = r1
failure_domain = east
host = entry-1
[listen]
callers = 127.0.0.1:0
control = 127.0.0.1:1
forward = 127.0.0.1:2
[platform]
key_value = 127.0.0.1:3, 127.0.0.1:4 ; two
host_list = 127.0.0.1:5
[fleet]
key = "semicolon;and#hash;in;key"
`;

function formatFaults(text: string): string[] {
  const settings = readSettings(text, "r.ini");
  return settings.ok ? [] : settings.val.map(formatSettingFault);
}

test("keys missing from the file get their defaults", () => {
  const settings = readSettings(MINIMAL_SETTINGS, "r.ini").unwrap();
  expect(settings).toMatchObject(SETTING_DEFAULTS);
  expect(settings.platform).toEqual({
    keyValue: ["127.0.0.1:3", "127.0.0.1:4"],
    hostList: "127.0.0.1:5",
  });
  expect(settings.fleet.key).toBe("semicolon;and#hash;in;key");
  expect(
    readSettings(MINIMAL_SETTINGS + "[timing]\nloan_ms = 9000", "r.ini")
      .unwrap(),
  )
    .toMatchObject({ timing: { loanMs: 9_000, livenessMs: 2_000 } });
});

test("unknown keys, invalid values and missing keys are reported with their lines", () => {
  const text = `stray = 1
[router]
name = R 1
host = entry-1
[listen]
callers = 127.0.0.256:80
control = 127.0.0.1:65536
Forward = 127.0.0.1:2
[timing]
heartbeat_ms = 1s
heartbeatMs = 1000
drift_ms = -1
loan_ms = 1
loan_ms = 2
__proto__ = 3
[log]
level = loud
[extra]
key = 1
[platform]
key_value = 127.0.0.1:1, nowhere
`;
  expect(formatFaults(text)).toMatchSnapshot();
});

test("conflicting values are reported, and a key is never printed", () => {
  const conflictingSettings = MINIMAL_SETTINGS +
    "key_file = /k\n[timing]\nheartbeat_ms = 3000\nliveness_ms = 3000";
  expect(formatFaults(conflictingSettings)).toEqual([
    "r.ini:15: [fleet] key_file can't be set together with key",
    "r.ini:17: [timing] heartbeat_ms must be below liveness_ms",
    "r.ini:17: [timing] heartbeat_ms must be below loan_ms",
  ]);
  expect(formatFaults(MINIMAL_SETTINGS + "[timing]\nhold_down_ms = 1000"))
    .toEqual([
      "r.ini:16: [timing] hold_down_ms must be at least 2 * heartbeat_ms + " +
      "drift_ms",
    ]);
  expect(formatFaults(MINIMAL_SETTINGS.replace(/key = ".*"/, ""))).toEqual([
    "r.ini:13: [fleet] key is missing, and so is key_file",
  ]);
  expect(formatFaults(MINIMAL_SETTINGS.replace(/key = ".*"/, "key = short")))
    .toEqual([
      "r.ini:14: [fleet] key must be at least 16 characters long",
    ]);
});

test("the default timings equal those of a deployment's settings file", () => {
  const path = join(__dirname, "../../deployments/rokuro/router1.ini");
  const settings = readSettings(readFileSync(path, "utf8"), path).unwrap();
  expect(settings.timing).toEqual(SETTING_DEFAULTS.timing);
});
