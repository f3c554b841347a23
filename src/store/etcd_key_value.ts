/**
 * Client of the key-value service over etcd's v3 JSON gateway.
 *
 * The client never retries: a write whose response was lost fails with
 * `unknown`, and the caller decides whether to repeat it.
 */
import type { Static, TSchema } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Err, Ok, type Result } from "ts-results/result";
import {
  encodeBase64,
  encodePrefixEnd,
  encodeRangeStart,
  LeaseGrantResponseSchema,
  LeaseKeepAliveResponseSchema,
  parseInt64,
  RangeResponseSchema,
  toItem,
  TxnResponseSchema,
} from "./etcd_messages.ts";
import { EtcdWatch } from "./etcd_watch.ts";
import { createHttpJsonClient, type HttpJsonClient } from "./http_json.ts";
import type { HttpJsonClientOptions } from "./http_json.ts";
import {
  type ConditionalWrite,
  type Item,
  type KeyValue,
  type Listing,
  type ListOptions,
  PlatformFailure,
  type Watch,
  type WatchEvent,
  type WatchOptions,
} from "./key_value.ts";

/** Options of {@link createEtcdKeyValue}. */
export interface EtcdKeyValueOptions extends HttpJsonClientOptions {
  /**
   * Time without data after which a watch is closed, in milliseconds; 5000 by
   * default. {@link WatchOptions.silenceMs} overrides it for one watch.
   */
  watchSilenceMs?: number;
}

const DEFAULT_WATCH_SILENCE_MS = 5_000;

type AsyncResult<T> = Promise<Result<T, PlatformFailure>>;

/** Condition of a transaction: the key's create or mod revision. */
interface Compare {
  readonly target: "CREATE" | "MOD";
  readonly revision: number;
}

class EtcdKeyValue implements KeyValue {
  readonly #http: HttpJsonClient;
  readonly #watchSilenceMs: number;
  readonly #watches = new Set<EtcdWatch>();

  constructor(
    { watchSilenceMs = DEFAULT_WATCH_SILENCE_MS, ...options }:
      EtcdKeyValueOptions,
  ) {
    this.#http = createHttpJsonClient(options);
    this.#watchSilenceMs = watchSilenceMs;
  }

  async get(key: string): AsyncResult<Item | undefined> {
    const response = await this.#readRange({ key: encodeBase64(key) });
    return response.map(({ items }) => items[0]);
  }

  list(
    prefix: string,
    { from, limit }: ListOptions = {},
  ): AsyncResult<Listing> {
    return this.#readRange({
      key: encodeRangeStart(from ?? prefix),
      "range_end": encodePrefixEnd(prefix),
      ...(limit !== undefined && { limit: String(limit) }),
    });
  }

  create(
    key: string,
    value: string,
    { lease }: { lease?: string } = {},
  ): AsyncResult<ConditionalWrite> {
    return this.#writeIf(key, { target: "CREATE", revision: 0 }, {
      "request_put": {
        key: encodeBase64(key),
        value: encodeBase64(value),
        lease,
      },
    });
  }

  replace(
    key: string,
    value: string,
    { revision, lease }: { revision: number; lease?: string },
  ): AsyncResult<ConditionalWrite> {
    return this.#writeIf(key, { target: "MOD", revision }, {
      "request_put": {
        key: encodeBase64(key),
        value: encodeBase64(value),
        lease,
      },
    });
  }

  remove(key: string, revision: number): AsyncResult<ConditionalWrite> {
    return this.#writeIf(key, { target: "MOD", revision }, {
      "request_delete_range": { key: encodeBase64(key) },
    });
  }

  async grantLease(ttlSeconds: number): AsyncResult<string> {
    const body = { TTL: String(ttlSeconds) };
    const response = await this.#write(
      "/v3/lease/grant",
      LeaseGrantResponseSchema,
      {
        body,
      },
    );
    return response.map(({ ID }) => ID);
  }

  async renewLease(lease: string): AsyncResult<number> {
    const response = await this.#write(
      "/v3/lease/keepalive",
      LeaseKeepAliveResponseSchema,
      {
        body: { ID: lease },
      },
    );
    return response.map(({ result }) => parseInt64(result.TTL));
  }

  async revokeLease(lease: string): AsyncResult<void> {
    const response = await this.#http.call("/v3/lease/revoke", {
      isWrite: true,
      body: { ID: lease },
    });
    return response.map(() => undefined);
  }

  watch(
    prefix: string,
    handler: (event: WatchEvent) => void,
    { fromRevision, silenceMs = this.#watchSilenceMs }: WatchOptions = {},
  ): Watch {
    const watch = new EtcdWatch({
      http: this.#http,
      prefix,
      fromRevision,
      silenceMs,
      handler: (event) => {
        if (event.kind === "closed") this.#watches.delete(watch);
        handler(event);
      },
    });
    this.#watches.add(watch);
    watch.open();
    return {
      close: () => {
        this.#watches.delete(watch);
        watch.close();
      },
    };
  }

  async close(): Promise<void> {
    for (const watch of this.#watches) watch.close();
    this.#watches.clear();
    await this.#http.close();
  }

  async #readRange(body: unknown): AsyncResult<Listing> {
    const response = await this.#http.call("/v3/kv/range", { body });
    if (response.err) return response;
    if (!Value.Check(RangeResponseSchema, response.val)) {
      return Err(
        new PlatformFailure("unavailable", "malformed range response"),
      );
    }
    const { header, kvs = [] } = response.val;
    const items = kvs.map(toItem);
    return Ok({ items, revision: parseInt64(header.revision) });
  }

  async #write<T extends TSchema>(
    path: string,
    schema: T,
    { body }: { body: unknown },
  ): AsyncResult<Static<T>> {
    const response = await this.#http.call(path, { isWrite: true, body });
    if (response.err) return response;
    if (Value.Check(schema, response.val)) return Ok(response.val);
    return Err(new PlatformFailure("unknown", "malformed response"));
  }

  /** Runs `operation` if the condition holds, and otherwise reads the key. */
  async #writeIf(
    key: string,
    { target, revision }: Compare,
    operation: unknown,
  ): AsyncResult<ConditionalWrite> {
    const field = target === "CREATE" ? "create_revision" : "mod_revision";
    const compare = {
      key: encodeBase64(key),
      target,
      result: "EQUAL",
      [field]: String(revision),
    };
    const body = {
      compare: [compare],
      success: [operation],
      failure: [{ "request_range": { key: encodeBase64(key) } }],
    };
    const response = await this.#write("/v3/kv/txn", TxnResponseSchema, {
      body,
    });
    return response.map(({ header, succeeded, responses }) => {
      if (succeeded) {
        return { kind: "written", revision: parseInt64(header.revision) };
      }
      const existing = responses?.[0]?.response_range?.kvs?.[0];
      return { kind: "conflict", current: existing && toItem(existing) };
    });
  }
}

/** Creates a client of the key-value service at `options.address`. */
export function createEtcdKeyValue(options: EtcdKeyValueOptions): KeyValue {
  return new EtcdKeyValue(options);
}
