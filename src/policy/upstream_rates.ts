/**
 * Keeps the rates that upstreams name in their answers: the requests that they
 * take in a second, or, in another instance, the rejections that they bear.
 *
 * Load pattern: an upstream in need names how many requests a second it takes
 * from all routers together. Routers that each keep the whole rate exceed it
 * many times, and routers that have not had an answer of the upstream yet do not
 * know it. Statements are therefore exchanged between the routers, with ages in
 * place of times, and the rate is shared between some of them: with a few
 * requests a second and hundreds of routers, equal shares would add up to a
 * burst of one request from each.
 *
 * Answers of an upstream can overtake each other. A limit counts from the
 * arrival of its answer. An answer without a limit ends it only if its request
 * was sent after that.
 */
import type { StatedRate } from "../routing/types.ts";
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** A statement as one router tells it to another. */
export interface RateReport {
  readonly upstream: string;
  readonly rate: StatedRate;
  /** Time since the statement took effect, in milliseconds. */
  readonly ageMs: number;
}

/** Options of `UpstreamRates`. */
export interface UpstreamRatesOptions {
  /** Name of this router. */
  readonly self: string;
  readonly hash: Hash;
}

/** The routers of the fleet by name; their values do not matter here. */
type RouterNames = ReadonlyMap<string, unknown>;

interface Statement {
  readonly rate: StatedRate;
  /** Monotonic time from which it holds, in milliseconds. */
  readonly at: number;
}

/** Requests that this router may send, at most one at a time. */
interface Allowance {
  /** Fraction of a request; 1 allows one. */
  tokens: number;
  /** Time up to which tokens were added, in milliseconds. */
  updatedAt: number;
  /** Part of the rate that this router may use; see `getRateShare`. */
  share: number;
  /** Rate and time for which the share was computed. */
  sharedRate: number | undefined;
  sharedAt: number;
}

/** Statements in a report, which bound what other routers can make one keep. */
export const MAX_REPORTED_RATES = 256;
const MS_PER_SECOND = 1_000;
/**
 * Time after which a statement that no answer has renewed is dropped, in
 * milliseconds. An upstream that gets no request can't say that its limit ended.
 */
const MAX_STATEMENT_AGE_MS = 10_000;
/** Longest time in which a low rate allows one request, in milliseconds. */
const MAX_INTERVAL_MS = 8_000;
/**
 * Time for which the end of a limit is repeated to other routers; messages can
 * be lost.
 */
const ENDED_NEWS_MS = 2_000;
/**
 * Difference in time below which an equal statement is not news. A report is
 * some milliseconds older than it says, and would seem newer at each router.
 */
const NEWS_TOLERANCE_MS = 300;
/**
 * Time for which a share is not computed again, in milliseconds. Ranking
 * hundreds of routers for each request takes longer than all else in its way;
 * the routers of a fleet change more slowly.
 */
const SHARE_LIFETIME_MS = 500;
/**
 * Routers that share a rate, in addition to its requests a second. Each may
 * send one request at once, so that there must not be many more than the rate.
 */
const EXTRA_HOLDERS = 2;

/** Returns this router's part of `rate`, in requests a second. */
export function getRateShare(
  rate: number,
  { self, upstream, routers, hash }: UpstreamRatesOptions & {
    upstream: string;
    routers: readonly string[];
  },
): number {
  const names = routers.includes(self) ? routers : [...routers, self];
  const holders = Math.min(names.length, Math.floor(rate) + EXTRA_HOLDERS);
  const rank = rankByRendezvous(upstream, names, { hash }).indexOf(self);
  if (rank >= holders) return 0;
  const minRate = MS_PER_SECOND / MAX_INTERVAL_MS;
  return Math.max(rate, minRate) / holders;
}

/** The rates that upstreams have named, and this router's part of each. */
export class UpstreamRates {
  readonly #options: UpstreamRatesOptions;
  readonly #statements = new Map<string, Statement>();
  readonly #allowances = new Map<string, Allowance>();

  constructor(options: UpstreamRatesOptions) {
    this.#options = options;
  }

  /**
   * Records what an answer states, whose head has just arrived. Returns whether
   * that is a change.
   */
  recordStatement(
    upstream: string,
    { rate, sentAt, now }: { rate: StatedRate; sentAt: number; now: number },
  ): boolean {
    const known = this.#getStatement(upstream, now);
    const at = rate === "none" ? sentAt : now;
    if (rate === "none" && (known?.rate ?? "none") === "none") return false;
    return this.#apply(upstream, { rate, at });
  }

  /** Whether another request may be sent to `upstream`. */
  hasRoom(
    upstream: string,
    options: { routers: RouterNames; now: number },
  ): boolean {
    return this.getWait(upstream, options) <= 0;
  }

