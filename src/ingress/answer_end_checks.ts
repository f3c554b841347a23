/**
 * Finds out whether an answer without a length is whole once its connection was
 * closed. The same holds for upstreams and for routers that serve a request.
 */
import {
  setImmediate as untilPolled,
  setTimeout as sleep,
} from "node:timers/promises";
import {
  type AnswerEnd,
  type Contact,
  type EndEvidence,
  FramingHistory,
  judgeEnd,
  SETTLE_MS,
} from "../policy/answer_end.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";
import { checkProcess } from "./process_check.ts";

/** Options of `AnswerEndChecks`. */
export interface AnswerEndChecksOptions {
  readonly connections: Pick<
    UpstreamConnections,
    "hold" | "isEstablishedSince" | "findContact" | "isOpenSince" | "send"
  >;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
}

/** Where a request is sent. */
export interface AnswerSource {
  /** `ip:port`. */
  readonly address: string;
  /** Service of the upstream; undefined for a router. */
  readonly service?: string;
  /** Entry of an engine, which states when it started. */
  readonly engine?: UpstreamEntry;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
}

/** Checks the ends of answers, and keeps what they need for it. */
export class AnswerEndChecks {
  readonly #options: AnswerEndChecksOptions;
  readonly #history = new FramingHistory();

  constructor(options: AnswerEndChecksOptions) {
    this.#options = options;
  }

  /** Starts the check of an answer; called before its request is sent. */
  begin(source: AnswerSource): AnswerEndCheck {
    return new AnswerEndCheck(source, this.#history, this.#options);
  }
}

/** Name of the routers in the history, where services have no empty names. */
const ROUTERS = "";

/** The check of one answer. */
export class AnswerEndCheck {
  readonly #source: AnswerSource;
  readonly #history: FramingHistory;
  readonly #options: AnswerEndChecksOptions;
  /** Whether a connection without requests is kept for the check. */
  readonly #isWatched: boolean;
  readonly #release: () => void;
  #headAt = -Infinity;

  constructor(
    source: AnswerSource,
    history: FramingHistory,
    options: AnswerEndChecksOptions,
  ) {
    this.#source = source;
    this.#history = history;
    this.#options = options;
    const { address, service = ROUTERS } = source;
    this.#isWatched = history.mayBeUnframed(service);
    this.#release = this.#isWatched
      ? options.connections.hold(address)
      : () => {};
  }

  /** Records that the head of the answer has come. */
  recordHead(head: { status: number; isFramed: boolean }): void {
    this.#headAt = this.#options.clock();
    this.#history.record(this.#source.service ?? ROUTERS, head);
  }

  /** Judges the end of an answer without a length, whose connection was closed. */
  async judge(): Promise<AnswerEnd> {
    const { address, engine, isRepeatable } = this.#source;
    const { connections } = this.#options;
    let contact: Contact = "pending";
    const search = connections.findContact(address)
      .then((found) => contact = found);
    const check = engine?.bornAt === undefined
      ? undefined
      : checkProcess(engine, this.#options);
    await sleep(SETTLE_MS);
    // After a pause of this process, timers run before what has arrived is read.
    await untilPolled();
    const state = await check;
    const process = state === "silent" ? "unknown" : state;
    const end = judgeEnd({ ...this.#getEvidence(contact), process });
    if (end !== "unproven") return end;
    const laterContact = this.#isWatched || isRepeatable
      ? undefined
      : await connections.findContact(address);
    return judgeEnd({
      ...this.#getEvidence(await search),
      process,
      laterContact,
    });
  }

  /** Ends the check; must be called once. */
  close(): void {
    this.#release();
  }

  #getEvidence(contact: Contact): EndEvidence {
    const hasOldConnection = this.#options.connections
      .isEstablishedSince(this.#source.address, this.#headAt);
    return { hasOldConnection, contact };
  }
}
