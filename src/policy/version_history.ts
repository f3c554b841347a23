/**
 * Remembers which software versions the upstreams of each service have had.
 *
 * Load pattern: on most days a service has one version. A router that has seen
 * no other for as long as a stream can last knows the version of every stream
 * that callers resume, without having been told of it.
 */

import type { Instant, VersionRecord } from "../routing/types.ts";

/** A span of time in which versions count. */
export interface VersionSpan {
  /** Current monotonic time, in milliseconds. */
  readonly now: number;
  /** Length of the span that ends now, in milliseconds. */
  readonly spanMs: number;
}

/** What is known of the versions that a service had in a span of time. */
export type VersionFinding =
  | { readonly kind: "sole"; readonly version: string }
  | { readonly kind: "several" }
  /** The span begins before the history, or an upstream's version is unknown. */
  | { readonly kind: "unknown" };

/** Stands for a version that an update from another router lacked. */
const UNKNOWN_VERSION = "\u0000";
/** Time for which a version is remembered after it was seen last, in ms. */
const MEMORY_MS = 900_000;
/**
 * Difference between the wall clocks of two hosts that is allowed for, in
 * milliseconds; they may jump by seconds.
 */
const CLOCK_TOLERANCE_MS = 10_000;

/** Versions of the software of upstreams, by service. */
export class VersionHistory {
  /** Times at which a version was seen last, by service and version. */
  readonly #seen = new Map<string, Map<string, number>>();
  #startedAt: number | undefined;
  /** Services whose versions before the start are known. */
  readonly #recorded = new Set<string>();
  /** Whether there was no router, and thus no stream, before the start. */
  #isFirst = false;

  /**
   * Records that an upstream of `service` has a version at `now`, or had it
   * until then; undefined stands for a version that is not known.
   */
  recordSeen(
    service: string,
    version: string | undefined,
    now: number,
  ): void {
    this.#startedAt ??= now;
    let versions = this.#seen.get(service);
    if (versions === undefined) {
      versions = new Map();
      this.#seen.set(service, versions);
    }
    versions.set(version ?? UNKNOWN_VERSION, now);
    for (const [each, at] of versions) {
      if (now - at > MEMORY_MS) versions.delete(each);
    }
  }

  /** Records that no router ran before this one started. */
  recordFirstStart(): void {
    this.#isFirst = true;
  }

  /** Records the versions that a service had before this router started. */
  recordVersions(
    { service, versions }: VersionRecord,
    { steady, wall }: Instant,
  ): void {
    this.#recorded.add(service);
    for (const { version, goneAt } of versions) {
      const goneMs = wall - (goneAt ?? wall) - CLOCK_TOLERANCE_MS;
      const seenAt = steady - Math.max(0, goneMs);
      const known = this.#seen.get(service)?.get(version) ?? -Infinity;
      this.recordSeen(service, version, Math.max(seenAt, known));
    }
  }

  /** Returns what is known of the versions of a service in a span of time. */
  find(
    service: string,
    { registered, now, spanMs }: VersionSpan & {
      /** Versions that upstreams of the service have now. */
      readonly registered: readonly (string | undefined)[];
    },
  ): VersionFinding {
    const versions = new Set(
      registered.map((version) => version ?? UNKNOWN_VERSION),
    );
    for (const [version, at] of this.#seen.get(service) ?? []) {
      if (now - at <= spanMs) versions.add(version);
    }
    const [version, ...others] = versions;
    if (others.length > 0) return { kind: "several" };
    const isCovered = this.#isFirst || this.#recorded.has(service) ||
      this.#startedAt !== undefined && now - this.#startedAt >= spanMs;
    if (!isCovered || version === undefined || version === UNKNOWN_VERSION) {
      return { kind: "unknown" };
    }
    return { kind: "sole", version };
  }
}
