/**
 * Loans of capacity ranks between the routers of one pool.
 *
 * Each router owns the rank that bears its name. It lends the rank to the one
 * router that it believes to be the pool's owner, by answering that router's
 * heartbeat and echoing its timestamp. The borrower counts the loan as good
 * until the echo plus the loan time on its own clock. The lender counts it as
 * out until its sending time plus the loan time and the drift on its own. As
 * the echo was sent before the answer, the borrower's end comes first, and
 * neither needs the other's clock.
 *
 * A rank belongs to a router, not to a configuration, so that at any moment at
 * most one router holds it, whatever configurations are in force.
 */

/** A reading of one process's monotonic clock. */
export interface Stamp {
  /** Process that made the reading; clocks of two processes don't compare. */
  readonly incarnation: string;
  readonly at: number;
}

/** What a router tells a peer about once a second. */
export interface Heartbeat {
  /** When the sender sent it. */
  readonly sentAt: Stamp;
  /** Newest `sentAt` that the sender had received from the peer. */
  readonly echo?: Stamp;
  /** Whether the sender lends the peer its rank. */
  readonly lends: boolean;
}

/** The part of a heartbeat that answers a peer's heartbeat. */
export type Offer = Pick<Heartbeat, "echo" | "lends">;

/** A rank that this router may use. */
export interface HeldRank {
  /** Name of the router whose rank it is. */
  readonly replica: string;
  /** From when on this router has held it without a break. */
  readonly gainedAt: number;
}

/** Options of the loans of one pool. */
export interface LoansOptions {
  /** Name of this router. */
  readonly self: string;
  /** Unique id of this process. */
  readonly incarnation: string;
  /** When this process started, on its own clock. */
  readonly startedAt: number;
  /** How long a loan lasts, in milliseconds. */
  readonly loanMs?: number;
  /** Most that two clocks drift apart in the time of a loan. */
  readonly driftMs?: number;
}

/** Default of `LoansOptions.loanMs`. */
export const LOAN_MS = 3_000;
/** Default of `LoansOptions.driftMs`. */
export const DRIFT_MS = 50;

/** The ranks of one pool, as far as this router lends or holds them. */
export interface Loans {
  /** Sets the router that this one believes to be the pool's owner. */
  setOwner(name: string | undefined): void;
  /** Makes the offer for a heartbeat to `peer` and notes what it lends. */
  offerFor(peer: string, now: number): Offer;
  /** Takes a heartbeat of `peer`. */
  receive(peer: string, heartbeat: Heartbeat, now: number): void;
  /** The ranks that this router may use now. */
  heldRanks(now: number): HeldRank[];
  /** Gives up every borrowed rank; peers are told the stamp. */
  returnAll(now: number): Stamp;
  /** Takes the word of `peer` that it returned all loans up to `stamp`. */
  returned(peer: string, stamp: Stamp, now: number): void;
}

/**
 * Creates the loans of a pool.
 *
 * A former process of this router may have lent the rank just before the
 * start, so it counts as lent out at first.
 */
export function createLoans(options: LoansOptions): Loans {
  return new TimedLoans({ loanMs: LOAN_MS, driftMs: DRIFT_MS, ...options });
}

interface Borrowed {
  gainedAt: number;
  goodUntil: number;
}

interface Heard {
  stamp: Stamp;
  receivedAt: number;
}

interface Lent {
  readonly borrower: string;
  /** The newest echo under which it was lent. */
  readonly echo: Stamp;
  /** Whether the loan was lent to one process of the borrower only. */
  readonly isReturnable: boolean;
}

class TimedLoans implements Loans {
  readonly #options: Required<LoansOptions>;
  readonly #borrowed = new Map<string, Borrowed>();
  readonly #heard = new Map<string, Heard>();
  #owner: string | undefined;
  #lent: Lent | undefined;
  #outUntil: number;
  #returnedAt = -Infinity;

  constructor(options: Required<LoansOptions>) {
    this.#options = options;
    this.#outUntil = this.#outUntilFrom(options.startedAt);
  }

  setOwner(name: string | undefined): void {
    this.#owner = name;
  }

  offerFor(peer: string, now: number): Offer {
    const heard = this.#heard.get(peer);
    if (heard === undefined) return { lends: false };
    const echo = heard.stamp;
    if (!this.#canLend(peer, heard, now)) return { echo, lends: false };
    this.#lent = this.#renew(peer, echo, now);
    this.#outUntil = this.#outUntilFrom(now);
    return { echo, lends: true };
  }

  receive(peer: string, heartbeat: Heartbeat, now: number): void {
    this.#noteSentAt(peer, heartbeat.sentAt, now);
    if (heartbeat.lends && heartbeat.echo !== undefined) {
      this.#borrow(peer, heartbeat.echo, now);
    }
  }

  heldRanks(now: number): HeldRank[] {
    const held: HeldRank[] = [];
    if (now >= this.#outUntil) {
      held.push({ replica: this.#options.self, gainedAt: this.#outUntil });
    }
    for (const [replica, { gainedAt, goodUntil }] of this.#borrowed) {
      if (now < goodUntil) held.push({ replica, gainedAt });
    }
    return held;
  }

  returnAll(now: number): Stamp {
    this.#borrowed.clear();
    this.#returnedAt = now;
    return { incarnation: this.#options.incarnation, at: now };
  }

  returned(peer: string, stamp: Stamp, now: number): void {
    if (this.#lent === undefined || this.#lent.borrower !== peer) return;
    const { echo, isReturnable } = this.#lent;
    if (!isReturnable) return;
    // A loan under a newer echo came after the return and still stands.
    const covers = echo.incarnation === stamp.incarnation &&
      echo.at <= stamp.at;
    if (!covers) return;
    this.#lent = undefined;
    this.#outUntil = Math.min(this.#outUntil, now);
  }

  #outUntilFrom(at: number): number {
    return at + this.#options.loanMs + this.#options.driftMs;
  }

  #canLend(peer: string, heard: Heard, now: number): boolean {
    if (peer !== this.#owner) return false;
    // A peer this silent could not use the loan, which would only lock the
    // rank.
    if (now - heard.receivedAt > this.#options.loanMs) return false;
    return now >= this.#outUntil || this.#lent?.borrower === peer;
  }

  /** A late heartbeat of a former process may mix the echoes of two. */
  #renew(borrower: string, echo: Stamp, now: number): Lent {
    const lent = now < this.#outUntil ? this.#lent : undefined;
    const isReturnable = lent === undefined ||
      (lent.isReturnable && lent.echo.incarnation === echo.incarnation);
    return { borrower, echo, isReturnable };
  }

  #noteSentAt(peer: string, stamp: Stamp, now: number): void {
    const heard = this.#heard.get(peer);
    const isOlder = heard !== undefined &&
      heard.stamp.incarnation === stamp.incarnation &&
      heard.stamp.at >= stamp.at;
    if (!isOlder) this.#heard.set(peer, { stamp, receivedAt: now });
  }

  #borrow(peer: string, echo: Stamp, now: number): void {
    const { incarnation, loanMs } = this.#options;
    if (echo.incarnation !== incarnation) return;
    // The lender takes a loan up to the return as returned.
    if (echo.at <= this.#returnedAt || echo.at > now) return;
    const goodUntil = echo.at + loanMs;
    if (goodUntil <= now) return;
    const loan = this.#borrowed.get(peer);
    if (loan === undefined || loan.goodUntil <= now) {
      this.#borrowed.set(peer, { gainedAt: now, goodUntil });
      return;
    }
    loan.goodUntil = Math.max(loan.goodUntil, goodUntil);
  }
}
