/**
 * Keeps the events of one stream in order when the stream continues on another
 * upstream. Duplicate events are dropped, and a gap in the ids means that the
 * upstream can't continue the stream.
 */

/**
 * What to do with an event: forward it (`pass`), discard a duplicate (`drop`),
 * or stop reading from the upstream because an event is missing (`gap`).
 */
export type EventAction = "pass" | "drop" | "gap";

/** Tracks the event ids of one stream. */
export class EventOrder {
  #lastId: number | undefined;

  /**
   * @param lastId Id of the last event that the caller already has, if it
   *   resumes a stream.
   */
  constructor(lastId?: number) {
    this.#lastId = lastId;
  }

  /** Id of the last forwarded event, or the id that the stream resumed from. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /**
   * Decides what to do with the next event of an upstream and, if it is
   * forwarded, records its id. Events without an id are always forwarded.
   */
  receive(id: number | undefined): EventAction {
    if (id === undefined) return "pass";
    if (this.#lastId !== undefined) {
      if (id <= this.#lastId) return "drop";
      if (id > this.#lastId + 1) return "gap";
    }
    this.#lastId = id;
    return "pass";
  }
}
