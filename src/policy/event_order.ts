/**
 * Keeps the events of a stream in order over all the upstreams that it goes on
 * at: none is passed on twice, and a gap ends the upstream's part.
 */

/** What becomes of an event. */
export type EventFate = "pass" | "drop" | "gap";

/** Follows the ids of one stream. */
export class EventOrder {
  #lastId: number | undefined;

  /** `lastId` is what the caller already has, where it resumes. */
  constructor(lastId?: number) {
    this.#lastId = lastId;
  }

  /** Id of the last event that was passed on. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** Decides on the next event of an upstream. */
  take(id: number | undefined): EventFate {
    if (id === undefined) return "pass";
    if (this.#lastId !== undefined) {
      if (id <= this.#lastId) return "drop";
      if (id > this.#lastId + 1) return "gap";
    }
    this.#lastId = id;
    return "pass";
  }
}
