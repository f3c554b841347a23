/**
 * Heartbeats between routers: the notification `hb` with the parameters
 * `[incarnation, sentAt, version, routersVersion, routersInForceMs, isLeaving,
 * isReply, loans, returns]`.
 *
 * `loans` lists the pools whose rank the sender lends to the receiver, `returns`
 * those whose loans it has given up. An array takes half the bytes that an
 * object with names would.
 */
import type { Offer, Stamp } from "../policy/loans.ts";
import type { PeerWord } from "./configuration_controller.ts";

/** A loan that the sender of a heartbeat makes in one pool. */
export interface PoolOffer {
  readonly pool: string;
  readonly offer: Offer;
}

/** Loans of one pool that the sender of a heartbeat has given up. */
export interface PoolReturn {
  readonly pool: string;
  readonly stamp: Stamp;
}

/** A heartbeat as it arrived. */
export interface Heartbeat {
  readonly peer: string;
  /** Process of the peer, and its monotonic time when it was sent. */
  readonly sentAt: Stamp;
  readonly word: PeerWord;
  readonly isLeaving: boolean;
  /** Whether it answers a heartbeat; a reply is not answered. */
  readonly isReply: boolean;
  readonly offers: readonly PoolOffer[];
  readonly returns: readonly PoolReturn[];
}

type WireHeartbeat = [
  incarnation: string,
  sentAt: number,
  version: number,
  routersVersion: number,
  routersInForceMs: number,
  isLeaving: 0 | 1,
  isReply: 0 | 1,
  loans: readonly WireLoan[],
  returns: readonly WireReturn[],
];

/** A pool whose loans the sender gave up, and when on its clock. */
type WireReturn = readonly [pool: string, at: number];

/** A loan with the stamp of the heartbeat that it answers. */
type WireLoan = readonly [pool: string, incarnation: string, at: number];

/** Longest time in force that a heartbeat names. */
const MAX_IN_FORCE_MS = 1_000_000_000;

/** Rounds down, so that a loan never ends later than its stamp allows. */
function roundStamp(at: number): number {
  return Math.floor(at);
}

/** Reads the parameters of a heartbeat; undefined where malformed. */
export function parseHeartbeat(
  peer: string,
  params: unknown,
): Heartbeat | undefined {
  if (!Array.isArray(params) || params.length < 9) return undefined;
  const [
    incarnation,
    at,
    version,
    routersVersion,
    inForceMs,
    leaving,
    reply,
    loans,
    returns,
  ] = params as unknown as WireHeartbeat;
  const numbers = [at, version, routersVersion, inForceMs];
  if (!numbers.every(Number.isFinite)) return undefined;
  if (
    typeof incarnation !== "string" || !Array.isArray(loans) ||
    !Array.isArray(returns)
  ) {
    return undefined;
  }
  return {
    peer,
    sentAt: { incarnation, at },
    word: { version, routersVersion, routersInForceMs: inForceMs },
    isLeaving: leaving === 1,
    isReply: reply === 1,
    offers: loans.map(toOffer),
    returns: returns.map(([pool, at]) => ({
      pool,
      stamp: { incarnation, at },
    })),
  };
}

function toOffer([pool, incarnation, at]: WireLoan): PoolOffer {
  return { pool, offer: { echo: { incarnation, at }, lends: true } };
}

function toWireLoans(offers: readonly PoolOffer[]): WireLoan[] {
  return offers.flatMap(({ pool, offer: { echo } }) =>
    echo === undefined ? [] : [[pool, echo.incarnation, echo.at] as const]
  );
}

/** Renders the parameters of a heartbeat. */
export function renderHeartbeat(
  heartbeat: Omit<Heartbeat, "peer">,
): readonly unknown[] {
  const { sentAt, word } = heartbeat;
  const params: WireHeartbeat = [
    sentAt.incarnation,
    roundStamp(sentAt.at),
    word.version,
    word.routersVersion,
    Math.min(MAX_IN_FORCE_MS, Math.floor(word.routersInForceMs)),
    heartbeat.isLeaving ? 1 : 0,
    heartbeat.isReply ? 1 : 0,
    toWireLoans(heartbeat.offers),
    heartbeat.returns.map(({ pool, stamp }) => [pool, stamp.at] as const),
  ];
  return params;
}
