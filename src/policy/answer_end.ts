/**
 * Decides whether the close of a connection is the end of an answer that states
 * none. The kernel also closes the connections of a process that has ended.
 *
 * Load pattern: upstreams end amid answers without a length and are back at
 * their address within milliseconds, so that a new connection shows a listener,
 * but not the process that wrote the answer. All connections of a process end
 * with it: one that was open before the answer began and is open afterwards
 * proves that the process has not ended.
 *
 * Where no such connection was kept, since the service has framed all its
 * answers so far, a request that may be repeated is tried again. For another a
 * listener has to do that accepts connections a while after the end.
 *
 * Bounds: that listener may be a later process. An upstream with several processes behind one listener may hold that
 * connection in another process than the one that wrote the answer. A process
 * that ends in order may close it later than `SETTLE_MS` after the answer's. After
 * a loss of power it counts as open until a keep-alive probe ends it.
 */
import { isSuccess } from "./answer_proof.ts";

/** What is known after the connection of an answer was closed. */
export interface EndEvidence {
  /**
   * Whether a connection to the upstream that was open before the answer began
   * is open still.
   */
  readonly hasOldConnection: boolean;
  /** What a new connection to the upstream met. */
  readonly contact: Contact;
  /**
   * Whether the process at the address states the start that the upstream's
   * entry states; undefined if it was not asked.
   */
  readonly process?: "same" | "other" | "unknown";
  /**
   * What a new connection met after SETTLE_MS; undefined unless no connection
   * was kept for a request that may not be repeated.
   */
  readonly laterContact?: ContactResult;
}

/** What a new connection met; silent if it was not opened in time. */
export type ContactResult = "accepted" | "refused" | "silent";

/** What a new connection met; pending if that is not known yet. */
export type Contact = ContactResult | "pending";

/** Whether an answer is whole; without proof, it doesn't count as whole. */
export type AnswerEnd = "whole" | "cut" | "unproven";

/**
 * Time after the close of an answer's connection in which the other closes of a
 * process that ended arrive, in milliseconds. The kernel closes its connections
 * one after the other, and more slowly on a busy machine.
 */
export const SETTLE_MS = 50;

/** Judges the end of an answer without a length. */
export function judgeEnd(
  { hasOldConnection, contact, process, laterContact }: EndEvidence,
): AnswerEnd {
  const isRefused = contact === "refused" || laterContact === "refused";
  if (isRefused || process === "other") return "cut";
  const isWhole = hasOldConnection || process === "same" ||
    laterContact === "accepted";
  return isWhole ? "whole" : "unproven";
}

/** Which services have answered without a length. */
export class FramingHistory {
  readonly #hasUnframed = new Map<string, boolean>();

  /**
   * Records an answer. That errors have a length says nothing of other answers.
   */
  record(
    service: string,
    { status, isFramed }: { status: number; isFramed: boolean },
  ): void {
    if (!isFramed) this.#hasUnframed.set(service, true);
    else if (isSuccess(status) && !this.#hasUnframed.has(service)) {
      this.#hasUnframed.set(service, false);
    }
  }

  /** Whether the next answer may have no length, for all that is known. */
  mayBeUnframed(service: string): boolean {
    return this.#hasUnframed.get(service) ?? true;
  }
}
