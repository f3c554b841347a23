/**
 * Index of the active manifest.
 */
import type { Manifest, Service, Upstream, Workspace } from "./manifest.ts";

/** Maps of a manifest for the look-ups that every request needs. */
export interface ManifestIndex {
  /** Services by name. */
  readonly services: ReadonlyMap<string, Service>;
  /** Upstreams of all services by name. */
  readonly upstreams: ReadonlyMap<string, Upstream>;
  /** Workspaces by their API key. */
  readonly workspaces: ReadonlyMap<string, Workspace>;
}

/** Indexes a manifest; the maps are empty if there is none. */
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
