/**
 * Checks the operators' configuration, whether it was read from the metadata
 * store or is in a message of another router.
 *
 * A part that can't be used costs only itself: a field has its default, and a
 * route, a service or a key without what it needs is left out. Each is reported
 * as a fault. So no part keeps a key in force that a configuration has taken
 * away. Only what keys and versions depend on makes the whole unusable.
 */
import type {
  CallerLimits,
  ConfigurationFaults,
  KeyedWorkspace,
  RoutedService,
  RouteKind,
  RouteTarget,
  RoutingConfiguration,
  ServiceRoute,
} from "../routing/types.ts";
import {
  isTextWithin,
  type NumberLimit,
  NUMBERS,
  type TextLimit,
  TEXTS,
} from "./field_limits.ts";
import {
  asFields,
  FieldError,
  type Fields,
  getList,
  getNumber,
} from "./fields.ts";
import { toHeaderValue, toSafeName } from "./safe_names.ts";

const KINDS = ["idempotent", "non-idempotent", "stream"] as const;
/** Runs at most once, which is safe for requests of any kind. */
const DEFAULT_KIND = "non-idempotent";
/** Apply where a configuration states none that can be used. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 8_388_608,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};

/** Faults that are described; the others are counted. */
const MAX_DESCRIBED_FAULTS = 32;
/** Characters of a value that are quoted in a fault. */
const MAX_QUOTED_LENGTH = 60;
const MAX_FAULT_LENGTH = 300;
/** Sums of weights up to it don't overflow. */
const MAX_WEIGHT = NUMBERS.weight.max;

/** Describes a value; quotes only what holds no key. */
function describe(value: unknown): string {
  if (value === undefined) return "absent";
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (typeof value === "object" && value !== null) return "an object";
  const text = JSON.stringify(value);
  return text.length <= MAX_QUOTED_LENGTH
    ? text
    : `${text.slice(0, MAX_QUOTED_LENGTH)}... (${text.length} characters)`;
}

/** Collects the faults of one configuration. */
class FaultCollector {
  readonly #described: string[] = [];
  #count = 0;

