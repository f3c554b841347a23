/**
 * Settings of a router that finds its fleet in a metadata store, read from INI.
 */
import { type Static, Type } from "@sinclair/typebox";
import type { Result } from "ts-results/result";
import {
  AddressSchema,
  type Defaults,
  LogLevelSchema,
  readSections,
  type SettingFault,
} from "./ini_sections.ts";

const strict = { additionalProperties: false };

const NameSchema = Type.String({ minLength: 1, description: "a name" });

function createTimeSchema(unit: string) {
  return Type.Number({
    minimum: 0,
    maximum: 3_600_000,
    description: `a number of ${unit}, 0 or more`,
  });
}

const TimeSchema = createTimeSchema("milliseconds");
const SecondsSchema = createTimeSchema("seconds");

const RatioSchema = Type.Number({
  minimum: 0,
  maximum: 1_000,
  description: "a number of 0 or more",
});

const IngressSettingsSchema = Type.Object({
  router: Type.Object({
    name: NameSchema,
    failureDomain: NameSchema,
    /** Bandwidth of the host's link; 0 where it is not known. */
    linkMbps: Type.Number({
      minimum: 0,
      description: "a number of Mbit/s, 0 or more",
    }),
  }, strict),
  listen: Type.Object({
    callers: AddressSchema,
    /** Where the balancer asks whether the router is ready. */
    ready: AddressSchema,
    /** Where the router hears other routers, in datagrams. */
    peers: AddressSchema,
    /** Where counters and histograms are read. */
    metrics: AddressSchema,
  }, strict),
  store: Type.Object({ address: AddressSchema }, strict),
  bounds: Type.Object({
    /** Use of an API key after it was taken away. */
    revocationMs: TimeSchema,
    /** From the request to stop to the end of the process. */
    graceS: SecondsSchema,
    /** Repeats of requests to a service, as a part of its requests. */
    retryRatio: RatioSchema,
    retryWindowS: SecondsSchema,
    /** Repeats of the whole fleet in a window, on top of the ratio. */
    retrySlack: RatioSchema,
    /** Factor on the requests that a cold upstream is said to bear. */
    coldFactor: RatioSchema,
    /** Use of a leaving upstream after the store has said so. */
    drainMs: TimeSchema,
    /** Use of an older configuration after a newer one was written. */
    applyMs: TimeSchema,
    /** Interval of an upstream's writes to the store. */
    heartbeatMs: TimeSchema,
  }, strict),
  limits: Type.Object({
    maxConnections: Type.Integer({
      minimum: 1,
      maximum: 1_048_576,
      description: "a whole number from 1 to 1048576",
    }),
  }, strict),
  log: Type.Object({
    level: LogLevelSchema,
    /** Lines a second; what is beyond is dropped and counted. */
    linesPerS: Type.Integer({
      minimum: 1,
      maximum: 100_000,
      description: "a whole number from 1 to 100000",
    }),
  }, strict),
}, strict);

/** Checked settings of such a router. */
export type IngressSettings = Static<typeof IngressSettingsSchema>;

/** Values of the keys that a settings file may leave out. */
export const INGRESS_SETTING_DEFAULTS = {
  router: { linkMbps: 0 },
  bounds: {
    revocationMs: 5_000,
    graceS: 8,
    retryRatio: 0.1,
    retryWindowS: 10,
    retrySlack: 0,
    coldFactor: 1,
    drainMs: 2_000,
    applyMs: 2_000,
    heartbeatMs: 1_200,
  },
  limits: { maxConnections: 2_000 },
  log: { level: "info", linesPerS: 200 },
} as const satisfies Defaults;

/** Reads the settings; lists every fault with its line. */
export function readIngressSettings(
  text: string,
  fileName: string,
): Result<IngressSettings, SettingFault[]> {
  return readSections(text, {
    fileName,
    schema: IngressSettingsSchema,
    defaults: INGRESS_SETTING_DEFAULTS,
  });
}

/** Whether `text` holds the settings of a router with a metadata store. */
export function isIngressSettings(text: string): boolean {
  return /^\s*\[store\]\s*$/m.test(text);
}
