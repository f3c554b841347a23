/**
 * Time-limited loans of capacity ranks between the routers of one pool.
 *
 * A rank is a router's fixed claim to a part of each upstream's limit. Each
 * router owns the rank that has its name. It lends the rank to the one router
 * that it believes to be the pool's owner, by replying to that router's
 * heartbeat and echoing the heartbeat's timestamp. For the borrower, the loan
 * ends the loan time after the echoed timestamp, on its own clock. For the
 * lender, the rank is lent until its reply was sent plus the loan time and the
 * maximum drift, on its own clock. Since the echoed heartbeat was sent before
 * the reply, the borrower's loan always ends first, and neither router needs
 * the other's clock.
 *
 * A rank belongs to a router, not to a configuration. At any time at most one
 * router holds it, whichever configurations are in force.
 */

/** A reading of one process's monotonic clock. */
export interface ProcessTimestamp {
  /** Process that read the clock; clocks of two processes can't be compared. */
  readonly incarnation: string;
  /** Milliseconds on the monotonic clock of the process. */
  readonly at: number;
}

/** A message that a router sends to a peer about once a second. */
export interface Heartbeat {
  /** When the heartbeat was sent. */
  readonly sentAt: ProcessTimestamp;
  /** Newest `sentAt` that the sender has received from the peer. */
  readonly echo?: ProcessTimestamp;
  /** Whether the sender lends its rank to the peer. */
  readonly lends: boolean;
}

/** The part of a heartbeat that replies to a peer's heartbeat. */
export type Offer = Pick<Heartbeat, "echo" | "lends">;

/** A rank that this router may use. */
export interface HeldRank {
  /** Name of the router whose rank it is. */
  readonly replica: string;
  /** Since when this router has held the rank without interruption, in ms. */
  readonly heldSince: number;
}

/** Options of the loans of one pool. */
export interface LoansOptions {
  /** Name of this router. */
  readonly self: string;
  /** Id of this process, unique among all processes. */
  readonly incarnation: string;
  /** When this process started, in milliseconds on its monotonic clock. */
  readonly startedAt: number;
  /** Duration of a loan, in milliseconds. */
  readonly loanMs?: number;
  /** Maximum drift between two clocks during a loan, in milliseconds. */
  readonly driftMs?: number;
}

/** Default of `LoansOptions.loanMs`, in milliseconds. */
export const DEFAULT_LOAN_MS = 3_000;
/** Default of `LoansOptions.driftMs`, in milliseconds. */
export const DEFAULT_DRIFT_MS = 50;

/**
 * The ranks of one pool that this router lends or holds. Times are in
 * milliseconds on this process's monotonic clock.
 */
export interface Loans {
  /** Sets the router that this router believes to be the pool's owner. */
  setOwner(name: string | undefined): void;
  /** Creates the offer for a heartbeat to `peer` and records a loan in it. */
  createOffer(peer: string, now: number): Offer;
  /** Handles a heartbeat from `peer`. */
  receive(peer: string, heartbeat: Heartbeat, now: number): void;
  /** Returns the ranks that this router may use at `now`. */
  getHeldRanks(now: number): HeldRank[];
  /**
   * Returns all borrowed ranks.
   * @returns The time of the return, to be sent to the peers.
   */
  returnAll(now: number): ProcessTimestamp;
  /** Records that `peer` gave back all loans with an echo up to `stamp`. */
  recordReturn(peer: string, stamp: ProcessTimestamp, now: number): void;
}

/**
 * Creates the loans of a pool.
 *
 * The router's own rank counts as lent for the loan time plus the drift
 * after the start, because a previous process of this router may have lent it
 * just before.
 */
export function createLoans(options: LoansOptions): Loans {
  return new TimedLoans({
    loanMs: DEFAULT_LOAN_MS,
    driftMs: DEFAULT_DRIFT_MS,
    ...options,
  });
}

interface BorrowedRank {
  heldSince: number;
  validUntil: number;
}

interface ReceivedHeartbeat {
  stamp: ProcessTimestamp;
  receivedAt: number;
}

interface GrantedLoan {
  readonly borrower: string;
  /** The newest timestamp of the borrower that was echoed with the loan. */
  readonly echo: ProcessTimestamp;
  /**
   * Whether the rank was lent to a single process of the borrower, so that this
   * process can return the loan early.
   */
  readonly isReturnable: boolean;
}

