/**
 * The configuration store: reads the configuration from the key-value service
 * and commits changes to it, one entry at a time.
 *
 * An entry is committed by creating its key, so two authors can't both commit
 * the same version.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { Err, Ok, type Result } from "ts-results/result";
import type { KeyValue } from "../store/key_value.ts";
import {
  type Change,
  type Configuration,
  EMPTY_CONFIGURATION,
  type Entry,
} from "./configuration.ts";
import { encodeEntry } from "./configuration_codec.ts";
import { type CommitFailure, writeEntry } from "./configuration_commit.ts";
import { compactLog } from "./configuration_compaction.ts";
import { applyEntry } from "./configuration_log.ts";
import {
  listEntries,
  readConfiguration,
  type ReadFailure,
} from "./configuration_reader.ts";
import { findRefusal, isIndependent } from "./configuration_rebase.ts";

/** Options of a commit. */
export interface CommitOptions {
  /** Version of the configuration that the author saw. */
  readonly basedOn: number;
}

/** Reads and commits configurations. */
export interface ConfigurationStore {
  /** Brings `after` up to date; the version never decreases. */
  read(after: Configuration): Promise<Result<Configuration, ReadFailure>>;
  /**
   * Commits `change`. If other entries were committed since `basedOn`, a change
   * that is independent of them is committed after them; any other conflicts.
   */
  commit(
    author: string,
    change: Change,
    options: CommitOptions,
  ): Promise<Result<Entry, CommitFailure>>;
  /** Lists the newest entries, at most `limit`, newest first. */
  history(limit: number): Promise<Result<Entry[], ReadFailure>>;
}

/** Options of a configuration store. */
export interface ConfigurationStoreOptions {
  readonly keyValue: KeyValue;
  /** Number of entries between two snapshots. */
  readonly snapshotInterval?: number;
  /** Number of entries before the newest snapshot kept for the history. */
  readonly historyLimit?: number;
  /** First delay before retrying an unclear write, in milliseconds; doubles. */
  readonly retryDelayMs?: number;
  /** Wall clock, milliseconds since the epoch. */
  readonly getTime?: () => number;
  /** Source of the entries' unique ids. */
  readonly createId?: () => string;
}

const SNAPSHOT_INTERVAL_ENTRIES = 64;
const HISTORY_LIMIT_ENTRIES = 512;
const RETRY_DELAY_MS = 100;
/** Keeps an entry below the platform's value size limit of one megabyte. */
const MAX_ENTRY_BYTES = 900 * 1024;
const MAX_COMMIT_ATTEMPTS = 8;

/** Creates a configuration store on a key-value service. */
export function createConfigurationStore(
  options: ConfigurationStoreOptions,
): ConfigurationStore {
  return new KeyValueConfigurationStore(options);
}

class KeyValueConfigurationStore implements ConfigurationStore {
  readonly #options: Required<ConfigurationStoreOptions>;
  readonly #keyValue: KeyValue;
  /** Newest configuration read so far. */
  #newest: Configuration = EMPTY_CONFIGURATION;

