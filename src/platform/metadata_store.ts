/**
 * Client of the platform's metadata store.
 *
 * A call takes effect, does not, or its fate is unknown; see `PlatformFailure`.
 * A call that times out takes its connection with it, since a connection may
 * have gone silent while new ones work.
 */
import { Buffer } from "node:buffer";
import { Err, Ok, type Result } from "ts-results/result";
import type { Instant, StoreChange } from "../routing/types.ts";
import { createHttpJson, type HttpJson } from "../store/http_json.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { decodeItem } from "./documents.ts";
import { asFields, getFlag, getList, getNumber } from "./fields.ts";
import { KEYS, STORE_PATHS } from "./names.ts";

/** Everything in the store at one revision, in the project's types. */
export interface StoreSnapshot {
  readonly changes: readonly StoreChange[];
  /** Revision after which changes are to be polled. */
  readonly revision: number;
  /** When the call was sent: the snapshot is at least that recent. */
  readonly sentAt: Instant;
}

/** What has changed since a revision. */
export type StorePoll =
  | {
    readonly kind: "changes";
    readonly changes: readonly StoreChange[];
    readonly revision: number;
    /**
     * When the call was sent, if its answer holds all that had happened until
     * then; undefined where the answer skips revisions.
     */
    readonly sentAt: Instant | undefined;
  }
  /** The changes since then are no longer kept; a snapshot is needed. */
  | { readonly kind: "compacted" };

/** What a router says of itself in the store. */
export interface Registration {
  readonly name: string;
  /** Where it hears other routers, `ip:port`. */
  readonly address: string;
  /** Bandwidth of its host's link, in Mbit/s; 0 where it is not known. */
  readonly linkMbps: number;
}

/** The platform's metadata store, as the router uses it. */
export interface MetadataStore {
  readAll(): Promise<Result<StoreSnapshot, PlatformFailure>>;
  poll(after: number): Promise<Result<StorePoll, PlatformFailure>>;
  /** Registers this router under a lease; the value is the lease's id. */
  register(router: Registration): Promise<Result<string, PlatformFailure>>;
  /** Renews the lease; false where it had lapsed. */
  renew(lease: string): Promise<Result<boolean, PlatformFailure>>;
  /** Ends the lease and with it the registration. */
  deregister(lease: string): Promise<Result<void, PlatformFailure>>;
  close(): Promise<void>;
}

/** Options of the client. */
export interface MetadataStoreOptions {
  /** `ip:port`. */
  readonly address: string;
  /** Reads both clocks. */
  readonly now: () => Instant;
  /** Time that a registration outlives its last renewal, in milliseconds. */
  readonly registrationMs?: number;
  /** Time that a poll waits for a change, in milliseconds. */
  readonly pollWaitMs?: number;
  /** Time that a call may take, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Longer than a restart, so that the number of routers does not flap. */
const REGISTRATION_MS = 8_000;
/** Upstreams change within a heartbeat, so that a longer wait is not needed. */
const POLL_WAIT_MS = 400;
/** A slow store answers within a few hundred milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
const STATUS_NOT_FOUND = 404;
const STATUS_GONE = 410;

interface Page {
  readonly items: readonly unknown[];
  readonly isTruncated: boolean;
  readonly revision: number;
}

function readPage(value: unknown): Page {
  const fields = asFields(value, "page");
  return {
    items: getList(fields, "items"),
    isTruncated: getFlag(fields, "truncated"),
    revision: getNumber(fields, "currentRev"),
  };
}

function toChanges(item: unknown): StoreChange[] {
  const { key, value, deleted } = asFields(item, "item");
  const isDeleted = deleted === true || typeof value !== "string";
  return decodeItem({
    key: String(key),
    value: isDeleted ? undefined : value,
  });
}

function getLastKey(items: readonly unknown[]): string {
  return String(asFields(items.at(-1), "item")["key"]);
}

function getRevision(item: unknown): number {
  return getNumber(asFields(item, "event"), "rev");
}

class HttpMetadataStore implements MetadataStore {
  readonly #http: HttpJson;
  readonly #options: Required<MetadataStoreOptions>;

  constructor(options: Required<MetadataStoreOptions>) {
    this.#options = options;
    this.#http = createHttpJson({
      address: options.address,
      timeoutMs: options.timeoutMs + options.pollWaitMs,
    });
  }

  async readAll(): Promise<Result<StoreSnapshot, PlatformFailure>> {
    const sentAt = this.#options.now();
    const changes: StoreChange[] = [];
    let revision: number | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await this.#readPage(after);
      if (page.err) return page;
      // Later pages are read later; what they lack is polled again.
      revision ??= page.val.revision;
      changes.push(...page.val.items.flatMap(toChanges));
      if (!page.val.isTruncated) break;
      after = getLastKey(page.val.items);
    }
    return Ok({ changes, revision, sentAt });
  }

  async poll(after: number): Promise<Result<StorePoll, PlatformFailure>> {
    const { now, pollWaitMs } = this.#options;
    const sentAt = now();
    const query = `prefix=&after=${after}&waitMs=${pollWaitMs}`;
    const answer = await this.#get(`${STORE_PATHS.watch}?${query}`);
    if (answer.err) {
      if (answer.val.status === STATUS_GONE) return Ok({ kind: "compacted" });
      return answer;
    }
    return this.#decode(() => {
      const fields = asFields(answer.val, "watch");
      const events = getList(fields, "events");
      const current = getNumber(fields, "currentRev");
      const last = events.reduce<number>(
        (most, event) => Math.max(most, getRevision(event)),
        after,
      );
      // Every key is polled, so that a later revision without its event means
      // that the watch has missed something.
      const isComplete = current <= last;
      return {
        kind: "changes",
        changes: events.flatMap(toChanges),
        revision: last,
        sentAt: isComplete ? sentAt : undefined,
      };
    });
  }

  async register(
    { name, address, linkMbps }: Registration,
  ): Promise<Result<string, PlatformFailure>> {
    const granted = await this.#post(STORE_PATHS.lease, {
      ttlMs: this.#options.registrationMs,
    });
    if (granted.err) return granted;
    const lease = this.#decode(() =>
      getNumber(asFields(granted.val, "lease"), "lease")
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

  close(): Promise<void> {
    return this.#http.close();
  }

  async #readPage(
    after: string | undefined,
  ): Promise<Result<Page, PlatformFailure>> {
    const from = after === undefined
      ? ""
      : `&after=${encodeURIComponent(after)}`;
    const answer = await this.#get(`${STORE_PATHS.range}?prefix=${from}`);
    if (answer.err) return answer;
    return this.#decode(() => readPage(answer.val));
  }

  #decode<T>(read: () => T): Result<T, PlatformFailure> {
    try {
      return Ok(read());
    } catch (cause) {
      const detail = `the store's answer can't be read: ${String(cause)}`;
      return Err(new PlatformFailure("unavailable", detail));
    }
  }

  #get(path: string): Promise<Result<unknown, PlatformFailure>> {
    return this.#http.call(path, { method: "GET" });
  }

  #post(
    path: string,
    body: unknown,
  ): Promise<Result<unknown, PlatformFailure>> {
    return this.#http.call(path, { method: "POST", isWrite: true, body });
  }
}

/** Creates a client of the store. */
export function createMetadataStore(
  options: MetadataStoreOptions,
): MetadataStore {
  return new HttpMetadataStore({
    registrationMs: REGISTRATION_MS,
    pollWaitMs: POLL_WAIT_MS,
    timeoutMs: CALL_TIMEOUT_MS,
    ...options,
  });
}
