/**
 * Schema of the manifest: the JSON document in which operators describe their
 * services, failure domains, workspaces and model versions.
 *
 * The published JSON schema and the validation of manifests both use this
 * definition.
 */
import { type Static, Type } from "@sinclair/typebox";

const NAME_PATTERN = "^[a-z0-9][a-z0-9.-]{0,62}$";
const ADDRESS_PATTERN = "^[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}$";

const NameSchema = Type.String({ pattern: NAME_PATTERN });
const strict = { additionalProperties: false };

const UpstreamSchema = Type.Object({
  name: NameSchema,
  host: NameSchema,
  failureDomain: NameSchema,
  address: Type.String({ pattern: ADDRESS_PATTERN }),
  /** Maximum requests in flight on the upstream when it is warm. */
  hardLimit: Type.Integer({ minimum: 1, maximum: 65_536 }),
  /** Maximum requests in flight on the upstream during cold start. */
  coldLimit: Type.Integer({ minimum: 1, maximum: 65_536 }),
  /** Whether the upstream rejects an order with an outdated fencing number. */
  checksFencing: Type.Boolean({ default: false }),
}, strict);

const RouteSchema = Type.Object({
  /** HTTP method; `*` matches every method. */
  method: Type.String({ pattern: "^([A-Z]+|\\*)$" }),
  /** Matches the path itself and everything below it. */
  path: Type.String({ pattern: "^/[^?#]*$" }),
  idempotent: Type.Boolean(),
}, strict);

const ServiceSchema = Type.Object({
  name: NameSchema,
  kind: Type.Union([Type.Literal("engine"), Type.Literal("plain")]),
  /** Model that an engine service serves; absent for a plain service. */
  model: Type.Optional(NameSchema),
  /** Maximum load of an upstream, as a multiple of the service's mean load. */
  loadFactor: Type.Number({ minimum: 1, maximum: 10, default: 1.25 }),
  queueLimit: Type.Integer({ minimum: 0, maximum: 65_536, default: 256 }),
  firstByteTimeoutMs: Type.Integer({ minimum: 10, default: 10_000 }),
  betweenBytesTimeoutMs: Type.Integer({ minimum: 10, default: 5_000 }),
  deadlineMs: Type.Integer({ minimum: 10, default: 60_000 }),
  routes: Type.Array(RouteSchema, { default: [] }),
  upstreams: Type.Array(UpstreamSchema, { minItems: 1 }),
}, strict);

const WorkspaceSchema = Type.Object({
  name: NameSchema,
  /** Bearer token that identifies the workspace. */
  key: Type.String({ minLength: 8, maxLength: 256 }),
  /** Share of the queue relative to the other workspaces. */
  weight: Type.Number({ exclusiveMinimum: 0, maximum: 1_000, default: 1 }),
  requestsPerSecond: Type.Number({ exclusiveMinimum: 0, default: 1_000 }),
  burst: Type.Integer({ minimum: 1, default: 1_000 }),
}, strict);

const ModelSchema = Type.Object({
  name: NameSchema,
  version: NameSchema,
  adapters: Type.Array(NameSchema, { default: [] }),
}, strict);

/** JSON schema of a manifest. */
export const ManifestSchema = Type.Object({
  failureDomains: Type.Array(
    Type.Object({ name: NameSchema }, strict),
    { minItems: 1 },
  ),
  services: Type.Array(ServiceSchema, { minItems: 1 }),
  workspaces: Type.Array(WorkspaceSchema, { minItems: 1 }),
  models: Type.Array(ModelSchema, { default: [] }),
}, {
  ...strict,
  $id: "urn:corianderflow:manifest",
  title: "corianderflow manifest",
});

/** A validated manifest with defaults filled in. */
export type Manifest = Static<typeof ManifestSchema>;
/** One service of a manifest. */
export type Service = Static<typeof ServiceSchema>;
/** One upstream of a service. */
export type Upstream = Static<typeof UpstreamSchema>;
/** One route of a plain service. */
export type Route = Static<typeof RouteSchema>;
/** One workspace of a manifest. */
export type Workspace = Static<typeof WorkspaceSchema>;
/** One model of a manifest. */
export type Model = Static<typeof ModelSchema>;
