/** An operator of a fleet: commits changes through the configuration store. */
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

/** A change was not committed. */
export class OperatorError extends Error {
  readonly failure: CommitFailure | undefined;

  constructor(what: string, failure?: CommitFailure) {
    super(`${what}: ${JSON.stringify(failure)}`);
    this.name = "OperatorError";
    this.failure = failure;
  }
}

/** Commits changes in the name of one operator. */
export class Operator {
  readonly #author: string;
  readonly #keyValue: KeyValue;
  readonly #store: ConfigurationStore;

  constructor({ author, address }: { author: string; address: string }) {
    this.#author = author;
    this.#keyValue = createEtcdKeyValue({ address });
    this.#store = createConfigurationStore({ keyValue: this.#keyValue });
  }

  /** Version of the newest entry. */
  async getVersion(): Promise<number> {
    const head = await this.#store.read(EMPTY_CONFIGURATION);
    if (head.err) throw new OperatorError("the configuration is not readable");
    return head.val.version;
  }

  /**
   * Commits a change on top of `basedOn`, or of the newest entry; returns its
   * version.
   */
  async commit(change: Change, basedOn?: number): Promise<number> {
    const base = basedOn ?? await this.getVersion();
    const entry = await this.#store.commit(this.#author, change, {
      basedOn: base,
    });
    if (entry.err) throw new OperatorError(change.kind, entry.val);
    return entry.val.version;
  }

  /** Lists the newest entries, newest first. */
  async getHistory(limit: number): Promise<readonly Entry[]> {
    const entries = await this.#store.history(limit);
    if (entries.err) throw new OperatorError("the history is not readable");
    return entries.val;
  }

  /** Commits a whole manifest. */
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
