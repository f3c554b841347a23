/**
 * Look-ups into the manifest in force.
 */
import type { Manifest, Service, Upstream, Workspace } from "./manifest.ts";

/** Look-ups into a manifest that every request needs. */
export interface ManifestIndex {
  readonly services: ReadonlyMap<string, Service>;
  readonly upstreams: ReadonlyMap<string, Upstream>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
}

/** Indexes a manifest; without one every look-up finds nothing. */
export function createManifestIndex(
  manifest: Manifest | undefined,
): ManifestIndex {
  const services = manifest?.services ?? [];
  const workspaces = manifest?.workspaces ?? [];
  return {
    services: new Map(services.map((each) => [each.name, each])),
    upstreams: new Map(
      services.flatMap(({ upstreams }) =>
        upstreams.map((each) => [each.name, each] as const)
      ),
    ),
    workspaces: new Map(workspaces.map((each) => [each.key, each])),
  };
}
