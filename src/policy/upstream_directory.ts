/**
 * Tracks the upstreams that may receive requests.
 *
 * An upstream whose entry is leaving or was removed receives none, nor does one
 * that has stated in an answer that it is leaving: upstreams say so before the
 * store does, and the store may not be reachable or may have lost it. While the
 * store is unavailable, leases of live upstreams may expire. Their entries
 * return within a known time after the store recovers. Upstreams whose entries
 * are missing are therefore used until then and removed afterwards.
 */
import { isDeepStrictEqual } from "node:util";
import type {
  Instant,
  UpstreamEntry,
  VersionRecord,
} from "../routing/types.ts";
import {
  type VersionFinding,
  VersionHistory,
  type VersionSpan,
} from "./version_history.ts";

/** A process of an upstream that is leaving or was removed. */
interface LeavingRecord {
  /** Start time of the process, as in its entry. */
  readonly bornAt: number | undefined;
  /** Monotonic time at which this was recorded, in milliseconds. */
  readonly at: number;
}

/** State of a registered upstream. */
export interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** Monotonic time until which it is cold, in milliseconds. */
  readonly coldUntil: number;
  /** Monotonic time of its start, if known, else of its first entry, in ms. */
  readonly startedAt: number;
}

interface UpstreamRecord extends KnownUpstream {
  entry: UpstreamEntry;
  coldUntil: number;
  startedAt: number;
  /**
   * Monotonic time from which a missing entry counts as removed, in
   * milliseconds; infinite while the store holds the entry.
   */
  removedAt: number;
  /**
   * Monotonic time until which another upstream is assumed to be at its
   * address, in milliseconds.
   */
  misdirectedUntil: number;
  /**
   * Monotonic time until which it may have restarted with another software
   * version than that of its entry, in milliseconds.
   */
  versionUnknownUntil: number;
}

/** Options of a directory. */
export interface UpstreamDirectoryOptions {
  /** Time after the store's recovery within which entries return, in ms. */
  readonly returnMs?: number;
}

/**
 * Time for which an address is avoided after another upstream answered there,
 * in milliseconds; longer than the store keeps the entry of a terminated
 * upstream.
 */
const MISDIRECTED_MS = 5_000;
/**
 * Tolerance when remaining cold times are compared, in milliseconds; larger
 * than the variation of a heartbeat's delay to the store.
 */
const COLD_TIME_TOLERANCE_MS = 300;
/**
 * Time for which it is remembered that an upstream without an entry was
 * leaving, in milliseconds; longer than the age of any state that the store may
 * return to.
 */
const LEAVING_MEMORY_MS = 600_000;
/**
 * Maximum age of a copy to which the store returns, in milliseconds; the
 * platform states some seconds.
 */
const MAX_COPY_AGE_MS = 60_000;
/**
 * Time in which the entry of an upstream that has restarted arrives, in
 * milliseconds: it is written at the start, and read within two polls.
 */
export const RESTART_REPORT_MS = 3_000;
/** The users state that entries are back within about two seconds. */
const DEFAULT_RETURN_MS = 2_000;

/** The registered upstreams and the failure domains out of service. */
export class UpstreamDirectory {
  readonly #records = new Map<string, UpstreamRecord>();
  readonly #domainsOut = new Set<string>();
  readonly #versions = new VersionHistory();
  /** Upstreams whose entry was removed, as they were then. */
  readonly #removed = new Map<string, LeavingRecord>();
  /** Upstreams that have stated that they are leaving. */
  readonly #leaving = new Map<string, LeavingRecord>();
  readonly #returnMs: number;
  #isStoreUnavailable = false;
  #storeRecoveredAt = -Infinity;

  constructor({ returnMs = DEFAULT_RETURN_MS }: UpstreamDirectoryOptions = {}) {
    this.#returnMs = returnMs;
  }

  /** Records that the store does not answer. */
  recordStoreUnavailable(): void {
    this.#isStoreUnavailable = true;
  }

