/**
 * The configuration log: the keys of its entries and how entries are applied to
 * a configuration.
 */
import * as Debug from "../debug.ts";
import type { Configuration, Entry, ServiceState } from "./configuration.ts";
import type { Manifest } from "./manifest.ts";

export {
  decodeEntry,
  encodeEntry,
  type UnreadableText,
} from "./configuration_codec.ts";

/** Prefix of the keys of all entries. */
export const LOG_PREFIX = "config/log/";

const VERSION_DIGITS = 12;

/** Returns the key of entry `version`; keys sort in the order of versions. */
export function getEntryKey(version: number): string {
  return LOG_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

/**
 * Applies the next entry to a configuration. An entry with any other version
 * breaches the invariant `configuration-order` and leaves the configuration
 * unchanged.
 */
export function applyEntry(
  configuration: Configuration,
  entry: Entry,
): Configuration {
  const isNext = entry.version === configuration.version + 1;
  Debug.assert(
    isNext,
    "configuration-order",
    () => `entry ${entry.version} does not follow ${configuration.version}`,
  );
  if (!isNext) return configuration;
  return {
    ...applyChange(configuration, entry),
    version: entry.version,
  };
}

function applyChange(
  configuration: Configuration,
  { version, change }: Entry,
): Configuration {
  switch (change.kind) {
    case "manifest":
      return applyManifest(configuration, change.manifest);
    case "failure-domain": {
      const failureDomainsOut = applyState(
        configuration.failureDomainsOut,
        change,
      );
      return { ...configuration, failureDomainsOut };
    }
    case "host":
      return {
        ...configuration,
        hostsOut: applyState(configuration.hostsOut, change),
      };
    case "routers":
      return {
        ...configuration,
        routers: change.routers,
        routersVersion: version,
        routersReplaced: configuration.routersVersion,
      };
  }
}

function applyManifest(
  configuration: Configuration,
  manifest: Manifest,
): Configuration {
  const failureDomains = getFailureDomains(manifest);
  const hosts = getHosts(manifest);
  return {
    ...configuration,
    manifest,
    failureDomainsOut: configuration.failureDomainsOut.filter((name) =>
      failureDomains.has(name)
    ),
    hostsOut: configuration.hostsOut.filter((name) => hosts.has(name)),
  };
}

function applyState(
  out: readonly string[],
  { name, state }: { readonly name: string; readonly state: ServiceState },
): readonly string[] {
  const others = out.filter((other) => other !== name);
  return state === "in" ? others : [...others, name].sort();
}

/** Returns the names of the failure domains of a manifest. */
export function getFailureDomains(manifest: Manifest): Set<string> {
  return new Set(manifest.failureDomains.map(({ name }) => name));
}

/** Returns the names of the hosts that the upstreams of a manifest run on. */
export function getHosts(manifest: Manifest): Set<string> {
  return new Set(
    manifest.services.flatMap(({ upstreams }) =>
      upstreams.map(({ host }) => host)
    ),
  );
}
