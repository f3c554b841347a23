/**
 * Decides whether a change is valid, and whether it may be committed after
 * entries that its author has not seen.
 */
import type { Change, Configuration, Entry } from "./configuration.ts";
import { getFailureDomains, getHosts } from "./configuration_log.ts";
import { checkManifest } from "./manifest_check.ts";

/** Why a change is invalid for a configuration. */
export type Refusal =
  | { readonly kind: "bad-manifest"; readonly detail: string }
  | { readonly kind: "no-manifest" }
  | { readonly kind: "unknown-name"; readonly name: string }
  | { readonly kind: "no-routers" }
  | { readonly kind: "duplicate-router"; readonly name: string };

/** Returns why `change` is invalid, or undefined if it is valid. */
export function findRefusal(
  configuration: Configuration,
  change: Change,
): Refusal | undefined {
  switch (change.kind) {
    case "manifest":
      return findManifestRefusal(change.manifest);
    case "failure-domain":
    case "host":
      return findStateRefusal(configuration, change);
    case "routers":
      return findRoutersRefusal(change.routers.map(({ name }) => name));
  }
}

/**
 * Returns whether `change` has the same meaning after the entry as before it.
 * This is never so for a manifest: the configuration that its author compared
 * it with has changed.
 */
export function isIndependent(change: Change, { change: other }: Entry) {
  switch (change.kind) {
    case "manifest":
      return false;
    case "routers":
      return other.kind !== "routers";
    case "failure-domain":
    case "host":
      return other.kind !== change.kind || other.name !== change.name ||
        other.state === change.state;
  }
}

/** Formats a refusal as a message for the operator. */
export function formatRefusal(refusal: Refusal): string {
  switch (refusal.kind) {
    case "bad-manifest":
      return `The manifest is invalid: ${refusal.detail}`;
    case "no-manifest":
      return "There is no manifest yet. Apply one first.";
    case "unknown-name":
      return `The manifest does not name "${refusal.name}". ` +
        "See the names with: cflow manifest show";
    case "no-routers":
      return "The list of routers is empty.";
    case "duplicate-router":
      return `The router "${refusal.name}" is listed twice.`;
  }
}

function findManifestRefusal(manifest: unknown): Refusal | undefined {
  const checked = checkManifest(manifest);
  if (checked.ok) return undefined;
  const detail = checked.val
    .map(({ path, message }) => `${path} ${message}`)
    .join("; ");
  return { kind: "bad-manifest", detail };
}

function findStateRefusal(
  { manifest, failureDomainsOut, hostsOut }: Configuration,
  { kind, name, state }: Extract<Change, { kind: "failure-domain" | "host" }>,
): Refusal | undefined {
  const out = kind === "host" ? hostsOut : failureDomainsOut;
  if (state === "in" && out.includes(name)) return undefined;
  if (manifest === undefined) return { kind: "no-manifest" };
  const known = kind === "host"
    ? getHosts(manifest)
    : getFailureDomains(manifest);
  return known.has(name) ? undefined : { kind: "unknown-name", name };
}

function findRoutersRefusal(names: readonly string[]): Refusal | undefined {
  if (names.length === 0) return { kind: "no-routers" };
  const name = names.find((other, index) => names.indexOf(other) !== index);
  return name === undefined ? undefined : { kind: "duplicate-router", name };
}
