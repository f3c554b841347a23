/**
 * Keeps the events of one stream in order when another upstream continues it.
 *
 * Event ids rise, by any steps, so a jump between two ids doesn't tell whether an
 * event is missing. What one upstream sends in one response is in order. A
 * response that continues a stream has to prove where it does: it sends the
 * last forwarded event again, or an id between which and the last one no other
 * fits. Unless the ids count the events, the next upstream is therefore asked to
 * begin one event early. Where the caller resumes a stream, the router that
 * forwarded the events before tells where it has ended; without that, only the
 * caller and the upstream know them, and the first id may be any later one.
 */

/**
 * What to do with an event: forward it (`pass`), discard one that the caller has
 * (`drop`), or stop reading from the upstream, because an event may be missing
 * (`gap`) or because the ids of its response fall (`disorder`).
 */
export type EventAction = "pass" | "drop" | "gap" | "disorder";

/** Up to where the events of a stream were forwarded. */
export interface StreamPosition {
  /** Ids of the last event and of the one before it, if there is one. */
  readonly lastId: string;
  readonly secondLastId?: string;
  /** Whether the ids seem to count the events. */
  readonly isCounted: boolean;
}

/** An event as far as its order depends on it. */
export interface OrderedEvent {
  /** Text of the id; undefined without an id that is a whole number. */
  readonly idText: string | undefined;
  /** Whether the caller is told anything; a comment has no data. */
  readonly hasData: boolean;
}

/** Digits of the longest id that is compared; 64-bit counters have 20. */
const MAX_ID_DIGITS = 64;
/** Ids that count the events begin with 0 or 1. */
const MAX_FIRST_COUNT = 1n;
const ID_PATTERN = new RegExp(`^\\d{1,${MAX_ID_DIGITS}}$`);

/** Whether events with this id can be put in order. */
export function isEventId(text: string): boolean {
  return ID_PATTERN.test(text);
}

interface EventId {
  /** As the upstream wrote it, for example with leading zeros. */
  readonly text: string;
  readonly value: bigint;
}

/**
 * How far the response of one upstream is in the stream. Only `EventOrder`
 * changes it.
 */
export interface ResponseProgress {
  /**
   * Id after which the upstream is to continue; undefined to leave the id that
   * the caller has named, or none.
   */
  readonly resumeAfter: string | undefined;
  /** Whether it was asked for the last forwarded event again. */
  readonly isOverlapDue: boolean;
  /** Last id of the response. */
  lastId: bigint | undefined;
  /** Whether it is known to be past what the caller has. */
  isCaughtUp: boolean;
  /** What is wrong with the event that was neither forwarded nor dropped. */
  fault: string;
}

/**
 * Tracks the event ids of one stream. Several responses may be open at a time,
 * as long as the others end once events of one of them are forwarded.
 */
export class EventOrder {
  readonly #resumedFrom: bigint | undefined;
  /** Last event with an id that was forwarded, and the one before it. */
  #last: EventId | undefined;
  #secondLast: EventId | undefined;
  /** Whether the ids may count the events. */
  #isCounted = true;
  /** Whether data without an id was forwarded since the last event with one. */
  #isPastLast = false;
  /** Whether it is known which event follows those that the caller has. */
  #isNextKnown = false;

  /**
   * @param resumedFrom Id of the last event that the caller already has, if it
   *   resumes a stream.
   */
  constructor(resumedFrom?: string) {
    this.#resumedFrom = resumedFrom === undefined
      ? undefined
      : BigInt(resumedFrom);
  }

