/** Commits changes to a fleet's configuration store, as an operator does. */
import {
  type Change,
  EMPTY_CONFIGURATION,
  type Entry,
  type ServiceState,
} from "../src/config/configuration.ts";
import type { CommitFailure } from "../src/config/configuration_commit.ts";
import {
  type ConfigurationStore,
  createConfigurationStore,
} from "../src/config/configuration_store.ts";
import type { Manifest } from "../src/config/manifest.ts";
import { createEtcdKeyValue } from "../src/store/etcd_key_value.ts";
import type { KeyValue } from "../src/store/key_value.ts";

/** A read or commit of the configuration failed. */
export class OperatorError extends Error {
  readonly failure: CommitFailure | undefined;

  constructor(operation: string, failure?: CommitFailure) {
    super(`${operation}: ${JSON.stringify(failure)}`);
    this.name = "OperatorError";
    this.failure = failure;
  }
}

/** Commits configuration changes as one author. */
export class Operator {
  readonly #author: string;
  readonly #keyValue: KeyValue;
  readonly #store: ConfigurationStore;

  constructor({ author, address }: { author: string; address: string }) {
    this.#author = author;
    this.#keyValue = createEtcdKeyValue({ address });
    this.#store = createConfigurationStore({ keyValue: this.#keyValue });
  }

  /** Returns the version of the newest configuration entry. */
  async getVersion(): Promise<number> {
    const head = await this.#store.read(EMPTY_CONFIGURATION);
    if (head.err) throw new OperatorError("cannot read the configuration");
    return head.val.version;
  }

  /**
   * Commits a change based on version `basedOn`, by default the newest; returns
   * the version of the new entry.
   *
   * @throws {OperatorError} If the store refuses the change.
   */
  async commit(change: Change, basedOn?: number): Promise<number> {
    const baseVersion = basedOn ?? await this.getVersion();
    const entry = await this.#store.commit(this.#author, change, {
      basedOn: baseVersion,
    });
    if (entry.err) throw new OperatorError(change.kind, entry.val);
    return entry.val.version;
  }

  /** Returns the newest `limit` entries, newest first. */
  async getHistory(limit: number): Promise<readonly Entry[]> {
    const entries = await this.#store.history(limit);
    if (entries.err) {
      throw new OperatorError("cannot read the configuration history");
    }
    return entries.val;
  }

  /** Commits a manifest. */
  apply(manifest: Manifest): Promise<number> {
    return this.commit({ kind: "manifest", manifest });
  }

  /** Takes a failure domain out of service or brings it back. */
  setFailureDomain(name: string, state: ServiceState): Promise<number> {
    return this.commit({ kind: "failure-domain", name, state });
  }

  /** Takes a host out of service or brings it back. */
  setHost(name: string, state: ServiceState): Promise<number> {
    return this.commit({ kind: "host", name, state });
  }

  /** Closes the connections to the key-value service. */
  close(): Promise<void> {
    return this.#keyValue.close();
  }
}
