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
  /** Brings `after` up to date; the version never falls. */
  read(after: Configuration): Promise<Result<Configuration, ReadFailure>>;
  /**
   * Commits `change`. If others committed since `basedOn`, a change that is
   * independent of theirs follows them; any other is a conflict.
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
  /** Entries between two snapshots. */
  readonly snapshotInterval?: number;
  /** Entries before the newest snapshot that are kept for the history. */
  readonly historyLimit?: number;
  /** First wait before the outcome of a write is asked for, milliseconds. */
  readonly retryDelayMs?: number;
  /** Wall clock, milliseconds since the epoch. */
  readonly getTime?: () => number;
  /** Source of the entries' unique ids. */
  readonly createId?: () => string;
}

const SNAPSHOT_INTERVAL = 64;
const HISTORY_LIMIT = 512;
const RETRY_DELAY_MS = 100;
/** Keeps an entry below the platform's limit of one megabyte. */
const MAX_ENTRY_BYTES = 900 * 1024;
const MAX_ATTEMPTS = 8;

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
  #known: Configuration = EMPTY_CONFIGURATION;

  constructor(options: ConfigurationStoreOptions) {
    this.#keyValue = options.keyValue;
    this.#options = {
      snapshotInterval: SNAPSHOT_INTERVAL,
      historyLimit: HISTORY_LIMIT,
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
    this.#remember(configuration);
    // Whoever commits compacts; this makes up for one that couldn't.
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
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
      const head = await this.read(this.#known);
      if (head.err) return Err({ kind: "unavailable", failure: head.val });
      const failure = await this.#findFailure(change, {
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
      await this.#finish(applyEntry(head.val, entry));
      return Ok(entry);
    }
    return this.#loseRace();
  }

  async history(limit: number): Promise<Result<Entry[], ReadFailure>> {
    const head = await this.read(this.#known);
    if (head.err) return head;
    const { version } = head.val;
    const first = Math.max(1, version - limit + 1);
    const entries = await listEntries(this.#keyValue, first, { last: version });
    return entries.map((list) => list.reverse());
  }

  async #findFailure(
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
    const rival = unseen.val.find((entry) => !isIndependent(change, entry));
    if (rival !== undefined) {
      return { kind: "conflict", winner: rival, version };
    }
    const refusal = findRefusal(head, change);
    if (refusal === undefined) return undefined;
    const winner = unseen.val.findLast((entry) =>
      entry.change.kind === "manifest"
    );
    if (winner === undefined) return { kind: "refused", refusal };
    return { kind: "conflict", winner, version };
  }

  /** The value is false if another author's entry took the version. */
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

  async #loseRace(): Promise<Err<CommitFailure>> {
    const newest = await this.history(1);
    if (newest.err) return Err({ kind: "unavailable", failure: newest.val });
    const [winner] = newest.val;
    return Err({ kind: "conflict", winner, version: this.#known.version });
  }

  async #finish(configuration: Configuration): Promise<void> {
    this.#remember(configuration);
    if (configuration.version % this.#options.snapshotInterval === 0) {
      await this.#compact(configuration);
    }
  }

  /** A failure is left to the next compaction: the log alone is enough. */
  async #compact(configuration: Configuration): Promise<void> {
    await compactLog(this.#keyValue, configuration, this.#options);
  }

  #remember(configuration: Configuration): void {
    if (configuration.version <= this.#known.version) return;
    this.#known = configuration;
  }
}
