/**
 * Checks routing state that comes from outside, whether it was read from a
 * document of the metadata store or is in a message of another router, and
 * copies the known fields of it. The functions throw `FieldError`.
 */
import type {
  RolloutOrder,
  RolloutRecord,
  StoreChange,
  UpstreamEntry,
  VersionRecord,
} from "../routing/types.ts";
import { isAddress } from "../transport/address.ts";
import { NUMBERS, TEXTS } from "./field_limits.ts";
import {
  asFields,
  FieldError,
  type Fields,
  getList,
  getNumber,
  getText,
  tryNumber,
  tryText,
} from "./fields.ts";
import { toSafeName } from "./safe_names.ts";

const STATES = ["ready", "leaving"] as const;
const ROLLOUT_PHASES = [
  "trial",
  "promoting",
  "complete",
  "rolled-back",
] as const;

function getWord<const Word extends string>(
  fields: Fields,
  name: string,
  words: readonly Word[],
): Word {
  const word = words.find((each) => each === fields[name]);
  if (word !== undefined) return word;
  throw new FieldError(name, `one of ${words.join(", ")}`);
}

function getAddress(fields: Fields): string {
  const { address } = fields;
  if (typeof address === "string" && isAddress(address)) return address;
  throw new FieldError("address", "an ip:port address");
}

/** Reads the service of an upstream, which its configuration may name freely. */
function getService(fields: Fields): string {
  const { service } = fields;
  if (typeof service === "string" && service !== "") {
    return toSafeName(service, TEXTS.service);
  }
  throw new FieldError("service", "a text");
}

/** Checks the entry of an upstream. */
export function checkUpstream(value: unknown): UpstreamEntry {
  const fields = asFields(value, "upstream");
  const softwareVersion = tryText(
    fields,
    "softwareVersion",
    TEXTS.headerName,
  );
  return {
    id: getText(fields, "id", TEXTS.headerName),
    service: getService(fields),
    address: getAddress(fields),
    failureDomain: getText(fields, "failureDomain", TEXTS.name),
    slots: Math.max(1, getNumber(fields, "slots", NUMBERS.requests)),
    state: getWord(fields, "state", STATES),
    coldLeftMs: getNumber(fields, "coldLeftMs", NUMBERS.coldMs),
    ...(softwareVersion !== undefined && { softwareVersion }),
    bornAt: tryNumber(fields, "bornAt", NUMBERS.startMs),
  };
}

/** Checks the registration of a router. */
export function checkRouter(
  value: unknown,
): Extract<StoreChange, { kind: "router" }> {
  const fields = asFields(value, "router");
  return {
    kind: "router",
    name: getText(fields, "name", TEXTS.name),
    address: getAddress(fields),
    linkMbps: tryNumber(fields, "linkMbps", NUMBERS.linkMbps) ?? 0,
  };
}

/** Checks the versions that a service has had. */
export function checkVersionRecord(value: unknown): VersionRecord {
  const fields = asFields(value, "versions");
  return {
    service: getText(fields, "service", TEXTS.headerName),
    versions: getList(fields, "versions").map((each) => {
      const version = asFields(each, "version");
      return {
        version: getText(version, "version", TEXTS.headerName),
        goneAt: tryNumber(version, "goneAt", NUMBERS.timeMs),
      };
    }),
  };
}

/** Checks an order to move a service to a software version. */
export function checkRolloutOrder(value: unknown): RolloutOrder {
  const fields = asFields(value, "order");
  return {
    service: getText(fields, "service", TEXTS.headerName),
    target: getText(fields, "target", TEXTS.headerName),
    durationMs: getNumber(fields, "durationMs", NUMBERS.durationMs),
    revision: getNumber(fields, "revision", NUMBERS.counter),
  };
}

/** Checks the state of such an order. */
export function checkRolloutRecord(value: unknown): RolloutRecord {
  const fields = asFields(value, "record");
  return {
    service: getText(fields, "service", TEXTS.headerName),
    target: getText(fields, "target", TEXTS.headerName),
    phase: getWord(fields, "phase", ROLLOUT_PHASES),
    order: getNumber(fields, "order", NUMBERS.counter),
    startedAt: getNumber(fields, "startedAt", NUMBERS.timeMs),
    reason: getText(fields, "reason", TEXTS.reason),
    revision: getNumber(fields, "revision", NUMBERS.counter),
  };
}

/**
 * Checks a change that another router passes on; undefined for kinds that
 * updates don't hold, or that a later version may add.
 */
export function checkPassedChange(value: unknown): StoreChange | undefined {
  const fields = asFields(value, "change");
  const { kind } = fields;
  switch (kind) {
    case "upstream":
      return { kind, entry: checkUpstream(fields["entry"]) };
    case "upstream-gone":
      return { kind, id: getText(fields, "id", TEXTS.anyName) };
    case "domain-out":
    case "domain-back": {
      const failureDomain = getText(fields, "failureDomain", TEXTS.anyName);
      return { kind, failureDomain };
    }
    case "router":
      return checkRouter(fields);
    case "router-gone":
      return { kind, name: getText(fields, "name", TEXTS.anyName) };
    case "rollout-order": {
      const ageMs = tryNumber(fields, "ageMs", NUMBERS.durationMs);
      const order = checkRolloutOrder(fields["order"]);
      return { kind, order, ...(ageMs !== undefined && { ageMs }) };
    }
    case "rollout-record":
      return { kind, record: checkRolloutRecord(fields["record"]) };
    case "rollout-order-gone":
    case "rollout-record-gone":
      return { kind, service: getText(fields, "service", TEXTS.anyName) };
    default:
      return undefined;
  }
}
