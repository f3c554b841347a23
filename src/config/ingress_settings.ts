/**
 * INI settings of a router that finds its fleet in a metadata store.
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

function createDurationSchema(unit: string) {
  return Type.Number({
    minimum: 0,
    maximum: 3_600_000,
    description: `a number of ${unit}, 0 or more`,
  });
}

const MillisecondsSchema = createDurationSchema("milliseconds");
const SecondsSchema = createDurationSchema("seconds");

const RatioSchema = Type.Number({
  minimum: 0,
  maximum: 1_000,
  description: "a number of 0 or more",
});

const IngressSettingsSchema = Type.Object({
  router: Type.Object({
    name: NameSchema,
    failureDomain: NameSchema,
    /** Bandwidth of the host's network link in Mbit/s; 0 if unknown. */
    linkMbps: Type.Number({
      minimum: 0,
      description: "a number of Mbit/s, 0 or more",
    }),
  }, strict),
  listen: Type.Object({
    callers: AddressSchema,
    /** Address that serves the readiness check of the load balancer. */
    ready: AddressSchema,
    /** Address that receives datagrams from other routers. */
    peers: AddressSchema,
    /** Address that serves the metrics. */
    metrics: AddressSchema,
  }, strict),
  store: Type.Object({ address: AddressSchema }, strict),
  bounds: Type.Object({
    /** Maximum time for which a revoked API key is still accepted. */
    revocationMs: MillisecondsSchema,
    /** Maximum time from the stop request to the exit of the process. */
    graceS: SecondsSchema,
    /** Maximum retries to a service, as a fraction of its requests. */
    retryRatio: RatioSchema,
    retryWindowS: SecondsSchema,
    /** Retries of the whole fleet per window, in addition to the ratio. */
    retrySlack: RatioSchema,
    /** Multiplies the request rate that the service allows a cold upstream. */
    coldFactor: RatioSchema,
    /** Maximum use of a leaving upstream after the store has announced it. */
    drainMs: MillisecondsSchema,
    /** Maximum use of an old configuration after a newer one was written. */
    applyMs: MillisecondsSchema,
    /** Interval between an upstream's writes to the store. */
    heartbeatMs: MillisecondsSchema,
    /**
     * Maximum share of a service's requests at the target of a rollout while it
     * may turn out to be bad.
     */
    canaryShare: Type.Number({
      minimum: 0,
      maximum: 1,
      description: "a number from 0 to 1",
    }),
    /** Requests at such a target, of all routers, in addition to the share. */
    canarySlack: Type.Number({
      minimum: 0,
      maximum: 1_000_000,
      description: "a number of requests, 0 or more",
    }),
    /** Maximum use of a bad target after the responses that show it. */
    rollbackMs: MillisecondsSchema,
  }, strict),
  limits: Type.Object({
    maxConnections: Type.Integer({
      minimum: 1,
      maximum: 1_048_576,
      description: "a whole number from 1 to 1048576",
    }),
    /** Memory that the host grants the process, in MB. */
    memoryMb: Type.Number({
      exclusiveMinimum: 0,
      description: "a number of MB above 0",
    }),
  }, strict),
  log: Type.Object({
    level: LogLevelSchema,
    /** Maximum lines per second; further lines are dropped and counted. */
    linesPerS: Type.Integer({
      minimum: 1,
      maximum: 100_000,
      description: "a whole number from 1 to 100000",
    }),
  }, strict),
}, strict);

/** Validated settings of a router that uses a metadata store. */
export type IngressSettings = Static<typeof IngressSettingsSchema>;

/** Default values of the optional keys of a settings file. */
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
    canaryShare: 0.1,
    canarySlack: 0,
    rollbackMs: 5_000,
  },
  limits: { maxConnections: 2_000, memoryMb: 350 },
  log: { level: "info", linesPerS: 200 },
} as const satisfies Defaults;

/** Reads the settings; on failure, returns every fault with its line. */
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

/** Whether `text` has a `[store]` section, which only these settings have. */
export function isIngressSettings(text: string): boolean {
  return /^\s*\[store\]\s*$/m.test(text);
}
