/**
 * Keeps in the metadata store which software versions each service has had.
 *
 * Load pattern: all routers end at once, while several versions serve or just
 * after one has left, and callers resume their streams at routers that have seen
 * neither the streams nor that version. A router that has just started can't
 * tell whether the only version that it sees has been the only one. The routers
 * therefore write each version of a service once when it comes and once when its
 * last upstream is gone.
 */

import type { VersionRecord } from "../routing/types.ts";

/** Time for which a version that is gone stays recorded, in milliseconds. */
const MEMORY_MS = 900_000;
/** Versions that a record holds, which bounds its size in the store. */
const MAX_VERSIONS = 32;

/**
 * Brings the record of a service up to date; undefined if it is.
 *
 * `present` are the versions that upstreams have now, `wall` the time of the wall
 * clock in milliseconds.
 */
export function updateVersionRecord(
  { service, versions }: VersionRecord,
  { present, wall }: { present: ReadonlySet<string>; wall: number },
): VersionRecord | undefined {
  const known = new Set(versions.map(({ version }) => version));
  const isCurrent = [...present].every((version) => known.has(version)) &&
    versions.every(({ version, goneAt }) =>
      present.has(version) === (goneAt === undefined)
    );
  if (isCurrent) return undefined;
  const updated = versions
    .map(({ version, goneAt }) => ({
      version,
      goneAt: present.has(version) ? undefined : goneAt ?? wall,
    }))
    .filter(({ goneAt }) => goneAt === undefined || wall - goneAt < MEMORY_MS);
  const added = [...present].filter((version) => !known.has(version))
    .map((version) => ({ version, goneAt: undefined }));
  return { service, versions: [...updated, ...added].slice(-MAX_VERSIONS) };
}
