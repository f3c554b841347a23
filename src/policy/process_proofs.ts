/**
 * Decides which process has answered at an upstream's address.
 *
 * Load pattern: during a release upstreams end and start again at their address,
 * under their id and with other software, and serve before their new entries
 * arrive. An answer is then not from the process that the entry describes.
 * Engines state when they started, but a call for each request would be paid for
 * each request. A process that was asked once is the same for as long as any
 * connection to it stays open, since all of them end with it. So a router asks
 * once after its last connection to an upstream has closed, and on most days
 * hardly ever.
 */
import type { UpstreamEntry } from "../routing/types.ts";

/** Start time that a process states of itself. */
export type ReportedStart =
  | { readonly kind: "stated"; readonly bornAt: number }
  /** The process answers, but states no start time. */
  | { readonly kind: "unstated" }
  /** The process has not answered in time. */
  | { readonly kind: "silent" };

/** A start time that was asked for. */
interface ProcessProof {
  readonly start: Exclude<ReportedStart, { kind: "silent" }>;
  /** Monotonic time at which it was asked for, in milliseconds. */
  readonly askedAt: number;
}

/** Whether a connection has been open since a monotonic time, in milliseconds. */
export type ContactCheck = (since: number) => boolean;

/** Addresses that are remembered; the oldest are dropped. */
const MAX_PROOFS = 4_096;

/**
 * Whether a process is the one of an entry. One that can't be told apart, since
 * one of the two has no start time, counts as the same.
 */
export function isSameProcess(
  { bornAt }: Pick<UpstreamEntry, "bornAt">,
  start: ReportedStart,
): boolean {
  if (start.kind === "silent") return false;
  return start.kind === "unstated" || bornAt === undefined ||
    start.bornAt === bornAt;
}

/** What the processes at the upstreams' addresses have stated. */
export class ProcessProofs {
  readonly #proofs = new Map<string, ProcessProof>();

  /** Records what a process answered that was asked at `askedAt`. */
  record(
    address: string,
    { start, askedAt }: { start: ReportedStart; askedAt: number },
  ): void {
    this.#proofs.delete(address);
    if (start.kind === "silent") return;
    this.#proofs.set(address, { start, askedAt });
    for (const oldest of this.#proofs.keys()) {
      if (this.#proofs.size <= MAX_PROOFS) break;
      this.#proofs.delete(oldest);
    }
  }

  /**
   * Whether the process that answers at the address of an entry now is certainly
   * that of the entry.
   */
  isProven(entry: UpstreamEntry, isOpenSince: ContactCheck): boolean {
    if (entry.bornAt === undefined) return true;
    const proof = this.#proofs.get(entry.address);
    if (proof === undefined || !isSameProcess(entry, proof.start)) return false;
    if (isOpenSince(proof.askedAt)) return true;
    this.#proofs.delete(entry.address);
    return false;
  }
}