  /** Records that the store has answered. */
  recordStoreAnswered(now: number): void {
    if (!this.#isStoreUnavailable) return;
    this.#isStoreUnavailable = false;
    this.#storeRecoveredAt = now;
  }

  /**
   * Monotonic time at which the store last recovered, in milliseconds;
   * undefined if it was never unavailable.
   */
  get storeRecoveredAt(): number | undefined {
    return this.#storeRecoveredAt === -Infinity
      ? undefined
      : this.#storeRecoveredAt;
  }

  /** Records that the store recovered at `at`, as seen by another router. */
  recordStoreRecoveredAt(at: number): void {
    this.#storeRecoveredAt = Math.max(this.#storeRecoveredAt, at);
  }

  /** Whether a written entry contains a change, not only a heartbeat. */
  isChange(entry: UpstreamEntry, { steady: now }: Instant): boolean {
    const record = this.#records.get(entry.id);
    if (record === undefined || record.removedAt !== Infinity) return true;
    const coldLeftMs = Math.max(0, record.coldUntil - now);
    if (entry.coldLeftMs > coldLeftMs + COLD_TIME_TOLERANCE_MS) return true;
    const { coldLeftMs: _, ...rest } = entry;
    const { coldLeftMs: __, ...recordRest } = record.entry;
    return !isDeepStrictEqual(rest, recordRest);
  }

  /** Stores a written entry; returns true if it belongs to a new process. */
  recordEntry(entry: UpstreamEntry, { steady: now, wall }: Instant): boolean {
    const record = this.#records.get(entry.id);
    const isNew = record === undefined || record.entry.bornAt !== entry.bornAt;
    const statedColdUntil = now + entry.coldLeftMs;
    if (record !== undefined) this.#recordVersion(record.entry, now);
    this.#recordVersion(entry, now);
    this.#records.set(entry.id, {
      entry,
      startedAt: isNew
        ? now - Math.max(0, wall - (entry.bornAt ?? wall))
        : record.startedAt,
      coldUntil: isNew
        ? statedColdUntil
        : Math.max(statedColdUntil, record.coldUntil),
      removedAt: Infinity,
      misdirectedUntil: -Infinity,
      versionUnknownUntil: isNew ? -Infinity : record.versionUnknownUntil,
    });
    const leaving = this.#leaving.get(entry.id);
    const isOtherProcess = entry.bornAt === undefined ||
      leaving?.bornAt !== entry.bornAt;
    if (isNew && isOtherProcess) this.#leaving.delete(entry.id);
    return isNew;
  }

  /** Records that the store no longer holds the entry of `id`. */
  remove(id: string, now: number): void {
    const record = this.#records.get(id);
    if (record === undefined || record.removedAt !== Infinity) return;
    this.#recordVersion(record.entry, now);
    const until = this.#storeRecoveredAt + this.#returnMs;
    if (now >= until || record.entry.state === "leaving") {
      this.#records.delete(id);
      this.#removed.set(id, { bornAt: record.entry.bornAt, at: now });
      return;
    }
    record.removedAt = until;
  }

  /**
   * Records that a complete listing of the store holds only the entries `ids`;
   * returns the ids of the known entries that it lacks.
   */
  retainOnly(ids: ReadonlySet<string>, now: number): string[] {
    const missing = [...this.#records.keys()].filter((id) => !ids.has(id));
    for (const id of missing) this.remove(id, now);
    return missing;
  }

  /** Records that another upstream answers at the address of `id`. */
  recordMisdirected(id: string, now: number): void {
    const record = this.#records.get(id);
    if (record !== undefined) record.misdirectedUntil = now + MISDIRECTED_MS;
  }

  /**
   * Records that the process of `id` that started at `bornAt` is leaving, by
   * its own statement. It gets no request from now on, whatever the store says.
   * Returns false if that was known.
   */
  recordLeaving(
    id: string,
    { bornAt, now }: { bornAt: number | undefined; now: number },
  ): boolean {
    const known = this.#leaving.get(id);
    if (known !== undefined && known.bornAt === bornAt) return false;
    for (const [other, { at }] of this.#leaving) {
      const isOld = now - at > LEAVING_MEMORY_MS;
      if (isOld && !this.#records.has(other)) this.#leaving.delete(other);
    }
    this.#leaving.set(id, { bornAt, at: now });
    return true;
  }

  /**
   * Records that the store has returned to an older copy at `now`. The copy may
   * show upstreams as ready that were leaving or removed; these processes get
   * no request. It may lack entries; these are treated as after an outage.
   */
  recordStoreRestored(now: number): void {
    for (const [id, { entry }] of this.#records) {
      if (entry.state !== "leaving") continue;
      this.recordLeaving(id, { bornAt: entry.bornAt, now });
    }
    for (const [id, { bornAt, at }] of this.#removed) {
      // Without a start time, a new process could not be told from this one.
      const isRecent = now - at <= MAX_COPY_AGE_MS && bornAt !== undefined;
      if (isRecent) this.recordLeaving(id, { bornAt, now });
    }
    this.#removed.clear();
    this.#storeRecoveredAt = now;
  }

  /** Lists the upstreams at `address` other than `id`. */
  listOthersAt(address: string, id: string): UpstreamEntry[] {
    return [...this.#records.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.address === address && entry.id !== id);
  }

  /** Drops the memory of upstreams that were removed long ago. */
  prune(now: number): void {
    for (const [id, { at }] of this.#removed) {
      if (now - at > MAX_COPY_AGE_MS) this.#removed.delete(id);
    }
  }

  /**
   * Records at `now` that `id` may have restarted without a new entry yet. It is
   * cold for `coldMs` milliseconds then, and may have another version.
   */
  recordRestarted(
    id: string,
    { coldMs, now }: { coldMs: number; now: number },
  ): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    record.coldUntil = Math.max(record.coldUntil, now + coldMs);
    record.versionUnknownUntil = now + RESTART_REPORT_MS;
  }

  /** Records the same for every upstream of a failure domain. */
  recordDomainRestarted(
    failureDomain: string,
    options: { coldMs: number; now: number },
  ): void {
    for (const [id, { entry }] of this.#records) {
      if (entry.failureDomain === failureDomain) {
        this.recordRestarted(id, options);
      }
    }
  }

  /** Whether `id` certainly has a software version now. */
  hasVersion(id: string, version: string, now: number): boolean {
    const record = this.#records.get(id);
    return record !== undefined && record.entry.softwareVersion === version &&
      now >= record.versionUnknownUntil;
  }

  /** Records that no router ran before this one started. */
  recordFirstStart(): void {
    this.#versions.recordFirstStart();
  }

  /** Records the versions that a service had, as the store keeps them. */
  recordVersions(record: VersionRecord, now: Instant): void {
    this.#versions.recordVersions(record, now);
  }

  /** Returns the software versions of the registered upstreams by service. */
  listVersions(): ReadonlyMap<string, ReadonlySet<string>> {
    const versions = new Map<string, Set<string>>();
    for (
      const { entry: { service, softwareVersion } } of this.#records.values()
    ) {
      const each = versions.get(service) ?? new Set();
      versions.set(service, each);
      if (softwareVersion !== undefined) each.add(softwareVersion);
    }
    return versions;
  }

  /** Returns what is known of a service's software in a span of time. */
  findVersions(service: string, span: VersionSpan): VersionFinding {
    const registered = this.listRegistered(service)
      .map(({ entry }) => entry.softwareVersion);
    return this.#versions.find(service, { registered, ...span });
  }

  /** Returns the state of `id`; undefined if it is not registered. */
  find(id: string): KnownUpstream | undefined {
    return this.#records.get(id);
  }

  /** Takes a failure domain out of service. */
  takeOut(failureDomain: string): void {
    this.#domainsOut.add(failureDomain);
  }

  /** Puts a failure domain back into service. */
  bringBack(failureDomain: string): void {
    this.#domainsOut.delete(failureDomain);
  }

  /** Failure domains that are out of service. */
  get domainsOut(): ReadonlySet<string> {
    return this.#domainsOut;
  }

  /** Number of registered upstreams. */
  get size(): number {
    return this.#records.size;
  }

  /** Whether a failure domain is in service. */
  isInService(failureDomain: string): boolean {
    return !this.#domainsOut.has(failureDomain);
  }

  /**
   * Whether `id` may receive a request now; check again right before a send.
   */
  isUsable(id: string, now: number): boolean {
    const record = this.#records.get(id);
    return record !== undefined && this.#isUsable(record, now);
  }

  /** Lists all live upstreams of `service`, usable or not. */
  listRegistered(service: string): KnownUpstream[] {
    return [...this.#records.values()]
      .filter(({ entry }) => entry.service === service);
  }

  /** Lists the upstreams of `service` that may receive a request now. */
  listUsable(service: string, now: number): KnownUpstream[] {
    const usable: KnownUpstream[] = [];
    for (const record of this.#records.values()) {
      if (record.entry.service !== service) continue;
      if (this.#isUsable(record, now)) usable.push(record);
    }
    return usable;
  }

  #recordVersion({ service, softwareVersion }: UpstreamEntry, now: number) {
    this.#versions.recordSeen(service, softwareVersion, now);
  }

  #isUsable(record: UpstreamRecord, now: number): boolean {
    if (record.entry.state !== "ready") return false;
    const leaving = this.#leaving.get(record.entry.id);
    if (leaving !== undefined && leaving.bornAt === record.entry.bornAt) {
      return false;
    }
    if (now < record.misdirectedUntil || now >= record.removedAt) return false;
    return !this.#domainsOut.has(record.entry.failureDomain);
  }
}
