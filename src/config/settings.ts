/**
 * Settings of the daemon, read from INI. They are the only source of a
 * process's addresses and failure domain.
 */
import { type Static, Type } from "@sinclair/typebox";
import type { Result } from "ts-results/result";
import {
  AddressSchema,
  type Defaults,
  LogLevelSchema,
  readSections,
  type SettingConflict,
  type SettingFault,
} from "./ini_sections.ts";

/** Minimum length of the fleet secret in characters, inline or in a file. */
export const MIN_FLEET_KEY_LENGTH = 16;
const MAX_DURATION_MS = 3_600_000;
const MAX_BODY_BYTES = 1_073_741_824;
const MAX_CONNECTIONS = 1_048_576;

const strict = { additionalProperties: false };

const NameSchema = Type.String({
  pattern: "^[a-z0-9][a-z0-9.-]{0,62}$",
  description: "a name of lower-case letters, digits, dots and hyphens",
});

const PositiveDurationSchema = Type.Integer({
  minimum: 1,
  maximum: MAX_DURATION_MS,
  description: `a whole number of milliseconds from 1 to ${MAX_DURATION_MS}`,
});

const DurationSchema = Type.Integer({
  minimum: 0,
  maximum: MAX_DURATION_MS,
  description: `a whole number of milliseconds from 0 to ${MAX_DURATION_MS}`,
});

const SettingsSchema = Type.Object({
  router: Type.Object({
    name: NameSchema,
    failureDomain: NameSchema,
    host: NameSchema,
  }, strict),
  /** Addresses that the router listens on; port 0 selects a free port. */
  listen: Type.Object({
    callers: AddressSchema,
    control: AddressSchema,
    forward: AddressSchema,
    /** Addresses that peers connect to, if they differ from those above. */
    announceControl: Type.Optional(AddressSchema),
    announceForward: Type.Optional(AddressSchema),
  }, strict),
  platform: Type.Object({
    keyValue: Type.Array(AddressSchema, {
      minItems: 1,
      description: "a comma-separated list of addresses, ip:port",
    }),
    hostList: AddressSchema,
    weightStore: Type.Optional(AddressSchema),
  }, strict),
  fleet: Type.Object({
    /** Shared secret with which the routers authenticate each other. */
    key: Type.Optional(Type.String({
      minLength: MIN_FLEET_KEY_LENGTH,
      description: `at least ${MIN_FLEET_KEY_LENGTH} characters long`,
    })),
    /** File that contains the secret, in place of `key`. */
    keyFile: Type.Optional(Type.String({
      minLength: 1,
      description: "the path of a file",
    })),
    /** Control addresses to connect to before a configuration names routers. */
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
    /** Time after readiness ends in which the load balancer may still send. */
    drainMs: DurationSchema,
    headerTimeoutMs: PositiveDurationSchema,
  }, strict),
  timing: Type.Object({
    heartbeatMs: PositiveDurationSchema,
    /** Duration of a capacity loan. */
    loanMs: PositiveDurationSchema,
    /** Time without a message after which a peer is considered dead. */
    livenessMs: PositiveDurationSchema,
    /** Maximum drift between two clocks during a loan. */
    driftMs: DurationSchema,
    /** Maximum time from sending a request to its arrival at the upstream. */
    transitMs: DurationSchema,
    /** Wait before using a share that a new configuration has enlarged. */
    holdDownMs: DurationSchema,
  }, strict),
  log: Type.Object({
    level: LogLevelSchema,
    format: Type.Union([Type.Literal("json"), Type.Literal("pretty")], {
      description: "one of json, pretty",
    }),
  }, strict),
}, strict);

/** Validated settings of a daemon. */
export type Settings = Static<typeof SettingsSchema>;

/** Default values of the optional keys of a settings file. */
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

/** Reads a daemon's settings; on failure, returns every fault with its line. */
export function readSettings(
  text: string,
  fileName: string,
): Result<Settings, SettingFault[]> {
  return readSections(text, {
    fileName,
    schema: SettingsSchema,
    defaults: SETTING_DEFAULTS,
    findConflicts,
  });
}

function findConflicts({ fleet, timing }: Settings): SettingConflict[] {
  const conflicts: SettingConflict[] = [];
  if (fleet.key === undefined && fleet.keyFile === undefined) {
    const message = "is missing, and so is key_file";
    conflicts.push({ section: "fleet", key: "key", message });
  }
  if (fleet.key !== undefined && fleet.keyFile !== undefined) {
    const message = "can't be set together with key";
    conflicts.push({ section: "fleet", key: "key_file", message });
  }
  if (timing.heartbeatMs >= timing.livenessMs) {
    const message = "must be below liveness_ms";
    conflicts.push({ section: "timing", key: "heartbeat_ms", message });
  }
  // One late heartbeat must not leave the configuration unconfirmed.
  if (timing.holdDownMs < 2 * timing.heartbeatMs + timing.driftMs) {
    const message = "must be at least 2 * heartbeat_ms + drift_ms";
    conflicts.push({ section: "timing", key: "hold_down_ms", message });
  }
  if (timing.heartbeatMs >= timing.loanMs) {
    const message = "must be below loan_ms";
    conflicts.push({ section: "timing", key: "heartbeat_ms", message });
  }
  return conflicts;
}