  constructor(options: ConfigurationStoreOptions) {
    this.#keyValue = options.keyValue;
    this.#options = {
      snapshotInterval: SNAPSHOT_INTERVAL_ENTRIES,
      historyLimit: HISTORY_LIMIT_ENTRIES,
      retryDelayMs: RETRY_DELAY_MS,
      getTime: Date.now,
      createId: randomUUID,
      ...options,
    };
  }

  async read(
    after: Configuration,
  ): Promise<Result<Configuration, ReadFailure>> {
    const reading = await readConfiguration(this.#keyValue, after);
    if (reading.err) return reading;
    const { configuration, entryCount } = reading.val;
    this.#updateNewest(configuration);
    // A committing author compacts the log; this makes up for failed attempts.
    if (entryCount >= 2 * this.#options.snapshotInterval) {
      await this.#compact(configuration);
    }
    return Ok(configuration);
  }

  async commit(
    author: string,
    change: Change,
    { basedOn }: CommitOptions,
  ): Promise<Result<Entry, CommitFailure>> {
    const id = this.#options.createId();
    for (let attempts = 0; attempts < MAX_COMMIT_ATTEMPTS; attempts++) {
      const head = await this.read(this.#newest);
      if (head.err) return Err({ kind: "unavailable", failure: head.val });
      const failure = await this.#findCommitFailure(change, {
        basedOn,
        head: head.val,
      });
      if (failure !== undefined) return Err(failure);

      const version = head.val.version + 1;
      const at = this.#options.getTime();
      const entry: Entry = { version, id, author, at, change };
      const written = await this.#write(entry);
      if (written.err) return written;
      if (!written.val) continue;
      await this.#completeCommit(applyEntry(head.val, entry));
      return Ok(entry);
    }
    return this.#createConflict();
  }

  async history(limit: number): Promise<Result<Entry[], ReadFailure>> {
    const head = await this.read(this.#newest);
    if (head.err) return head;
    const { version } = head.val;
    const first = Math.max(1, version - limit + 1);
    const entries = await listEntries(this.#keyValue, first, { last: version });
    return entries.map((list) => list.reverse());
  }

  async #findCommitFailure(
    change: Change,
    { basedOn, head }: { basedOn: number; head: Configuration },
  ): Promise<CommitFailure | undefined> {
    const { version } = head;
    if (basedOn > version) return { kind: "ahead", version };
    const unseen = await listEntries(this.#keyValue, basedOn + 1, {
      last: version,
    });
    if (unseen.err) return { kind: "unavailable", failure: unseen.val };
    if (unseen.val.length < version - basedOn) {
      return { kind: "conflict", winner: undefined, version };
    }
    const conflicting = unseen.val.find((entry) =>
      !isIndependent(change, entry)
    );
    if (conflicting !== undefined) {
      return { kind: "conflict", winner: conflicting, version };
    }
    const refusal = findRefusal(head, change);
    if (refusal === undefined) return undefined;
    const winner = unseen.val.findLast((entry) =>
      entry.change.kind === "manifest"
    );
    if (winner === undefined) return { kind: "refused", refusal };
    return { kind: "conflict", winner, version };
  }

  /** The value is false if another author's entry has the version. */
  async #write(entry: Entry): Promise<Result<boolean, CommitFailure>> {
    const bytes = Buffer.byteLength(encodeEntry(entry));
    if (bytes > MAX_ENTRY_BYTES) {
      return Err({ kind: "too-large", bytes, limit: MAX_ENTRY_BYTES });
    }
    const { retryDelayMs } = this.#options;
    const outcome = await writeEntry(this.#keyValue, entry, { retryDelayMs });
    switch (outcome.kind) {
      case "written":
        return Ok(true);
      case "lost":
        return Ok(false);
      case "failed": {
        const { failure } = outcome;
        return Err({
          kind: "unavailable",
          failure: { kind: "platform", failure },
        });
      }
      case "outcome-unknown":
        return Err(outcome);
    }
  }

  async #createConflict(): Promise<Err<CommitFailure>> {
    const newest = await this.history(1);
    if (newest.err) return Err({ kind: "unavailable", failure: newest.val });
    const [winner] = newest.val;
    return Err({ kind: "conflict", winner, version: this.#newest.version });
  }

  async #completeCommit(configuration: Configuration): Promise<void> {
    this.#updateNewest(configuration);
    if (configuration.version % this.#options.snapshotInterval === 0) {
      await this.#compact(configuration);
    }
  }

  /** Ignores failures: the log alone suffices, and later compactions retry. */
  async #compact(configuration: Configuration): Promise<void> {
    await compactLog(this.#keyValue, configuration, this.#options);
  }

  #updateNewest(configuration: Configuration): void {
    if (configuration.version <= this.#newest.version) return;
    this.#newest = configuration;
  }
}
