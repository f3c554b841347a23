/**
 * Encodes entries and configurations as JSON text and decodes them.
 */
import { type Static, Type } from "@sinclair/typebox";
import { Ajv, type ValidateFunction } from "ajv";
import { Err, Ok, type Result } from "ts-results/result";
import type { Router } from "../types.ts";
import type { Change, Configuration, Entry } from "./configuration.ts";
import type { Manifest } from "./manifest.ts";
import { checkManifestShape } from "./manifest_check.ts";

/** Stored text that can't be decoded as the expected type. */
export interface UnreadableText {
  readonly kind: "unreadable";
  readonly detail: string;
}

/** Value under the key of an entry: the entry, or a marker if compacted. */
export type LogItem =
  | { readonly kind: "entry"; readonly entry: Entry }
  | { readonly kind: "compacted"; readonly version: number };

const NameSchema = Type.String({ minLength: 1, maxLength: 128 });
const NamesSchema = Type.Array(Type.String());
const VersionSchema = Type.Integer({ minimum: 1 });
const StateSchema = Type.Union([Type.Literal("in"), Type.Literal("out")]);

const RoutersSchema = Type.Array(Type.Object({
  name: NameSchema,
  failureDomain: NameSchema,
  controlAddress: Type.String(),
  forwardAddress: Type.String(),
}));

const EntrySchema = Type.Object({
  version: VersionSchema,
  id: Type.String({ minLength: 1 }),
  author: Type.String(),
  at: Type.Integer(),
  change: Type.Union([
    Type.Object({ kind: Type.Literal("manifest"), manifest: Type.Unknown() }),
    Type.Object({
      kind: Type.Union([
        Type.Literal("failure-domain"),
        Type.Literal("host"),
      ]),
      name: NameSchema,
      state: StateSchema,
    }),
    Type.Object({ kind: Type.Literal("routers"), routers: RoutersSchema }),
  ]),
});

const CompactedSchema = Type.Object({
  version: VersionSchema,
  compacted: Type.Literal(true),
});

const ConfigurationSchema = Type.Object({
  version: Type.Integer({ minimum: 0 }),
  manifest: Type.Optional(Type.Unknown()),
  failureDomainsOut: NamesSchema,
  hostsOut: NamesSchema,
  routers: RoutersSchema,
  routersVersion: Type.Integer({ minimum: 0 }),
  routersReplaced: Type.Integer({ minimum: 0 }),
});

const ajv = new Ajv();
const isEntry = ajv.compile<Static<typeof EntrySchema>>(EntrySchema);
const isCompacted = ajv.compile<Static<typeof CompactedSchema>>(
  CompactedSchema,
);
const isConfiguration = ajv.compile<Static<typeof ConfigurationSchema>>(
  ConfigurationSchema,
);

/** Encodes an entry as JSON. */
export function encodeEntry(entry: Entry): string {
  return JSON.stringify(entry);
}

/**
 * Encodes the marker that replaces a compacted entry. The key must continue to
 * exist: if it were deleted, create-if-absent would let a delayed author commit
 * an entry with that version.
 */
export function encodeCompactionMarker(version: number): string {
  return JSON.stringify({ version, compacted: true });
}

/** Decodes an entry; fails if it has been compacted. */
export function decodeEntry(text: string): Result<Entry, UnreadableText> {
  const item = decodeLogItem(text);
  if (item.err) return item;
  if (item.val.kind === "entry") return Ok(item.val.entry);
  return unreadable("the entry has been compacted");
}

/** Decodes the value stored under the key of an entry. */
export function decodeLogItem(text: string): Result<LogItem, UnreadableText> {
  const document = parseJson(text);
  if (document.err) return document;
  if (isCompacted(document.val)) {
    return Ok({ kind: "compacted", version: document.val.version });
  }
  if (!isEntry(document.val)) return unreadable(describeErrors(isEntry));
  const { change, ...rest } = document.val;
  if (change.kind !== "manifest") {
    return Ok({ kind: "entry", entry: { ...rest, change } as Entry });
  }
  const manifest = decodeManifest(change.manifest);
  if (manifest.err) return manifest;
  const checked: Change = { kind: "manifest", manifest: manifest.val };
  return Ok({ kind: "entry", entry: { ...rest, change: checked } });
}

/**
 * Encodes a configuration as ASCII-only JSON, so that each character is one
 * byte. The order of keys is fixed, so equal configurations have equal text.
 */
export function encodeConfiguration(configuration: Configuration): string {
  const ordered: Configuration = {
    version: configuration.version,
    failureDomainsOut: configuration.failureDomainsOut,
    hostsOut: configuration.hostsOut,
    routers: configuration.routers.map(orderRouter),
    routersVersion: configuration.routersVersion,
    routersReplaced: configuration.routersReplaced,
    manifest: configuration.manifest,
  };
  return JSON.stringify(ordered).replaceAll(
    /[\u0080-\uffff]/g,
    (codeUnit) => "\\u" + codeUnit.charCodeAt(0).toString(16).padStart(4, "0"),
  );
}

function orderRouter(router: Router): Router {
  const { name, failureDomain, controlAddress, forwardAddress } = router;
  return { name, failureDomain, controlAddress, forwardAddress };
}

/** Decodes a configuration. */
export function decodeConfiguration(
  text: string,
): Result<Configuration, UnreadableText> {
  const document = parseJson(text);
  if (document.err) return document;
  if (!isConfiguration(document.val)) {
    return unreadable(describeErrors(isConfiguration));
  }
  const { manifest: stored, ...rest } = document.val;
  if (stored === undefined) return Ok({ ...rest, manifest: undefined });
  const manifest = decodeManifest(stored);
  if (manifest.err) return manifest;
  return Ok({ ...rest, manifest: manifest.val });
}

function decodeManifest(document: unknown): Result<Manifest, UnreadableText> {
  return checkManifestShape(document).mapErr((faults) => ({
    kind: "unreadable",
    detail: faults.map(({ path, message }) => `manifest${path} ${message}`)
      .join("; "),
  }));
}

/** Parses JSON; returns an error instead of throwing one. */
export function parseJson(text: string): Result<unknown, UnreadableText> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return unreadable("the value is not valid JSON");
  }
}

function describeErrors({ errors }: ValidateFunction): string {
  return (errors ?? [])
    .map(({ instancePath, message }) => `${instancePath} ${message}`)
    .join("; ");
}

function unreadable(detail: string): Err<UnreadableText> {
  return Err({ kind: "unreadable", detail });
}
