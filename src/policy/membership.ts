/**
 * Tracks the liveness of peers by their heartbeats and determines the owner of
 * a pool from it.
 *
 * Routers may disagree about liveness. The limit of an upstream's load doesn't
 * depend on it (see `capacity_shares.ts`).
 */

/** Options of a membership. Times are in milliseconds. */
export interface MembershipOptions {
  /** Name of this router. */
  readonly self: string;
  /** Time without a message after which a peer counts as dead. */
  readonly livenessMs?: number;
  /** Time for which a returning peer must send messages to count as live. */
  readonly stableMs?: number;
}

/** Options of `recordMessage` and `recordLeaving`. */
export interface SenderOptions {
  /** Incarnation of the peer that sent the message, if known. */
  readonly incarnation?: string;
}

const DEFAULT_LIVENESS_MS = 3_000;
const DEFAULT_STABLE_MS = 5_000;

interface Peer {
  incarnation: string | undefined;
  lastMessageAt: number;
  /** From when on the peer counts as live, if it still sends messages then. */
  liveFrom: number;
  leaving: boolean;
}

/**
 * The routers from which this router has received messages. `now` is in
 * milliseconds on this process's monotonic clock.
 */
export interface Membership {
  /** Records a message from `peer`. */
  recordMessage(peer: string, now: number, options?: SenderOptions): void;
  /**
   * Records that `peer`, or this router itself, has started a graceful stop.
   * For a peer, this lasts until it sends a message as a new incarnation or
   * after a silence longer than `livenessMs`.
   */
  recordLeaving(peer: string, options?: SenderOptions): void;
  /**
   * Records that the process of `peer` has ended. The peer is live again once
   * it has sent messages for `stableMs`.
   */
  recordProcessExit(peer: string): void;
  /** Whether `peer` sends messages, is stable and has not begun to stop. */
  isLive(peer: string, now: number): boolean;
  /** Returns the first live router of `replicas`, if any. */
  findOwner(replicas: readonly string[], now: number): string | undefined;
}

/** Creates a membership without peers. */
export function createMembership(options: MembershipOptions): Membership {
  return new HeartbeatMembership(options);
}

class HeartbeatMembership implements Membership {
  readonly #self: string;
  readonly #livenessMs: number;
  readonly #stableMs: number;
  readonly #peers = new Map<string, Peer>();
  #isSelfLeaving = false;

  constructor({ self, livenessMs, stableMs }: MembershipOptions) {
    this.#self = self;
    this.#livenessMs = livenessMs ?? DEFAULT_LIVENESS_MS;
    this.#stableMs = stableMs ?? DEFAULT_STABLE_MS;
  }

  recordMessage(
    name: string,
    now: number,
    { incarnation }: SenderOptions = {},
  ): void {
    const peer = this.#peers.get(name);
    // The first message of a peer is not a return: a router that has just
    // started counts its peers as live at once.
    if (peer === undefined) {
      this.#peers.set(name, {
        incarnation,
        lastMessageAt: now,
        liveFrom: now,
        leaving: false,
      });
      return;
    }
    const wasSilent = now - peer.lastMessageAt > this.#livenessMs;
    const isRestarted = incarnation !== undefined &&
      incarnation !== peer.incarnation;
    if (wasSilent || (isRestarted && peer.incarnation !== undefined)) {
      peer.liveFrom = now + this.#stableMs;
      peer.leaving = false;
    }
    peer.incarnation = incarnation ?? peer.incarnation;
    peer.lastMessageAt = now;
  }

  recordLeaving(name: string, { incarnation }: SenderOptions = {}): void {
    if (name === this.#self) {
      this.#isSelfLeaving = true;
      return;
    }
    const peer = this.#peers.get(name);
    if (peer === undefined) return;
    // A delayed message of a previous incarnation doesn't apply to this one.
    if (incarnation !== undefined && incarnation !== peer.incarnation) return;
    peer.leaving = true;
  }

  recordProcessExit(name: string): void {
    const peer = this.#peers.get(name);
    if (peer !== undefined) peer.lastMessageAt = -Infinity;
  }

  isLive(name: string, now: number): boolean {
    if (name === this.#self) return !this.#isSelfLeaving;
    const peer = this.#peers.get(name);
    if (peer === undefined || peer.leaving) return false;
    return now - peer.lastMessageAt <= this.#livenessMs && now >= peer.liveFrom;
  }

  findOwner(replicas: readonly string[], now: number): string | undefined {
    return replicas.find((name) => this.isLive(name, now));
  }
}
