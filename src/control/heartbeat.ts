/**
 * Encoding of the heartbeats between routers: the notification `hb` with the
 * parameters `[incarnation, sentAt, version, routersVersion, routersInForceMs,
 * isLeaving, isReply, loans, returns]`.
 *
 * `loans` lists the pools whose rank the sender lends to the receiver, and
 * `returns` the pools whose loans the sender has returned. An array takes half
 * the bytes of an object with property names.
 */
import type { Offer, ProcessTimestamp } from "../policy/loans.ts";
import type { ConfigurationStatus } from "./configuration_controller.ts";

/** A loan that the sender of a heartbeat grants in one pool. */
export interface PoolOffer {
  readonly pool: string;
  readonly offer: Offer;
}

/** Loans of one pool that the sender of a heartbeat has returned. */
export interface PoolReturn {
  readonly pool: string;
  readonly stamp: ProcessTimestamp;
}

/** A received heartbeat. */
export interface Heartbeat {
  readonly peer: string;
  /** Incarnation of the peer and its monotonic time at the send. */
  readonly sentAt: ProcessTimestamp;
  /** Version and age of the peer's configuration. */
  readonly configurationStatus: ConfigurationStatus;
  readonly isLeaving: boolean;
  /** Whether this is the reply to a heartbeat; replies get no reply. */
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

/** A returned pool and the sender's monotonic time of the return. */
type WireReturn = readonly [pool: string, at: number];

/** A loan with the stamp of the heartbeat that it replies to. */
type WireLoan = readonly [pool: string, incarnation: string, at: number];

/** Maximum of `routersInForceMs` on the wire; JSON can't represent Infinity. */
const MAX_IN_FORCE_MS = 1_000_000_000;

/** Rounds down, so that a loan never ends later than its stamp allows. */
function roundStamp(at: number): number {
  return Math.floor(at);
}

/** Decodes the parameters of a heartbeat; returns undefined if malformed. */
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
    configurationStatus: {
      version,
      routersVersion,
      routersInForceMs: inForceMs,
    },
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

/** Encodes the parameters of a heartbeat. */
export function renderHeartbeat(
  heartbeat: Omit<Heartbeat, "peer">,
): readonly unknown[] {
  const { sentAt, configurationStatus } = heartbeat;
  const params: WireHeartbeat = [
    sentAt.incarnation,
    roundStamp(sentAt.at),
    configurationStatus.version,
    configurationStatus.routersVersion,
    Math.min(MAX_IN_FORCE_MS, Math.floor(configurationStatus.routersInForceMs)),
    heartbeat.isLeaving ? 1 : 0,
    heartbeat.isReply ? 1 : 0,
    toWireLoans(heartbeat.offers),
    heartbeat.returns.map(({ pool, stamp }) => [pool, stamp.at] as const),
  ];
  return params;
}
