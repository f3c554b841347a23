/**
 * Check of a manifest: its shape by the JSON schema, then what a schema can't
 * say. Every fault is listed with the JSON pointer of the place it is at.
 */
import { Ajv, type ErrorObject } from "ajv";
import { Err, Ok, type Result } from "ts-results/result";
import { type Manifest, ManifestSchema, type Service } from "./manifest.ts";

/** One thing that is wrong with a manifest. */
export interface ManifestFault {
  /** JSON pointer into the document; empty for the document itself. */
  readonly path: string;
  readonly message: string;
}

interface Located {
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
 * Checks the shape alone and fills in defaults. Entries of the configuration
 * log are read by this, so that a rule added later can't make a committed
 * manifest unreadable.
 */
export function checkManifestShape(
  document: unknown,
): Result<Manifest, ManifestFault[]> {
  const copy: unknown = structuredClone(document);
  if (matchesSchema(copy)) return Ok(copy);
  const errors = (matchesSchema.errors ?? []).filter(isWholeError);
  return Err(errors.map(toFault));
}

/**
 * Checks a manifest and fills in its defaults; the document isn't changed.
 * Rules beyond the schema are checked once the shape is right.
 */
export function checkManifest(
  document: unknown,
): Result<Manifest, ManifestFault[]> {
  const shape = checkManifestShape(document);
  if (shape.err) return shape;
  const faults = [
    ...findDuplicates(shape.val),
    ...findUnknownFailureDomains(shape.val),
    ...findBadLimits(shape.val),
    ...findBadKinds(shape.val),
    ...findOverlappingRoutes(shape.val),
  ];
  return faults.length === 0 ? shape : Err(faults);
}

/** Tells a failed union apart from the failures of its members. */
function isWholeError({ schemaPath }: ErrorObject): boolean {
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
    ...findRepeats(
      locate(manifest.failureDomains, "name", { path: "/failureDomains" }),
    ),
    ...findRepeats(locate(manifest.services, "name", { path: "/services" })),
    ...findRepeats(
      locate(manifest.workspaces, "name", { path: "/workspaces" }),
    ),
    ...findRepeats(locate(manifest.workspaces, "key", { path: "/workspaces" })),
    ...findRepeats(locate(manifest.models, "name", { path: "/models" })),
    ...manifest.models.flatMap((model, index) =>
      findRepeats(model.adapters.map((value, position) => ({
        path: `/models/${index}/adapters/${position}`,
        value,
      })))
    ),
    ...findRepeats(upstreams.map(({ path, upstream }) => ({
      path: `${path}/name`,
      value: upstream.name,
    }))),
    ...findRepeats(upstreams.map(({ path, upstream }) => ({
      path: `${path}/address`,
      value: upstream.address,
    }))),
    ...findRepeats(locateModels(manifest)),
  ];
}

function locate<K extends string>(
  list: readonly { readonly [P in K]: string }[],
  key: K,
  { path }: { path: string },
): Located[] {
  return list.map((value, index) => ({
    path: `${path}/${index}/${key}`,
    value: value[key],
  }));
}

/** Reports each value that stood before; the value itself may be secret. */
function findRepeats(list: readonly Located[]): ManifestFault[] {
  const first = new Map<string, string>();
  const faults: ManifestFault[] = [];
  for (const { path, value } of list) {
    const earlier = first.get(value);
    if (earlier === undefined) first.set(value, path);
    else faults.push({ path, message: `is the same as ${earlier}` });
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

function locateModels(manifest: Manifest): Located[] {
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

function findBadLimits(manifest: Manifest): ManifestFault[] {
  return locateUpstreams(manifest)
    .filter(({ upstream }) => upstream.coldLimit > upstream.hardLimit)
    .map(({ path, upstream }) => ({
      path: `${path}/coldLimit`,
      message: `is above the hard limit of ${upstream.hardLimit}`,
    }));
}

function findBadKinds(manifest: Manifest): ManifestFault[] {
  return manifest.services.flatMap((service, index) =>
    findBadKind(service, `/services/${index}`)
  );
}

function findBadKind(service: Service, path: string): ManifestFault[] {
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

/** `*` overlaps every method: which route is meant would be left to order. */
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
