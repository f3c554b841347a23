/**
 * Client of one key-value service that has several addresses. A call that fails
 * with `unavailable` is retried at the next address, and later calls start at
 * the address that was used last.
 *
 * A call that may have taken effect is never retried.
 */
import type { Result } from "ts-results";
import type {
  ConditionalWrite,
  Item,
  KeyValue,
  Listing,
  ListOptions,
  PlatformFailure,
  Watch,
  WatchEvent,
  WatchOptions,
} from "./key_value.ts";

type AsyncResult<Value> = Promise<Result<Value, PlatformFailure>>;

/**
 * Creates a client that fails over between `clients`, one for each address, in
 * order of preference.
 */
export function createFailoverKeyValue(
  clients: readonly KeyValue[],
): KeyValue {
  const [only] = clients;
  return clients.length === 1 ? only! : new FailoverKeyValue(clients);
}

class FailoverKeyValue implements KeyValue {
  readonly #clients: readonly KeyValue[];
  #currentIndex = 0;

  constructor(clients: readonly KeyValue[]) {
    this.#clients = clients;
  }

  get(key: string): AsyncResult<Item | undefined> {
    return this.#call((client) => client.get(key));
  }

  list(prefix: string, options?: ListOptions): AsyncResult<Listing> {
    return this.#call((client) => client.list(prefix, options));
  }

  create(
    key: string,
    value: string,
    options?: { lease?: string },
  ): AsyncResult<ConditionalWrite> {
    return this.#call((client) => client.create(key, value, options));
  }

  replace(
    key: string,
    value: string,
    options: { revision: number; lease?: string },
  ): AsyncResult<ConditionalWrite> {
    return this.#call((client) => client.replace(key, value, options));
  }

  remove(key: string, revision: number): AsyncResult<ConditionalWrite> {
    return this.#call((client) => client.remove(key, revision));
  }

  grantLease(ttlSeconds: number): AsyncResult<string> {
    return this.#call((client) => client.grantLease(ttlSeconds));
  }

  renewLease(lease: string): AsyncResult<number> {
    return this.#call((client) => client.renewLease(lease));
  }

  revokeLease(lease: string): AsyncResult<void> {
    return this.#call((client) => client.revokeLease(lease));
  }

  watch(
    prefix: string,
    handler: (event: WatchEvent) => void,
    options?: WatchOptions,
  ): Watch {
    return this.#clients[this.#currentIndex]!.watch(prefix, handler, options);
  }

  async close(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.close()));
  }

  async #call<Value>(
    call: (client: KeyValue) => AsyncResult<Value>,
  ): AsyncResult<Value> {
    let result = await call(this.#clients[this.#currentIndex]!);
    for (let tries = 1; tries < this.#clients.length; tries++) {
      if (result.ok || result.val.kind !== "unavailable") return result;
      this.#currentIndex = (this.#currentIndex + 1) % this.#clients.length;
      result = await call(this.#clients[this.#currentIndex]!);
    }
    return result;
  }
}