  /** Undefined without a fault. */
  get faults(): ConfigurationFaults | undefined {
    if (this.#count === 0) return undefined;
    return { count: this.#count, described: this.#described };
  }

  /** Adds a fault of `value`, which stands at `place`, and its effect. */
  addValue(place: string, value: unknown, effect: string): void {
    this.add(`${place} is ${describe(value)}; ${effect}`);
  }

  add(fault: string): void {
    this.#count++;
    if (this.#described.length >= MAX_DESCRIBED_FAULTS) return;
    this.#described.push(fault.slice(0, MAX_FAULT_LENGTH));
  }

  /** Adds faults that another router has found. */
  addAll(value: unknown): void {
    if (value === undefined) return;
    try {
      const fields = asFields(value, "faults");
      const described = getList(fields, "described")
        .filter((each) => typeof each === "string");
      for (const each of described) this.add(each);
      const count = getNumber(fields, "count", NUMBERS.counter);
      this.#count += Math.max(0, count - described.length);
    } catch (cause) {
      this.add(String(cause));
    }
  }
}

/** Reads the fields of one part of a configuration. */
class PartReader {
  readonly #fields: Fields;
  readonly #place: string;
  readonly #faults: FaultCollector;

  /** Throws `FieldError` if `value`, which stands at `place`, is no object. */
  constructor(
    value: unknown,
    { place, faults }: { place: string; faults: FaultCollector },
  ) {
    this.#fields = asFields(value, place);
    this.#place = place;
    this.#faults = faults;
  }

  /** Reads a number; one beyond `limit` is replaced by the nearest within it. */
  readNumber<Default extends number | undefined>(
    name: string,
    { limit, otherwise, isOptional = true }: {
      limit: NumberLimit;
      otherwise: Default;
      isOptional?: boolean;
    },
  ): number | Default {
    const value = this.#fields[name];
    if (value === undefined && isOptional) return otherwise;
    if (typeof value !== "number" || Number.isNaN(value) || value < 0) {
      this.#report(name, `${otherwise ?? "none"} is used`);
      return otherwise;
    }
    const { min, max, isInteger } = limit;
    const nearest = Math.min(max, Math.max(min, value));
    const used = isInteger ? Math.floor(nearest) : nearest;
    if (used !== value) this.#report(name, `${used} is used`);
    // Without the sign of a zero, by which equal parts would differ.
    return used === 0 ? 0 : used;
  }

  readFlag(name: string): boolean {
    const value = this.#fields[name] ?? false;
    if (typeof value === "boolean") return value;
    this.#report(name, "false is used");
    return false;
  }

  readKind(): RouteKind {
    const kind = KINDS.find((each) => each === this.#fields["kind"]);
    if (kind === undefined) this.#report("kind", `${DEFAULT_KIND} is used`);
    return kind ?? DEFAULT_KIND;
  }

  /** Reads a text of any characters; throws `FieldError` if it is empty. */
  readText(name: string): string {
    const value = this.#fields[name];
    if (typeof value === "string" && value !== "") return value;
    throw new FieldError(name, `a text, but ${describe(value)}`);
  }

  /** Reads a name in the form that routers use. */
  readName(name: string, limit: TextLimit): string {
    return toSafeName(this.readText(name), limit);
  }

  /** Reads a name like `readName`; reports one that can't be used. */
  tryName(name: string, limit: TextLimit): string | undefined {
    const value = this.#fields[name];
    if (typeof value === "string" && value !== "") {
      return toSafeName(value, limit);
    }
    this.#report(name, "another is used");
    return undefined;
  }

  /** Reads the items of a list that can be used; empty if it is none. */
  readList<Item>(
    name: string,
    read: (value: unknown, place: string) => Item,
  ): Item[] {
    const value = this.#fields[name];
    if (!Array.isArray(value)) {
      this.#report(name, "it is taken as empty");
      return [];
    }
    const place = `${this.#place}.${name}`;
    return readUsable(value, { place, faults: this.#faults, read });
  }

  #report(name: string, effect: string): void {
    this.#faults.addValue(`${this.#place}.${name}`, this.#fields[name], effect);
  }
}

/** Reads the items of a list; reports those that `read` throws for. */
function readUsable<Item>(
  values: readonly unknown[],
  { place, faults, read }: {
    place: string;
    faults: FaultCollector;
    read: (value: unknown, place: string) => Item;
  },
): Item[] {
  return values.flatMap((value, index) => {
    const itemPlace = `${place}[${index}]`;
    try {
      return [read(value, itemPlace)];
    } catch (cause) {
      if (!(cause instanceof FieldError)) throw cause;
      faults.add(`${itemPlace} is left out: ${cause.message}`);
      return [];
    }
  });
}

/** Makes the weights of targets small enough to be added up. */
function scaleWeights(targets: readonly RouteTarget[]): RouteTarget[] {
  const largest = Math.max(0, ...targets.map(({ weight }) => weight));
  if (largest <= MAX_WEIGHT) return [...targets];
  return targets.map(({ service, weight }) => ({
    service,
    weight: weight / largest * MAX_WEIGHT,
  }));
}

const ANY_WEIGHT = { min: 0, max: Number.MAX_VALUE, isInteger: false };

/** Checks the parts of one configuration. */
class ConfigurationCheck {
  readonly faults = new FaultCollector();

  readRoute(value: unknown, place: string): ServiceRoute {
    const part = this.#openPart(value, place);
    const timeoutMs = part.readNumber("timeoutMs", {
      limit: NUMBERS.configuredMs,
      otherwise: NUMBERS.configuredMs.max,
      isOptional: false,
    });
    const host = part.readText("host").toLowerCase();
    const prefix = part.readText("prefix");
    return {
      name: part.tryName("name", TEXTS.name) ??
        toSafeName(`${host}${prefix}`, TEXTS.name),
      host,
      prefix,
      kind: part.readKind(),
      targets: scaleWeights(
        part.readList("targets", (each, at) => this.#readTarget(each, at)),
      ),
      timeoutMs,
      objectiveMs: part.readNumber("objectiveMs", {
        limit: NUMBERS.configuredMs,
        otherwise: timeoutMs,
      }),
      maxAttempts: Math.max(
        1,
        part.readNumber("maxAttempts", {
          limit: NUMBERS.attempts,
          otherwise: 1,
        }),
      ),
      priority: part.readNumber("priority", {
        limit: NUMBERS.priority,
        otherwise: 0,
      }),
      isPublic: part.readFlag("isPublic"),
      isSticky: part.readFlag("isSticky"),
      isResumable: part.readFlag("isResumable"),
    };
  }

  readService(value: unknown, place: string): RoutedService {
    const part = this.#openPart(value, place);
    return {
      name: part.readName("name", TEXTS.service),
      coldStartMs: part.readNumber("coldStartMs", {
        limit: NUMBERS.configuredMs,
        otherwise: 0,
      }),
      coldRequestsPerSecond: part.readNumber("coldRequestsPerSecond", {
        limit: NUMBERS.rate,
        otherwise: 0,
      }),
      isEngine: part.readFlag("isEngine"),
    };
  }

  readWorkspace(value: unknown, place: string): KeyedWorkspace {
    const part = this.#openPart(value, place);
    const name = part.readText("name");
    // Another router states both.
    const stated = asFields(value, place)["headerName"];
    const headerName = isTextWithin(stated, TEXTS.headerValue)
      ? stated
      : toHeaderValue(name);
    const safeName = toSafeName(name, TEXTS.workspace);
    return {
      name: safeName,
      keys: part.readList("keys", (each) => {
        if (typeof each === "string" && each !== "") return each;
        throw new FieldError("key", "a text");
      }),
      priority: part.readNumber("priority", {
        limit: NUMBERS.priority,
        otherwise: undefined,
      }),
      ...(headerName !== safeName && { headerName }),
    };
  }

  readLimits(value: unknown): CallerLimits {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
      this.faults.addValue("limits", value, "defaults are used");
      return DEFAULT_LIMITS;
    }
    const part = this.#openPart(value, "limits");
    const read = (name: keyof CallerLimits, limit: NumberLimit) =>
      part.readNumber(name, {
        limit,
        otherwise: DEFAULT_LIMITS[name],
        isOptional: false,
      });
    return {
      maxHeaderBytes: read("maxHeaderBytes", NUMBERS.bytes),
      maxBodyBytes: read("maxBodyBytes", NUMBERS.bytes),
      headerTimeoutMs: read("headerTimeoutMs", NUMBERS.configuredMs),
      idleTimeoutMs: read("idleTimeoutMs", NUMBERS.configuredMs),
    };
  }

  #readTarget(value: unknown, place: string): RouteTarget {
    const part = this.#openPart(value, place);
    const weight = part.readNumber("weight", {
      limit: ANY_WEIGHT,
      otherwise: undefined,
    });
    if (weight === undefined) throw new FieldError("weight", "a number");
    return { service: part.readName("service", TEXTS.service), weight };
  }

  #openPart(value: unknown, place: string): PartReader {
    return new PartReader(value, { place, faults: this.faults });
  }
}

/**
 * Checks a configuration; throws `FieldError` if it can't be used at all, since
 * its version, its routes or its keys are unknown.
 */
export function checkConfiguration(value: unknown): RoutingConfiguration {
  const fields = asFields(value, "configuration");
  const check = new ConfigurationCheck();
  check.faults.addAll(fields["faults"]);
  function readParts<Part>(
    name: string,
    read: (value: unknown, place: string) => Part,
  ): Part[] {
    const { faults } = check;
    return readUsable(getList(fields, name), { place: name, faults, read });
  }
  const hasServices = Array.isArray(fields["services"]);
  if (!hasServices) {
    const { services } = fields;
    check.faults.addValue("services", services, "it is taken as empty");
  }
  const configuration = {
    version: getNumber(fields, "version", NUMBERS.counter),
    routes: readParts("routes", (...part) => check.readRoute(...part)),
    services: hasServices
      ? readParts("services", (...part) => check.readService(...part))
      : [],
    limits: check.readLimits(fields["limits"]),
    workspaces: fields["workspaces"] === undefined
      ? undefined
      : readParts("workspaces", (...part) => check.readWorkspace(...part)),
  };
  const { faults } = check.faults;
  return faults === undefined ? configuration : { ...configuration, faults };
}