class TimedLoans implements Loans {
  readonly #options: Required<LoansOptions>;
  readonly #borrowed = new Map<string, BorrowedRank>();
  readonly #lastHeartbeats = new Map<string, ReceivedHeartbeat>();
  #owner: string | undefined;
  #grantedLoan: GrantedLoan | undefined;
  #lentUntil: number;
  #returnedAt = -Infinity;

  constructor(options: Required<LoansOptions>) {
    this.#options = options;
    this.#lentUntil = this.#getLentUntil(options.startedAt);
  }

  setOwner(name: string | undefined): void {
    this.#owner = name;
  }

  createOffer(peer: string, now: number): Offer {
    const last = this.#lastHeartbeats.get(peer);
    if (last === undefined) return { lends: false };
    const echo = last.stamp;
    if (!this.#canLend(peer, last, now)) return { echo, lends: false };
    this.#grantedLoan = this.#createGrantedLoan(peer, echo, now);
    this.#lentUntil = this.#getLentUntil(now);
    return { echo, lends: true };
  }

  receive(peer: string, heartbeat: Heartbeat, now: number): void {
    this.#recordSentAt(peer, heartbeat.sentAt, now);
    if (heartbeat.lends && heartbeat.echo !== undefined) {
      this.#recordLoan(peer, heartbeat.echo, now);
    }
  }

  getHeldRanks(now: number): HeldRank[] {
    const held: HeldRank[] = [];
    if (now >= this.#lentUntil) {
      held.push({ replica: this.#options.self, heldSince: this.#lentUntil });
    }
    for (const [replica, { heldSince, validUntil }] of this.#borrowed) {
      if (now < validUntil) held.push({ replica, heldSince });
    }
    return held;
  }

  returnAll(now: number): ProcessTimestamp {
    this.#borrowed.clear();
    this.#returnedAt = now;
    return { incarnation: this.#options.incarnation, at: now };
  }

  recordReturn(peer: string, stamp: ProcessTimestamp, now: number): void {
    if (
      this.#grantedLoan === undefined || this.#grantedLoan.borrower !== peer
    ) return;
    const { echo, isReturnable } = this.#grantedLoan;
    if (!isReturnable) return;
    // A loan with a newer echo was granted after the return and is still valid.
    const covers = echo.incarnation === stamp.incarnation &&
      echo.at <= stamp.at;
    if (!covers) return;
    this.#grantedLoan = undefined;
    this.#lentUntil = Math.min(this.#lentUntil, now);
  }

  #getLentUntil(at: number): number {
    return at + this.#options.loanMs + this.#options.driftMs;
  }

  #canLend(peer: string, last: ReceivedHeartbeat, now: number): boolean {
    if (peer !== this.#owner) return false;
    // A loan to a peer that was silent for longer than the loan time would have
    // expired on arrival, and would only block the rank.
    if (now - last.receivedAt > this.#options.loanMs) return false;
    return now >= this.#lentUntil || this.#grantedLoan?.borrower === peer;
  }

  /**
   * Returns a new loan, or the extension of the current one. A loan that was
   * extended across two processes of the borrower can't end early by a return,
   * because a late heartbeat of the previous process may mix their echoes.
   */
  #createGrantedLoan(
    borrower: string,
    echo: ProcessTimestamp,
    now: number,
  ): GrantedLoan {
    const current = now < this.#lentUntil ? this.#grantedLoan : undefined;
    const isReturnable = current === undefined ||
      (current.isReturnable && current.echo.incarnation === echo.incarnation);
    return { borrower, echo, isReturnable };
  }

  #recordSentAt(peer: string, stamp: ProcessTimestamp, now: number): void {
    const last = this.#lastHeartbeats.get(peer);
    const isOlder = last !== undefined &&
      last.stamp.incarnation === stamp.incarnation &&
      last.stamp.at >= stamp.at;
    if (!isOlder) this.#lastHeartbeats.set(peer, { stamp, receivedAt: now });
  }

  #recordLoan(peer: string, echo: ProcessTimestamp, now: number): void {
    const { incarnation, loanMs } = this.#options;
    if (echo.incarnation !== incarnation) return;
    // For the lender, the return covers every loan with an echo up to it.
    if (echo.at <= this.#returnedAt || echo.at > now) return;
    const validUntil = echo.at + loanMs;
    if (validUntil <= now) return;
    const loan = this.#borrowed.get(peer);
    if (loan === undefined || loan.validUntil <= now) {
      this.#borrowed.set(peer, { heldSince: now, validUntil });
      return;
    }
    loan.validUntil = Math.max(loan.validUntil, validUntil);
  }
}