  /** Up to where events were forwarded; undefined before one with an id. */
  get position(): StreamPosition | undefined {
    if (this.#last === undefined || this.#isPastLast) return undefined;
    const secondLastId = this.#secondLast?.text;
    return {
      lastId: this.#last.text,
      ...(secondLastId !== undefined && { secondLastId }),
      isCounted: this.#isCounted && this.#hasSteps,
    };
  }

  /** Records up to where an earlier request for the stream has got it. */
  recordPosition({ lastId, secondLastId, isCounted }: StreamPosition): void {
    if (this.#last !== undefined || this.#resumedFrom === undefined) return;
    this.#isNextKnown = isCounted;
    // The caller may have less than was forwarded.
    const isEnd = BigInt(lastId) === this.#resumedFrom;
    if (isCounted || !isEnd || secondLastId === undefined) return;
    this.#isNextKnown = true;
    this.#isCounted = false;
    this.#secondLast = { text: secondLastId, value: BigInt(secondLastId) };
  }

  /**
   * Whether another upstream can continue the stream. After data without an id,
   * no id tells where.
   */
  get canContinue(): boolean {
    return !this.#isPastLast;
  }

  /** Begins the response of an upstream. */
  beginResponse(): ResponseProgress {
    const isCounted = this.#isCounted && this.#hasSteps;
    const hasEnd = this.#last !== undefined || this.#isNextKnown;
    const isOverlapDue = hasEnd && !isCounted;
    return {
      resumeAfter: (isOverlapDue ? this.#secondLast : this.#last)?.text,
      isOverlapDue,
      lastId: undefined,
      isCaughtUp: this.#position === undefined,
      fault: "",
    };
  }

  /**
   * Whether a response may end here. It can't be the rest of the stream while it
   * repeats earlier events.
   */
  canEnd({ isCaughtUp, lastId, isOverlapDue }: ResponseProgress): boolean {
    return isCaughtUp || lastId === undefined && !isOverlapDue;
  }

  /** Decides what to do with the next event of a response. */
  receive(
    { idText, hasData }: OrderedEvent,
    response: ResponseProgress,
  ): EventAction {
    if (idText === undefined || !isEventId(idText)) {
      return hasData ? this.#receiveWithoutId(response) : "pass";
    }
    const id = { text: idText, value: BigInt(idText) };
    const before = response.lastId;
    if (before !== undefined && id.value <= before) {
      if (id.value === before) return "drop";
      response.fault = `event ${idText} comes after ${before}`;
      return "disorder";
    }
    response.lastId = id.value;
    if (!response.isCaughtUp) {
      const isFirst = before === undefined;
      const action = this.#catchUp(id, { response, isFirst });
      if (action !== "pass") return action;
    }
    this.#record(id);
    return "pass";
  }

  /** Id of the last event that the caller has. */
  get #position(): bigint | undefined {
    return this.#last?.value ?? this.#resumedFrom;
  }

  /** Whether the caller has several events, between whose ids are steps. */
  get #hasSteps(): boolean {
    return (this.#secondLast?.value ?? this.#resumedFrom) !== undefined;
  }

  #receiveWithoutId(
    { isCaughtUp, lastId, isOverlapDue }: ResponseProgress,
  ): EventAction {
    const isRepeated = !isCaughtUp && (lastId !== undefined || isOverlapDue);
    if (isRepeated) return "drop";
    this.#isPastLast = true;
    return "pass";
  }

  /** Decides on an event of a response that may repeat earlier events. */
  #catchUp(
    { text, value }: EventId,
    { response, isFirst }: { response: ResponseProgress; isFirst: boolean },
  ): EventAction {
    const position = this.#position!;
    if (value <= position && !this.#isPastLast) {
      response.isCaughtUp = value === position;
      return "drop";
    }
    const isAdjacent = value === position + 1n;
    const isCallersPart = this.#last === undefined && !this.#isNextKnown &&
      value > position;
    response.isCaughtUp = isFirst && (isAdjacent || isCallersPart);
    if (response.isCaughtUp) return "pass";
    this.#isCounted = false;
    response.fault = `event ${text} may not be the next one after ${position}`;
    return "gap";
  }

  #record(id: EventId): void {
    const position = this.#position;
    this.#isCounted &&= position === undefined
      ? id.value <= MAX_FIRST_COUNT
      : id.value === position + 1n;
    this.#secondLast = this.#last;
    this.#last = id;
    this.#isPastLast = false;
  }
}
