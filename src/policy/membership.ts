/**
 * Liveness of peers from their heartbeats, and the owner that follows from it.
 *
 * Routers may disagree about liveness; the bound on an upstream's load does not
 * rest on it (see `capacity_shares.ts`).
 */

/** Options of a membership. */
export interface MembershipOptions {
  /** Name of this router. */
  readonly self: string;
  /** Silence after which a peer counts as dead, in milliseconds. */
  readonly livenessMs?: number;
  /** Time for which a returning peer is heard before it counts as live. */
  readonly stableMs?: number;
}

/** Options of `heard` and `leaving`. */
export interface SenderOptions {
  /** Incarnation of the peer that sent the message, where known. */
  readonly incarnation?: string;
}

const DEFAULT_LIVENESS_MS = 3_000;
const DEFAULT_STABLE_MS = 5_000;

interface Peer {
  incarnation: string | undefined;
  heardAt: number;
  /** When the peer counts as live, if it is still heard by then. */
  liveFrom: number;
  leaving: boolean;
}

/** The routers that this one has heard from. */
export interface Membership {
  /** Notes a message from `peer`. */
  heard(peer: string, now: number, options?: SenderOptions): void;
  /**
   * Notes that `peer`, or this router itself, has begun a graceful stop. Only
   * a new incarnation or a silence past the liveness limit undoes it.
   */
  leaving(peer: string, options?: SenderOptions): void;
  /** Notes that the process of `peer` is gone; it is live once heard again. */
  lost(peer: string): void;
  /** Whether `peer` is heard, stable and not leaving. */
  isLive(peer: string, now: number): boolean;
  /** The first live router of `replicas`, if any. */
  ownerOf(replicas: readonly string[], now: number): string | undefined;
}

/** Creates a membership that has heard nobody. */
export function createMembership(options: MembershipOptions): Membership {
  return new HeartbeatMembership(options);
}

class HeartbeatMembership implements Membership {
  readonly #self: string;
  readonly #livenessMs: number;
  readonly #stableMs: number;
  readonly #peers = new Map<string, Peer>();
  #selfLeaving = false;

  constructor({ self, livenessMs, stableMs }: MembershipOptions) {
    this.#self = self;
    this.#livenessMs = livenessMs ?? DEFAULT_LIVENESS_MS;
    this.#stableMs = stableMs ?? DEFAULT_STABLE_MS;
  }

  heard(name: string, now: number, { incarnation }: SenderOptions = {}): void {
    const peer = this.#peers.get(name);
    // The first message of all is no return: a router that has just started
    // takes its peers as live at once.
    if (peer === undefined) {
      this.#peers.set(name, {
        incarnation,
        heardAt: now,
        liveFrom: now,
        leaving: false,
      });
      return;
    }
    const wasSilent = now - peer.heardAt > this.#livenessMs;
    const restarted = incarnation !== undefined &&
      incarnation !== peer.incarnation;
    if (wasSilent || (restarted && peer.incarnation !== undefined)) {
      peer.liveFrom = now + this.#stableMs;
      peer.leaving = false;
    }
    peer.incarnation = incarnation ?? peer.incarnation;
    peer.heardAt = now;
  }

  leaving(name: string, { incarnation }: SenderOptions = {}): void {
    if (name === this.#self) {
      this.#selfLeaving = true;
      return;
    }
    const peer = this.#peers.get(name);
    if (peer === undefined) return;
    // A late word of a former incarnation says nothing of the present one.
    if (incarnation !== undefined && incarnation !== peer.incarnation) return;
    peer.leaving = true;
  }

  lost(name: string): void {
    const peer = this.#peers.get(name);
    if (peer !== undefined) peer.heardAt = -Infinity;
  }

  isLive(name: string, now: number): boolean {
    if (name === this.#self) return !this.#selfLeaving;
    const peer = this.#peers.get(name);
    if (peer === undefined || peer.leaving) return false;
    return now - peer.heardAt <= this.#livenessMs && now >= peer.liveFrom;
  }

  ownerOf(replicas: readonly string[], now: number): string | undefined {
    return replicas.find((name) => this.isLive(name, now));
  }
}
