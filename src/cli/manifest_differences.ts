/**
 * Differences of two manifests. Elements of lists are matched by what names
 * them, so that a change of order is no difference.
 */
import { isDeepStrictEqual } from "node:util";
import type { Manifest } from "../config/manifest.ts";

/** One difference. */
export interface Difference {
  readonly kind: "added" | "removed" | "changed";
  /** Place in the manifest; elements of lists are named by their names. */
  readonly path: string;
  /** Absent for something added. */
  readonly before?: unknown;
  /** Absent for something removed. */
  readonly after?: unknown;
}

type Fields = Readonly<Record<string, unknown>>;

const SECRET_FIELD = "key";
const HIDDEN = "(hidden)";
const MARKS = { added: "+", removed: "-", changed: "~" } as const;

/** Lists what `after` has that `before` hasn't, and the reverse. */
export function findDifferences(
  before: Manifest | undefined,
  after: Manifest,
): Difference[] {
  return compare(before ?? {}, after, { path: "" });
}

/** Returns a manifest whose workspace keys can't be read. */
export function hideKeys(manifest: Manifest): Manifest {
  const workspaces = manifest.workspaces.map((workspace) => ({
    ...workspace,
    key: HIDDEN,
  }));
  return { ...manifest, workspaces };
}

/** Writes a difference as one line. */
export function formatDifference(difference: Difference): string {
  const { kind, path, before, after } = difference;
  const line = `${MARKS[kind]} ${path}`;
  if (kind !== "changed") return line;
  return `${line}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function compare(
  before: unknown,
  after: unknown,
  { path }: { path: string },
): Difference[] {
  if (isDeepStrictEqual(before, after)) return [];
  const left = toFields(before);
  const right = toFields(after);
  if (left === undefined || right === undefined) {
    return [{ kind: "changed", path, before, after }];
  }
  const names = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...names].flatMap((name) =>
    compareField(name, { left, right, path })
  );
}

function compareField(
  name: string,
  { left, right, path }: { left: Fields; right: Fields; path: string },
): Difference[] {
  const place = `${path}/${name}`;
  const before = left[name];
  const after = right[name];
  if (name === SECRET_FIELD && before !== after) {
    return [{ kind: "changed", path: place, before: HIDDEN, after: HIDDEN }];
  }
  if (before === undefined) {
    return [{ kind: "added", path: place, after: hideFields(after) }];
  }
  if (after === undefined) {
    return [{ kind: "removed", path: place, before: hideFields(before) }];
  }
  return compare(before, after, { path: place });
}

/** Views an object by its fields and a list by the names of its elements. */
function toFields(value: unknown): Fields | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  if (!Array.isArray(value)) return value as Fields;
  return Object.fromEntries(
    value.map((element: unknown) => [getElementName(element), element]),
  );
}

function getElementName(element: unknown): string {
  if (typeof element !== "object" || element === null) return String(element);
  const { name, method, path } = element as Record<string, string>;
  return name ?? `${method} ${path}`;
}

function hideFields(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (Array.isArray(value)) return value.map(hideFields);
  return Object.fromEntries(
    Object.entries(value).map((
      [name, field],
    ) => [name, name === SECRET_FIELD ? HIDDEN : hideFields(field)]),
  );
}
