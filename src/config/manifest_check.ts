/**
 * Validates a manifest: first its shape by the JSON schema, then the rules that
 * a schema can't express. Each fault has the JSON pointer of its location.
 */
import { Ajv, type ErrorObject } from "ajv";
import { Err, Ok, type Result } from "ts-results/result";
import { type Manifest, ManifestSchema, type Service } from "./manifest.ts";

/** One error in a manifest. */
export interface ManifestFault {
  /** JSON pointer into the document; empty for the document itself. */
  readonly path: string;
  readonly message: string;
}

interface LocatedValue {
  readonly path: string;
  readonly value: string;
}

interface LocatedRoute {
  readonly path: string;
  readonly method: string;
  readonly route: string;
}

const ANY_METHOD = "*";

const matchesSchema = new Ajv({
  allErrors: true,
  useDefaults: true,
  verbose: true,
}).compile<Manifest>(ManifestSchema);

/**
 * Validates a manifest by the schema only and fills in defaults. Entries of the
 * configuration log are decoded with this check, so that a rule added later
 * can't make a committed manifest unreadable.
 */
export function checkManifestShape(
  document: unknown,
): Result<Manifest, ManifestFault[]> {
  const copy: unknown = structuredClone(document);
  if (matchesSchema(copy)) return Ok(copy);
  const errors = (matchesSchema.errors ?? []).filter(isOutsideUnion);
  return Err(errors.map(toFault));
}

/**
 * Validates a manifest and fills in its defaults; the document is not modified.
 * Rules beyond the schema are checked only if the document matches the schema.
 */
export function checkManifest(
  document: unknown,
): Result<Manifest, ManifestFault[]> {
  const shape = checkManifestShape(document);
  if (shape.err) return shape;
  const faults = [
    ...findDuplicates(shape.val),
    ...findUnknownFailureDomains(shape.val),
    ...findInvalidLimits(shape.val),
    ...findInvalidServices(shape.val),
    ...findOverlappingRoutes(shape.val),
  ];
  return faults.length === 0 ? shape : Err(faults);
}

/** Excludes errors of single union members; the union has its own error. */
function isOutsideUnion({ schemaPath }: ErrorObject): boolean {
  return !schemaPath.includes("/anyOf/");
}

function toFault(error: ErrorObject): ManifestFault {
  const { instancePath, params } = error;
  const message = error.message ?? "does not match the schema";
  if (error.keyword === "required") {
    const property = escapePointer(String(params.missingProperty));
    return { path: `${instancePath}/${property}`, message: "is missing" };
  }
  if (error.keyword === "additionalProperties") {
    const property = escapePointer(String(params.additionalProperty));
    return { path: `${instancePath}/${property}`, message: "is not known" };
  }
  if (error.keyword === "anyOf") {
    const values = (error.schema as { const: string }[])
      .map((member) => member.const);
    const choice = `must be one of ${values.join(", ")}`;
    return { path: instancePath, message: choice };
  }
  return { path: instancePath, message };
}

function escapePointer(property: string): string {
  return property.replaceAll("~", "~0").replaceAll("/", "~1");
}

function findDuplicates(manifest: Manifest): ManifestFault[] {
  const upstreams = locateUpstreams(manifest);
  return [
    ...findDuplicateValues(
      locateValues(manifest.failureDomains, "name", {
        path: "/failureDomains",
      }),
    ),
    ...findDuplicateValues(
      locateValues(manifest.services, "name", { path: "/services" }),
    ),
    ...findDuplicateValues(
      locateValues(manifest.workspaces, "name", { path: "/workspaces" }),
    ),
    ...findDuplicateValues(
      locateValues(manifest.workspaces, "key", { path: "/workspaces" }),
    ),
    ...findDuplicateValues(
      locateValues(manifest.models, "name", { path: "/models" }),
    ),
    ...manifest.models.flatMap((model, index) =>
      findDuplicateValues(model.adapters.map((value, position) => ({
        path: `/models/${index}/adapters/${position}`,
        value,
      })))
    ),
    ...findDuplicateValues(upstreams.map(({ path, upstream }) => ({
      path: `${path}/name`,
      value: upstream.name,
    }))),
    ...findDuplicateValues(upstreams.map(({ path, upstream }) => ({
      path: `${path}/address`,
      value: upstream.address,
    }))),
    ...findDuplicateValues(locateModels(manifest)),
  ];
}

