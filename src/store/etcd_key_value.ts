/**
 * The key-value interface over etcd's v3 JSON gateway.
 *
 * No call is repeated here: a write whose answer was lost is reported as
 * `unknown` and the caller decides.
 */
import type { Static, TSchema } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Err, Ok, type Result } from "ts-results/result";
import {
  encode,
  encodePrefixEnd,
  encodeRangeStart,
  GrantSchema,
  KeepAliveSchema,
  RangeSchema,
  toItem,
  toNumber,
  TxnSchema,
} from "./etcd_messages.ts";
import { EtcdWatch } from "./etcd_watch.ts";
import { createHttpJson, type HttpJson } from "./http_json.ts";
import type { HttpJsonOptions } from "./http_json.ts";
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

/** Options of the client. */
export interface EtcdKeyValueOptions extends HttpJsonOptions {
  /** Silence after which a watch counts as lost, in milliseconds. */
  watchSilenceMs?: number;
}

const DEFAULT_WATCH_SILENCE_MS = 5_000;

type Answer<T> = Promise<Result<T, PlatformFailure>>;

/** A compare of a transaction. */
interface Compare {
  readonly target: "CREATE" | "MOD";
  readonly revision: number;
}

class EtcdKeyValue implements KeyValue {
  readonly #http: HttpJson;
  readonly #watchSilenceMs: number;
  readonly #watches = new Set<EtcdWatch>();

  constructor(
    { watchSilenceMs = DEFAULT_WATCH_SILENCE_MS, ...options }:
      EtcdKeyValueOptions,
  ) {
    this.#http = createHttpJson(options);
    this.#watchSilenceMs = watchSilenceMs;
  }

  async get(key: string): Answer<Item | undefined> {
    const answer = await this.#read({ key: encode(key) });
    return answer.map(({ items }) => items[0]);
  }

  list(prefix: string, { from, limit }: ListOptions = {}): Answer<Listing> {
    return this.#read({
      key: encodeRangeStart(from ?? prefix),
      "range_end": encodePrefixEnd(prefix),
      ...(limit !== undefined && { limit: String(limit) }),
    });
  }

  create(
    key: string,
    value: string,
    { lease }: { lease?: string } = {},
  ): Answer<ConditionalWrite> {
    return this.#writeIf(key, { target: "CREATE", revision: 0 }, {
      "request_put": { key: encode(key), value: encode(value), lease },
    });
  }

  replace(
    key: string,
    value: string,
    { revision, lease }: { revision: number; lease?: string },
  ): Answer<ConditionalWrite> {
    return this.#writeIf(key, { target: "MOD", revision }, {
      "request_put": { key: encode(key), value: encode(value), lease },
    });
  }

  remove(key: string, revision: number): Answer<ConditionalWrite> {
    return this.#writeIf(key, { target: "MOD", revision }, {
      "request_delete_range": { key: encode(key) },
    });
  }

  async grantLease(ttlSeconds: number): Answer<string> {
    const body = { TTL: String(ttlSeconds) };
    const answer = await this.#write("/v3/lease/grant", GrantSchema, { body });
    return answer.map(({ ID }) => ID);
  }

  async renewLease(lease: string): Answer<number> {
    const answer = await this.#write("/v3/lease/keepalive", KeepAliveSchema, {
      body: { ID: lease },
    });
    return answer.map(({ result }) => toNumber(result.TTL));
  }

  async revokeLease(lease: string): Answer<void> {
    const answer = await this.#http.call("/v3/lease/revoke", {
      isWrite: true,
      body: { ID: lease },
    });
    return answer.map(() => undefined);
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

  async #read(body: unknown): Answer<Listing> {
    const answer = await this.#http.call("/v3/kv/range", { body });
    if (answer.err) return answer;
    if (!Value.Check(RangeSchema, answer.val)) {
      return Err(new PlatformFailure("unavailable", "malformed answer"));
    }
    const { header, kvs = [] } = answer.val;
    const items = kvs.map(toItem);
    return Ok({ items, revision: toNumber(header.revision) });
  }

  async #write<T extends TSchema>(
    path: string,
    schema: T,
    { body }: { body: unknown },
  ): Answer<Static<T>> {
    const answer = await this.#http.call(path, { isWrite: true, body });
    if (answer.err) return answer;
    if (Value.Check(schema, answer.val)) return Ok(answer.val);
    return Err(new PlatformFailure("unknown", "malformed answer"));
  }

  /** Writes if the compare holds, and else reads what stands there. */
  async #writeIf(
    key: string,
    { target, revision }: Compare,
    write: unknown,
  ): Answer<ConditionalWrite> {
    const field = target === "CREATE" ? "create_revision" : "mod_revision";
    const compare = {
      key: encode(key),
      target,
      result: "EQUAL",
      [field]: String(revision),
    };
    const body = {
      compare: [compare],
      success: [write],
      failure: [{ "request_range": { key: encode(key) } }],
    };
    const answer = await this.#write("/v3/kv/txn", TxnSchema, { body });
    return answer.map(({ header, succeeded, responses }) => {
      if (succeeded) {
        return { kind: "written", revision: toNumber(header.revision) };
      }
      const found = responses?.[0]?.response_range?.kvs?.[0];
      return { kind: "conflict", current: found && toItem(found) };
    });
  }
}

/** Creates a client of the key-value service. */
export function createEtcdKeyValue(options: EtcdKeyValueOptions): KeyValue {
  return new EtcdKeyValue(options);
}
