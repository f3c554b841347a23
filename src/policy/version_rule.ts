/**
 * Applies the rule of a rollout to the upstreams of a service.
 *
 * Load pattern: a service without a rollout, as nearly all are, on hundreds of
 * upstreams; its requests must not pay for the rule.
 */
import type { UpstreamEntry, VersionRule } from "../routing/types.ts";

/** The rule of a service without a rollout. */
export const ANY_VERSION: VersionRule = { kind: "any" };

/** Whether a rule allows an upstream. */
export function allowsUpstream(
  rule: VersionRule,
  { id, softwareVersion = "" }: Pick<UpstreamEntry, "id" | "softwareVersion">,
): boolean {
  switch (rule.kind) {
    case "any":
      return true;
    case "only":
      return rule.versions.includes(softwareVersion);
    case "except":
      return !rule.versions.includes(softwareVersion);
    case "canary":
      return rule.target === softwareVersion && rule.upstreams.includes(id);
  }
}

/** Returns the upstreams that a rule allows. */
export function filterByVersion<T extends { readonly entry: UpstreamEntry }>(
  upstreams: T[],
  rule: VersionRule,
): T[] {
  if (rule.kind === "any") return upstreams;
  return upstreams.filter(({ entry }) => allowsUpstream(rule, entry));
}