  /**
   * Returns the time until another request may be sent, in milliseconds;
   * infinite if other routers use the rate, 0 without a limit.
   */
  getWait(
    upstream: string,
    { routers, now }: { routers: RouterNames; now: number },
  ): number {
    const rate = this.#getRate(upstream, now);
    if (rate === undefined) return 0;
    const allowance = this.#getAllowance(upstream, now);
    if (
      allowance.sharedRate !== rate ||
      now - allowance.sharedAt >= SHARE_LIFETIME_MS
    ) {
      allowance.share = getRateShare(rate, {
        ...this.#options,
        upstream,
        routers: [...routers.keys()],
      });
      allowance.sharedRate = rate;
      allowance.sharedAt = now;
    }
    const { share } = allowance;
    const tokens = addTokens(allowance, now);
    if (tokens >= 1) return 0;
    return share === 0 ? Infinity : (1 - tokens) / share * MS_PER_SECOND;
  }

  /** Returns the rate that an upstream has named; undefined without a limit. */
  find(upstream: string, now: number): number | undefined {
    return this.#getRate(upstream, now);
  }

  /** Records a request that was sent to an upstream, limited or not. */
  recordSent(upstream: string, now: number): void {
    if (this.#getRate(upstream, now) === undefined) return;
    const allowance = this.#getAllowance(upstream, now);
    allowance.tokens = Math.max(0, allowance.tokens - 1);
  }

  /** Number of upstreams that have named a limit. */
  countLimited(now: number): number {
    return [...this.#statements.keys()]
      .filter((upstream) => this.#getRate(upstream, now) !== undefined).length;
  }

  /** Returns the limits in force, and those that ended a short time ago. */
  createReports(now: number): RateReport[] {
    this.prune(now);
    return [...this.#statements]
      .filter(([, { rate, at }]) => rate !== "none" || now - at < ENDED_NEWS_MS)
      .sort(([, one], [, other]) => other.at - one.at)
      .slice(0, MAX_REPORTED_RATES)
      .map(([upstream, { rate, at }]) => ({
        upstream,
        rate,
        ageMs: Math.max(0, Math.round(now - at)),
      }));
  }

  /**
   * Merges what another router knows; reports on upstreams for which `isKnown`
   * is false are ignored.
   */
  receiveReports(
    reports: readonly RateReport[],
    { now, isKnown }: { now: number; isKnown: (upstream: string) => boolean },
  ): void {
    for (const { upstream, rate, ageMs } of reports) {
      if (ageMs > MAX_STATEMENT_AGE_MS || !isKnown(upstream)) continue;
      const known = this.#getStatement(upstream, now);
      const at = now - ageMs;
      const isSame = known?.rate === rate &&
        at - known.at < NEWS_TOLERANCE_MS;
      if (!isSame) this.#apply(upstream, { rate, at });
    }
  }

  /** Drops what an upstream has stated whose process is new. */
  forget(upstream: string): void {
    this.#statements.delete(upstream);
    this.#allowances.delete(upstream);
  }

  /** Drops statements that are too old. */
  prune(now: number): void {
    for (const upstream of [...this.#statements.keys()]) {
      this.#getStatement(upstream, now);
    }
  }

  /** Replaces the statement of an upstream if `statement` is newer. */
  #apply(upstream: string, statement: Statement): boolean {
    const known = this.#statements.get(upstream);
    if (known !== undefined && statement.at < known.at) return false;
    this.#statements.set(upstream, statement);
    if (statement.rate === "none") this.#allowances.delete(upstream);
    return known?.rate !== statement.rate;
  }

  #getRate(upstream: string, now: number): number | undefined {
    const rate = this.#getStatement(upstream, now)?.rate ?? "none";
    return rate === "none" ? undefined : rate;
  }

  #getStatement(upstream: string, now: number): Statement | undefined {
    const statement = this.#statements.get(upstream);
    if (statement === undefined) return undefined;
    if (now - statement.at <= MAX_STATEMENT_AGE_MS) return statement;
    this.forget(upstream);
    return undefined;
  }

  /** A new allowance is empty: requests were sent until a moment ago. */
  #getAllowance(upstream: string, now: number): Allowance {
    let allowance = this.#allowances.get(upstream);
    if (allowance === undefined) {
      allowance = {
        tokens: 0,
        updatedAt: now,
        share: 0,
        sharedRate: undefined,
        sharedAt: -Infinity,
      };
      this.#allowances.set(upstream, allowance);
    }
    return allowance;
  }
}

/** Adds what has accrued up to `now`; returns the tokens. */
function addTokens(allowance: Allowance, now: number): number {
  const added = (now - allowance.updatedAt) * allowance.share / MS_PER_SECOND;
  allowance.tokens = Math.min(1, allowance.tokens + added);
  allowance.updatedAt = now;
  return allowance.tokens;
}
