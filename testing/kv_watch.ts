/** A watch of the key-value stand-in: a response streamed as JSON lines. */
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

/** An open watch that streams events to one client. */
export class OpenWatch {
  readonly #store: MemoryStore;
  readonly #response: ServerResponse;
  readonly #range: KeyRange;
  readonly #notifiesProgress: boolean;
  #startRevision: number;
  #isSilenced = false;
  #isIdle = true;

  constructor(
    store: MemoryStore,
    response: ServerResponse,
    { request }: { request: WireObject },
  ) {
    this.#store = store;
    this.#response = response;
    this.#range = asRange(request);
    this.#notifiesProgress = request.progressNotify === true;
    this.#startRevision = asNumber(request.startRevision);
  }

  /**
   * Confirms the watch and sends the events since its start revision; cancels it
   * if that revision has been compacted.
   */
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
    if (start > 0) this.publish(this.#store.getEventsFrom(start, this.#range));
  }

  /** Sends the events that match the watch's range and start revision. */
  publish(events: readonly StoreEvent[]): void {
    const matching = events.filter((event) =>
      event.revision >= this.#startRevision &&
      isInRange(event.item.key, this.#range)
    );
    if (matching.length > 0) this.#send({ events: matching.map(formatEvent) });
  }

  /** Sends a progress notification if nothing was sent since the last call. */
  notifyProgress(): void {
    if (this.#notifiesProgress && this.#isIdle) this.#send({});
    this.#isIdle = true;
  }

  /** Permanently stops sending, but keeps the connection open. */
  silence(): void {
    this.#isSilenced = true;
  }

  /** Closes the connection abruptly. */
  destroy(): void {
    this.#response.destroy();
  }

  #send(fields: WireObject): void {
    if (this.#isSilenced) return;
    this.#isIdle = false;
    const result = { header: formatHeader(this.#store), ...fields };
    this.#response.write(JSON.stringify({ result }) + "\n");
  }
}
