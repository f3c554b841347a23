/**
 * Settings of the daemon, read from INI. A process learns its addresses and its
 * failure domain here and nowhere else.
 */
import { type Static, Type } from "@sinclair/typebox";
import type { Result } from "ts-results/result";
import {
  AddressSchema,
  type Clash,
  type Defaults,
  LogLevelSchema,
  readSections,
  type SettingFault,
} from "./ini_sections.ts";

/** Least length of the secret in characters, in the settings or in a file. */
export const MIN_FLEET_KEY_LENGTH = 16;
const MAX_TIME_MS = 3_600_000;
const MAX_BODY_BYTES = 1_073_741_824;
const MAX_CONNECTIONS = 1_048_576;

const strict = { additionalProperties: false };

const NameSchema = Type.String({
  pattern: "^[a-z0-9][a-z0-9.-]{0,62}$",
  description: "a name of lower-case letters, digits, dots and hyphens",
});

const TimeSchema = Type.Integer({
  minimum: 1,
  maximum: MAX_TIME_MS,
  description: `a whole number of milliseconds from 1 to ${MAX_TIME_MS}`,
});

const WaitSchema = Type.Integer({
  minimum: 0,
  maximum: MAX_TIME_MS,
  description: `a whole number of milliseconds from 0 to ${MAX_TIME_MS}`,
});

const SettingsSchema = Type.Object({
  router: Type.Object({
    name: NameSchema,
    failureDomain: NameSchema,
    host: NameSchema,
  }, strict),
  /** Addresses that the router listens on; port 0 takes a free one. */
  listen: Type.Object({
    callers: AddressSchema,
    control: AddressSchema,
    forward: AddressSchema,
    /** Addresses that peers use, where they differ from those above. */
    announceControl: Type.Optional(AddressSchema),
    announceForward: Type.Optional(AddressSchema),
  }, strict),
  platform: Type.Object({
    keyValue: Type.Array(AddressSchema, {
      minItems: 1,
      description: "a comma list of addresses, ip:port",
    }),
    hostList: AddressSchema,
    weightStore: Type.Optional(AddressSchema),
  }, strict),
  fleet: Type.Object({
    /** Secret that the routers authenticate each other with. */
    key: Type.Optional(Type.String({
      minLength: MIN_FLEET_KEY_LENGTH,
      description: `at least ${MIN_FLEET_KEY_LENGTH} characters long`,
    })),
    /** File that holds the secret, in place of `key`. */
    keyFile: Type.Optional(Type.String({
      minLength: 1,
      description: "the path of a file",
    })),
    /** Control addresses asked first for peers. */
    seedPeers: Type.Array(AddressSchema),
  }, strict),
  limits: Type.Object({
    maxBodyBytes: Type.Integer({
      minimum: 1,
      maximum: MAX_BODY_BYTES,
      description: `a whole number of bytes from 1 to ${MAX_BODY_BYTES}`,
    }),
    maxConnections: Type.Integer({
      minimum: 1,
      maximum: MAX_CONNECTIONS,
      description: `a whole number from 1 to ${MAX_CONNECTIONS}`,
    }),
    /** How long the balancer may go on sending after readiness has ended. */
    drainMs: WaitSchema,
    headerTimeoutMs: TimeSchema,
  }, strict),
  timing: Type.Object({
    heartbeatMs: TimeSchema,
    /** How long a loan of capacity lasts. */
    loanMs: TimeSchema,
    /** Silence after which a peer counts as dead. */
    livenessMs: TimeSchema,
    /** Largest difference of two clocks over the length of a loan. */
    driftMs: WaitSchema,
    /** Time in which a request that was sent reaches its upstream. */
    transitMs: WaitSchema,
    /** Wait before a larger share under a new configuration is used. */
    holdDownMs: WaitSchema,
  }, strict),
  log: Type.Object({
    level: LogLevelSchema,
    format: Type.Union([Type.Literal("json"), Type.Literal("pretty")], {
      description: "one of json, pretty",
    }),
  }, strict),
}, strict);

/** Checked settings of a daemon. */
export type Settings = Static<typeof SettingsSchema>;

/** Values of the keys that a settings file may leave out. */
export const SETTING_DEFAULTS = {
  fleet: { seedPeers: [] },
  limits: {
    maxBodyBytes: 8_388_608,
    maxConnections: 4_096,
    drainMs: 5_000,
    headerTimeoutMs: 10_000,
  },
  timing: {
    heartbeatMs: 1_000,
    loanMs: 2_000,
    livenessMs: 2_000,
    driftMs: 100,
    transitMs: 500,
    holdDownMs: 15_000,
  },
  log: { level: "info", format: "json" },
} as const satisfies Defaults;

/** Reads the settings of a daemon; lists every fault with its line. */
export function readSettings(
  text: string,
  fileName: string,
): Result<Settings, SettingFault[]> {
  return readSections(text, {
    fileName,
    schema: SettingsSchema,
    defaults: SETTING_DEFAULTS,
    findClashes,
  });
}

function findClashes({ fleet, timing }: Settings): Clash[] {
  const clashes: Clash[] = [];
  if (fleet.key === undefined && fleet.keyFile === undefined) {
    const message = "is missing, and so is key_file";
    clashes.push({ section: "fleet", key: "key", message });
  }
  if (fleet.key !== undefined && fleet.keyFile !== undefined) {
    const message = "can't stand beside key";
    clashes.push({ section: "fleet", key: "key_file", message });
  }
  if (timing.heartbeatMs >= timing.livenessMs) {
    const message = "must be below liveness_ms";
    clashes.push({ section: "timing", key: "heartbeat_ms", message });
  }
  // A heartbeat that comes late must not leave the configuration unconfirmed.
  if (timing.holdDownMs < 2 * timing.heartbeatMs + timing.driftMs) {
    const message = "must be above twice heartbeat_ms and drift_ms";
    clashes.push({ section: "timing", key: "hold_down_ms", message });
  }
  if (timing.heartbeatMs >= timing.loanMs) {
    const message = "must be below loan_ms";
    clashes.push({ section: "timing", key: "heartbeat_ms", message });
  }
  return clashes;
}
