/**
 * Client of the platform's metadata store.
 *
 * The kind of a `PlatformFailure` says whether a failed call may have taken
 * effect. A call that times out closes its connection, because a connection may
 * stop responding while new ones work.
 */
import { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results/result";
import type { MemoryBudget } from "../policy/memory_budget.ts";
import type {
  Instant,
  RolloutRecord,
  StoreChange,
  VersionRecord,
} from "../routing/types.ts";
import {
  createHttpJsonClient,
  type HttpJsonClient,
} from "../store/http_json.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { encodeRolloutRecord, encodeVersionRecord } from "./documents.ts";
import { NUMBERS } from "./field_limits.ts";
import { asFields, getList, getNumber } from "./fields.ts";
import { getMaxValueLength, ItemDecoder, toRawItem } from "./item_decoder.ts";
import { decodeStoreEra } from "./message_headers.ts";
import { KEYS, STORE_PATHS } from "./names.ts";
import {
  type ConfigurationRead,
  type ItemRead,
  type ReadOptions,
  StoreReader,
} from "./store_reader.ts";

/** Contents of the store, decoded; at least as recent as its revision. */
export interface StoreSnapshot extends ItemRead {
  /** Time when the call was sent; the snapshot is at least that recent. */
  readonly sentAt: Instant;
}

/** Result of a poll for the changes after a revision. */
export type StorePoll =
  | {
    readonly kind: "changes";
    readonly changes: readonly StoreChange[];
    readonly revision: number;
    /**
     * Time when the call was sent, if the response has all changes up to then;
     * undefined if the response skips revisions or is partial.
     */
    readonly sentAt: Instant | undefined;
    /** Whether the store has further changes that were not received. */
    readonly isPartial: boolean;
    /** Era of the store; the changes are of use only in the known era. */
    readonly era: number;
  }
  /** The store no longer keeps these changes; read a snapshot instead. */
  | { readonly kind: "compacted" }
  /** The changes exceed one answer; read a snapshot instead. */
  | { readonly kind: "too-large"; readonly cause: string };

/** The versions that services had, as the store keeps them. */
export interface StoreVersions {
  readonly records: readonly VersionRecord[];
  /** Revision of the store at the time of the call. */
  readonly revision: number;
  readonly era: number;
}

/** Revisions on which a write of a rollout's record depends; 0 for no item. */
export interface ExpectedRollout {
  readonly order: number;
  readonly record: number;
}

/** Result of such a write: the record's new revision, or that it was not met. */
export type RolloutWrite =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict" };

/** A router's entry in the store. */
export interface Registration {
  readonly name: string;
  /** Address for messages from other routers, `ip:port`. */
  readonly address: string;
  /** Bandwidth of its host's network link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
}

/** The operations that a router uses of the platform's metadata store. */
export interface MetadataStore {
  /**
   * Reads all items that routers use, page by page. Fails with `isTooLarge` if
   * there are more than `room` has room for.
   */
  readAll(
    options?: ReadOptions,
  ): Promise<Result<StoreSnapshot, PlatformFailure>>;
  /** Reads the operators' configuration alone. */
  readConfiguration(): Promise<Result<ConfigurationRead, PlatformFailure>>;
  /** Reads the versions of the services and the store's revision. */
  readVersions(
    options?: Pick<ReadOptions, "room">,
  ): Promise<Result<StoreVersions, PlatformFailure>>;
  /** Waits a limited time for changes after revision `after`. */
  poll(after: number): Promise<Result<StorePoll, PlatformFailure>>;
  /** Registers `router` under a new lease; returns the id of the lease. */
  register(router: Registration): Promise<Result<string, PlatformFailure>>;
  /** Renews the lease; false if it has expired. */
  renew(lease: string): Promise<Result<boolean, PlatformFailure>>;
  /** Ends the lease, which removes the registration. */
  deregister(lease: string): Promise<Result<void, PlatformFailure>>;
  /** Writes the software versions of a service, which stay without a lease. */
  writeVersions(
    record: VersionRecord,
  ): Promise<Result<void, PlatformFailure>>;
  /**
   * Writes the record of a rollout if the revisions of the order's item and of
   * the record's item are as expected.
   */
  writeRollout(
    record: RolloutRecord,
    options: { readonly expected: ExpectedRollout },
  ): Promise<Result<RolloutWrite, PlatformFailure>>;
  close(): Promise<void>;
}

/** Options of the client. */
export interface MetadataStoreOptions {
  /** `ip:port` of the store. */
  readonly address: string;
  /** Reads the monotonic clock and the wall clock. */
  readonly now: () => Instant;
  /** Time to live of a registration after its last renewal, in milliseconds. */
  readonly registrationTtlMs?: number;
  /** Longest time that the store waits for a change, in milliseconds. */
  readonly pollWaitMs?: number;
  /** Timeout of a call, in milliseconds; `pollWaitMs` is added to it. */
  readonly timeoutMs?: number;
  /** Memory in which the header fields of its answers are counted. */
  readonly memory?: MemoryBudget;
}

/** Longer than a restart, which thus does not change the number of routers. */
const REGISTRATION_TTL_MS = 8_000;
/** Upstreams write an entry each heartbeat, so a longer wait is not needed. */
const POLL_WAIT_MS = 400;
/** A slow store responds within a few hundred milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
/** Changes of one answer; the largest fleets have 12,000 upstreams. */
const MAX_POLLED_CHANGES = 16_384;
const STATUS_NOT_FOUND = 404;
const STATUS_GONE = 410;
const STATUS_PRECONDITION_FAILED = 412;

function getRevision(item: unknown): number {
  return getNumber(asFields(item, "event"), "rev", NUMBERS.counter);
}

/** Changes of one answer to a poll. */
class ChangeBatch {
  readonly #after: number;
  readonly #decoder: ItemDecoder;
  readonly #received: { revision: number; change: StoreChange }[] = [];
  /** Highest revision of an event; that of the poll before the first. */
  #revision: number;
  #isRising = true;

  constructor(after: number, decoder: ItemDecoder) {
    this.#after = after;
    this.#decoder = decoder;
    this.#revision = after;
  }

  get revision(): number {
    return this.#revision;
  }

  get changes(): StoreChange[] {
    return this.#received.map(({ change }) => change);
  }

  /** Whether no more changes are to be held at a time. */
  get isFull(): boolean {
    return this.#received.length >= MAX_POLLED_CHANGES;
  }

  /** Decodes an event; throws `FieldError` if it is not one. */
  add(event: unknown, isShortened: boolean): void {
    const revision = getRevision(event);
    const raw = toRawItem(event, isShortened);
    this.#isRising &&= revision >= this.#revision;
    this.#revision = Math.max(this.#revision, revision);
    for (const change of this.#decoder.decode(raw).changes) {
      this.#received.push({ revision, change });
    }
  }

  /**
   * Returns the changes of an answer that was not read to its end. Those of the
   * last revision may be incomplete and are left to the next poll.
   */
  endEarly(era: number): Result<StorePoll, PlatformFailure> {
    const revision = this.#revision - 1;
    if (!this.#isRising || revision <= this.#after) {
      const cause = "one revision of the store exceeds an answer";
      return Ok({ kind: "too-large", cause });
    }
    const changes = this.#received
      .filter((each) => each.revision <= revision)
      .map(({ change }) => change);
    const sentAt = undefined;
    const isPartial = true;
    return Ok({ kind: "changes", changes, revision, sentAt, isPartial, era });
  }
}

/** Options with their defaults. */
type CompleteOptions =
  & Required<Omit<MetadataStoreOptions, "memory">>
  & Pick<MetadataStoreOptions, "memory">;

class HttpMetadataStore implements MetadataStore {
  readonly #http: HttpJsonClient;
  readonly #options: CompleteOptions;
  readonly #decoder: ItemDecoder;
  readonly #reader: StoreReader;

  constructor(options: CompleteOptions) {
    this.#options = options;
    this.#http = createHttpJsonClient({
      address: options.address,
      timeoutMs: options.timeoutMs + options.pollWaitMs,
      memory: options.memory && { budget: options.memory, source: "store" },
    });
    const { now } = options;
    const http = this.#http;
    const decoder = new ItemDecoder({ clock: () => now().steady });
    this.#decoder = decoder;
    this.#reader = new StoreReader({ http, decoder, now });
  }

  async readAll(
    options?: ReadOptions,
  ): Promise<Result<StoreSnapshot, PlatformFailure>> {
    const sentAt = this.#options.now();
    const read = await this.#reader.readAll(options);
    return read.map((snapshot) => ({ ...snapshot, sentAt }));
  }

  readConfiguration(): Promise<Result<ConfigurationRead, PlatformFailure>> {
    return this.#reader.readConfiguration();
  }

  async readVersions(
    options?: Pick<ReadOptions, "room">,
  ): Promise<Result<StoreVersions, PlatformFailure>> {
    const read = await this.#reader.readPrefix(KEYS.versions, options);
    return read.map(({ changes, revision, era }) => {
      const records = changes.flatMap((change) =>
        change.kind === "versions" ? [change.record] : []
      );
      return { records, revision, era };
    });
  }

  async poll(after: number): Promise<Result<StorePoll, PlatformFailure>> {
    const { now, pollWaitMs } = this.#options;
    const sentAt = now();
    const query = `prefix=&after=${after}&waitMs=${pollWaitMs}`;
    let era = 0;
    const batch = new ChangeBatch(after, this.#decoder);
    const answer = await this.#http.readList(`${STORE_PATHS.watch}?${query}`, {
      name: "events",
      getMaxStringBytes: getMaxValueLength,
      onHeaders: (headers) => era = decodeStoreEra(headers),
      onElement: (event, isShortened) => batch.add(event, isShortened),
      isFull: () => batch.isFull,
    });
    if (answer.err) {
      const { status, isTooLarge, message: cause } = answer.val;
      if (status === STATUS_GONE) return Ok({ kind: "compacted" });
      // The same poll would fail until the store drops its history.
      if (isTooLarge) return Ok({ kind: "too-large", cause });
      return answer;
    }
    const { kind } = answer.val;
    if (kind === "partial") return batch.endEarly(era);
    const { rest } = answer.val;
    return this.#decode(() => {
      const fields = asFields(rest, "watch");
      getList(fields, "events");
      const current = getNumber(fields, "currentRev", NUMBERS.counter);
      // The poll covers every key, so a revision later than the last event
      // means that the watch has missed events.
      const isComplete = current <= batch.revision;
      return {
        kind: "changes",
        changes: batch.changes,
        revision: batch.revision,
        sentAt: isComplete ? sentAt : undefined,
        isPartial: false,
        era,
      };
    });
  }

  async register(
    { name, address, linkMbps }: Registration,
  ): Promise<Result<string, PlatformFailure>> {
    const granted = await this.#post(STORE_PATHS.lease, {
      ttlMs: this.#options.registrationTtlMs,
    });
    if (granted.err) return granted;
    const lease = this.#decode(() =>
      getNumber(asFields(granted.val, "lease"), "lease", NUMBERS.counter)
    );
    if (lease.err) return lease;
    const fields = JSON.stringify({ address, linkMbps });
    const value = Buffer.from(fields).toString("base64");
    const written = await this.#post(STORE_PATHS.transaction, {
      expectRev: [],
      writes: [{ key: KEYS.routers + name, value, lease: lease.val }],
      remove: [],
    });
    return written.map(() => String(lease.val));
  }

  async renew(lease: string): Promise<Result<boolean, PlatformFailure>> {
    const renewed = await this.#post(STORE_PATHS.renewal + lease, {});
    if (renewed.ok) return Ok(true);
    if (renewed.val.status === STATUS_NOT_FOUND) return Ok(false);
    return renewed;
  }

  async deregister(lease: string): Promise<Result<void, PlatformFailure>> {
    const ended = await this.#http.call(STORE_PATHS.leaseEnd + lease, {
      method: "DELETE",
      isWrite: true,
    });
    return ended.map(() => undefined);
  }

  async writeVersions(
    record: VersionRecord,
  ): Promise<Result<void, PlatformFailure>> {
    const key = KEYS.versions + record.service;
    const written = await this.#post(STORE_PATHS.transaction, {
      expectRev: [],
      writes: [{ key, value: encodeVersionRecord(record), lease: 0 }],
      remove: [],
    });
    return written.map(() => undefined);
  }

  async writeRollout(
    record: RolloutRecord,
    { expected }: { readonly expected: ExpectedRollout },
  ): Promise<Result<RolloutWrite, PlatformFailure>> {
    const key = KEYS.rolloutRecords + record.service;
    const written = await this.#post(STORE_PATHS.transaction, {
      expectRev: [
        { key: KEYS.rolloutOrders + record.service, rev: expected.order },
        { key, rev: expected.record },
      ],
      writes: [{ key, value: encodeRolloutRecord(record), lease: 0 }],
      remove: [],
    });
    if (written.ok) {
      return this.#decode(() => ({
        kind: "written" as const,
        revision: getRevision(written.val),
      }));
    }
    const { status } = written.val;
    if (status === STATUS_PRECONDITION_FAILED) return Ok({ kind: "conflict" });
    return written;
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  #decode<T>(read: () => T): Result<T, PlatformFailure> {
    try {
      return Ok(read());
    } catch (cause) {
      const detail = `malformed response of the metadata store: ${
        String(cause)
      }`;
      return Err(new PlatformFailure("unavailable", detail));
    }
  }

  #post(
    path: string,
    body: unknown,
  ): Promise<Result<unknown, PlatformFailure>> {
    return this.#http.call(path, { method: "POST", isWrite: true, body });
  }
}

/** Creates a client of the metadata store. */
export function createMetadataStore(
  options: MetadataStoreOptions,
): MetadataStore {
  return new HttpMetadataStore({
    registrationTtlMs: REGISTRATION_TTL_MS,
    pollWaitMs: POLL_WAIT_MS,
    timeoutMs: CALL_TIMEOUT_MS,
    ...options,
  });
}
