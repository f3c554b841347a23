/**
 * Writes the software versions of the services to the metadata store as they
 * come and go. One router does it; the others follow if it does not.
 */
import type { Log } from "../log.ts";
import type { MetadataStore } from "../platform/metadata_store.ts";
import type { UpstreamDirectory } from "../policy/upstream_directory.ts";
import { updateVersionRecord } from "../policy/version_record.ts";
import type { Instant, VersionRecord } from "../routing/types.ts";

/** Options of a `VersionRecorder`. */
export interface VersionRecorderOptions {
  readonly store: Pick<MetadataStore, "writeVersions">;
  readonly directory: UpstreamDirectory;
  /** Whether a configuration names a service; others need no record. */
  readonly isNamed: (service: string) => boolean;
  readonly now: () => Instant;
  readonly log: Log;
}

/**
 * Time after which the next router in rank writes a change that is not in the
 * store yet, in milliseconds; a write and the poll that shows it take less.
 */
const RANK_DELAY_MS = 1_000;

/** The records in the store, and the changes that they lack. */
export class VersionRecorder {
  readonly #options: VersionRecorderOptions;
  readonly #records = new Map<string, VersionRecord>();
  /** Monotonic times since which records lack a change, in milliseconds. */
  readonly #outdatedSince = new Map<string, number>();

  constructor(options: VersionRecorderOptions) {
    this.#options = options;
  }

  /** Takes a record that was read from the store. */
  receive(record: VersionRecord): void {
    this.#records.set(record.service, record);
    this.#options.directory.recordVersions(record, this.#options.now());
  }

  /** Forgets the records, which the store may have lost with later changes. */
  forget(): void {
    this.#records.clear();
    this.#outdatedSince.clear();
  }

  /**
   * Writes what the records lack, if it is the turn of this router, which is the
   * one with number `rank` to do so.
   */
  async writeChanges(rank: number): Promise<void> {
    const { directory, isNamed, now } = this.#options;
    for (const [service, present] of directory.listVersions()) {
      if (!isNamed(service)) continue;
      const { steady, wall } = now();
      const known = this.#records.get(service) ?? { service, versions: [] };
      const record = updateVersionRecord(known, { present, wall });
      if (record === undefined) {
        this.#outdatedSince.delete(service);
        continue;
      }
      const since = this.#outdatedSince.get(service) ?? steady;
      this.#outdatedSince.set(service, since);
      if (steady - since >= rank * RANK_DELAY_MS) await this.#write(record);
    }
  }

  async #write(record: VersionRecord): Promise<void> {
    const { store, log } = this.#options;
    const { service, versions } = record;
    const written = await store.writeVersions(record);
    const present = versions.filter(({ goneAt }) => goneAt === undefined)
      .map(({ version }) => version).join();
    const fields = { service, version: present, isWritten: written.ok };
    if (written.ok) {
      this.#records.set(service, record);
      this.#outdatedSince.delete(service);
      log.info("Wrote the versions of a service.", fields);
      return;
    }
    const cause = written.val.message;
    log.warn("Writing the versions of a service failed.", { ...fields, cause });
  }
}