function locateValues<K extends string>(
  list: readonly { readonly [P in K]: string }[],
  key: K,
  { path }: { path: string },
): LocatedValue[] {
  return list.map((value, index) => ({
    path: `${path}/${index}/${key}`,
    value: value[key],
  }));
}

/** Reports repeated values by their paths, since a value may be secret. */
function findDuplicateValues(list: readonly LocatedValue[]): ManifestFault[] {
  const firstPaths = new Map<string, string>();
  const faults: ManifestFault[] = [];
  for (const { path, value } of list) {
    const firstPath = firstPaths.get(value);
    if (firstPath === undefined) firstPaths.set(value, path);
    else faults.push({ path, message: `is the same as ${firstPath}` });
  }
  return faults;
}

function locateUpstreams(manifest: Manifest) {
  return manifest.services.flatMap((service, index) =>
    service.upstreams.map((upstream, position) => ({
      path: `/services/${index}/upstreams/${position}`,
      upstream,
    }))
  );
}

function locateModels(manifest: Manifest): LocatedValue[] {
  return manifest.services.flatMap((service, index) =>
    service.model === undefined
      ? []
      : [{ path: `/services/${index}/model`, value: service.model }]
  );
}

function findUnknownFailureDomains(manifest: Manifest): ManifestFault[] {
  const known = new Set(manifest.failureDomains.map(({ name }) => name));
  return locateUpstreams(manifest)
    .filter(({ upstream }) => !known.has(upstream.failureDomain))
    .map(({ path, upstream }) => ({
      path: `${path}/failureDomain`,
      message: `names no failure domain: ${upstream.failureDomain}`,
    }));
}

function findInvalidLimits(manifest: Manifest): ManifestFault[] {
  return locateUpstreams(manifest)
    .filter(({ upstream }) => upstream.coldLimit > upstream.hardLimit)
    .map(({ path, upstream }) => ({
      path: `${path}/coldLimit`,
      message: `is above the hard limit of ${upstream.hardLimit}`,
    }));
}

function findInvalidServices(manifest: Manifest): ManifestFault[] {
  return manifest.services.flatMap((service, index) =>
    findInvalidService(service, `/services/${index}`)
  );
}

function findInvalidService(service: Service, path: string): ManifestFault[] {
  if (service.kind === "engine" && service.model === undefined) {
    return [{ path: `${path}/model`, message: "is needed by an engine" }];
  }
  if (service.kind === "plain" && service.routes.length === 0) {
    return [{
      path: `${path}/routes`,
      message: "a plain service needs at least one route",
    }];
  }
  return [];
}

/**
 * Reports overlapping routes: which one matches would depend on their order.
 * `*` overlaps every method.
 */
function findOverlappingRoutes(manifest: Manifest): ManifestFault[] {
  const faults: ManifestFault[] = [];
  const earlier: LocatedRoute[] = [];
  for (const route of locateRoutes(manifest)) {
    const other = earlier.find((candidate) => overlaps(candidate, route));
    if (other !== undefined) {
      faults.push({ path: route.path, message: `overlaps ${other.path}` });
    }
    earlier.push(route);
  }
  return faults;
}

function locateRoutes(manifest: Manifest): LocatedRoute[] {
  return manifest.services.flatMap((service, index) =>
    service.routes.map(({ method, path }, position) => ({
      path: `/services/${index}/routes/${position}`,
      method,
      route: path.replace(/\/+$/, ""),
    }))
  );
}

function overlaps(left: LocatedRoute, right: LocatedRoute): boolean {
  if (left.route !== right.route) return false;
  if (left.method === right.method) return true;
  return left.method === ANY_METHOD || right.method === ANY_METHOD;
}
