/**
 * One open watch of the key-value stand-in: a streamed answer of JSON lines.
 */
import type { ServerResponse } from "node:http";
import {
  isInRange,
  type KeyRange,
  type MemoryStore,
  type StoreEvent,
} from "./kv_store.ts";
import {
  asNumber,
  asRange,
  formatEvent,
  formatHeader,
  type WireObject,
} from "./kv_wire.ts";

/** A watch that streams events to one client. */
export class OpenWatch {
  readonly #store: MemoryStore;
  readonly #response: ServerResponse;
  readonly #range: KeyRange;
  readonly #progress: boolean;
  #startRevision: number;
  #silent = false;
  #quiet = true;

  constructor(
    store: MemoryStore,
    response: ServerResponse,
    { request }: { request: WireObject },
  ) {
    this.#store = store;
    this.#response = response;
    this.#range = asRange(request);
    this.#progress = request.progressNotify === true;
    this.#startRevision = asNumber(request.startRevision);
  }

  /** Sends the first answer and the events that are in the history already. */
  open(): void {
    this.#response.writeHead(200, { "content-type": "application/json" });
    const start = this.#startRevision;
    if (start > 0 && start < this.#store.compactRevision) {
      this.#send({
        canceled: true,
        "compact_revision": String(this.#store.compactRevision),
      });
      this.#response.end();
      return;
    }
    this.#send({ created: true });
    if (start > 0) this.publish(this.#store.eventsFrom(start, this.#range));
  }

  /** Sends those of the events that fall in the watch's range. */
  publish(events: readonly StoreEvent[]): void {
    const seen = events.filter((event) =>
      event.revision >= this.#startRevision &&
      isInRange(event.item.key, this.#range)
    );
    if (seen.length > 0) this.#send({ events: seen.map(formatEvent) });
  }

  /** Sends a progress notice if nothing went out since the last call. */
  notifyProgress(): void {
    if (this.#progress && this.#quiet) this.#send({});
    this.#quiet = true;
  }

  /** Stops sending for good while the connection stays open. */
  silence(): void {
    this.#silent = true;
  }

  /** Breaks the connection. */
  destroy(): void {
    this.#response.destroy();
  }

  #send(fields: WireObject): void {
    if (this.#silent) return;
    this.#quiet = false;
    const result = { header: formatHeader(this.#store), ...fields };
    this.#response.write(JSON.stringify({ result }) + "\n");
  }
}
