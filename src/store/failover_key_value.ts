/**
 * One key-value service behind several addresses: a call that did not take
 * effect at one is made at the next, and the one that answered is kept.
 *
 * A call that may have taken effect is never made again here.
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

type Answer<Value> = Promise<Result<Value, PlatformFailure>>;

/** Creates the service from a client for each address, best first. */
export function createFailoverKeyValue(
  clients: readonly KeyValue[],
): KeyValue {
  const [only] = clients;
  return clients.length === 1 ? only! : new FailoverKeyValue(clients);
}

class FailoverKeyValue implements KeyValue {
  readonly #clients: readonly KeyValue[];
  #current = 0;

  constructor(clients: readonly KeyValue[]) {
    this.#clients = clients;
  }

  get(key: string): Answer<Item | undefined> {
    return this.#call((client) => client.get(key));
  }

  list(prefix: string, options?: ListOptions): Answer<Listing> {
    return this.#call((client) => client.list(prefix, options));
  }

  create(
    key: string,
    value: string,
    options?: { lease?: string },
  ): Answer<ConditionalWrite> {
    return this.#call((client) => client.create(key, value, options));
  }

  replace(
    key: string,
    value: string,
    options: { revision: number; lease?: string },
  ): Answer<ConditionalWrite> {
    return this.#call((client) => client.replace(key, value, options));
  }

  remove(key: string, revision: number): Answer<ConditionalWrite> {
    return this.#call((client) => client.remove(key, revision));
  }

  grantLease(ttlSeconds: number): Answer<string> {
    return this.#call((client) => client.grantLease(ttlSeconds));
  }

  renewLease(lease: string): Answer<number> {
    return this.#call((client) => client.renewLease(lease));
  }

  revokeLease(lease: string): Answer<void> {
    return this.#call((client) => client.revokeLease(lease));
  }

  watch(
    prefix: string,
    handler: (event: WatchEvent) => void,
    options?: WatchOptions,
  ): Watch {
    return this.#clients[this.#current]!.watch(prefix, handler, options);
  }

  async close(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.close()));
  }

  async #call<Value>(
    call: (client: KeyValue) => Answer<Value>,
  ): Answer<Value> {
    let answer = await call(this.#clients[this.#current]!);
    for (let tries = 1; tries < this.#clients.length; tries++) {
      if (answer.ok || answer.val.kind !== "unavailable") return answer;
      this.#current = (this.#current + 1) % this.#clients.length;
      answer = await call(this.#clients[this.#current]!);
    }
    return answer;
  }
}
