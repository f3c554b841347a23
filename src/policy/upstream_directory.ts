/**
 * Knows the upstreams that may get work.
 *
 * An entry that is leaving or gone gets none. While the store is away, leases
 * of upstreams that live may lapse; they are back within a known time of its
 * return. What is missing is therefore used on until then, and is gone after.
 */
import { isDeepStrictEqual } from "node:util";
import type { Instant, UpstreamEntry } from "../routing/types.ts";

/** An upstream as the router knows it. */
export interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** Steady time until which it is cold, in milliseconds. */
  readonly coldUntil: number;
  /** Steady time of its start, as far as it is known, in milliseconds. */
  readonly startedAt: number;
}

interface Known extends KnownUpstream {
  entry: UpstreamEntry;
  coldUntil: number;
  startedAt: number;
  /** Steady time after which a missing entry counts as gone. */
  goneAt: number;
  /** Steady time until which another upstream is taken to be at its address. */
  misdirectedUntil: number;
}

/** Options of a directory. */
export interface UpstreamDirectoryOptions {
  /** Time after the store's return in which entries come back, milliseconds. */
  readonly returnMs?: number;
}

/** Longer than the entry of an upstream that is gone stays, in milliseconds. */
const MISDIRECTED_MS = 5_000;
/** More than a heartbeat's way to the store differs, in milliseconds. */
const COLD_CHANGE_MS = 300;
/** Letter 2 of the users: back within about two seconds. */
const RETURN_MS = 2_000;

/** See the module. */
export class UpstreamDirectory {
  readonly #known = new Map<string, Known>();
  readonly #domainsOut = new Set<string>();
  readonly #returnMs: number;
  #isStoreAway = false;
  #returnedAt = -Infinity;

  constructor({ returnMs = RETURN_MS }: UpstreamDirectoryOptions = {}) {
    this.#returnMs = returnMs;
  }

  /** Notes that the store does not answer. */
  noteStoreAway(): void {
    this.#isStoreAway = true;
  }

  /** Notes that the store has answered. */
  noteStoreAnswered(now: number): void {
    if (!this.#isStoreAway) return;
    this.#isStoreAway = false;
    this.#returnedAt = now;
  }

  /** Steady time at which the store answered again; undefined if never lost. */
  get storeReturnedAt(): number | undefined {
    return this.#returnedAt === -Infinity ? undefined : this.#returnedAt;
  }

  /** Notes that the store answered another router again at `at`. */
  noteStoreReturnedAt(at: number): void {
    this.#returnedAt = Math.max(this.#returnedAt, at);
  }

  /** Whether a written entry says more than that its upstream lives. */
  isChange(entry: UpstreamEntry, { steady: now }: Instant): boolean {
    const known = this.#known.get(entry.id);
    if (known === undefined || known.goneAt !== Infinity) return true;
    const coldLeftMs = Math.max(0, known.coldUntil - now);
    if (entry.coldLeftMs > coldLeftMs + COLD_CHANGE_MS) return true;
    const { coldLeftMs: _, ...rest } = entry;
    const { coldLeftMs: __, ...knownRest } = known.entry;
    return !isDeepStrictEqual(rest, knownRest);
  }

  /** Takes an entry that was written; true if it names a new process. */
  put(entry: UpstreamEntry, { steady: now, wall }: Instant): boolean {
    const known = this.#known.get(entry.id);
    const isNew = known === undefined || known.entry.bornAt !== entry.bornAt;
    const stated = now + entry.coldLeftMs;
    this.#known.set(entry.id, {
      entry,
      startedAt: isNew
        ? now - Math.max(0, wall - (entry.bornAt ?? wall))
        : known.startedAt,
      coldUntil: isNew ? stated : Math.max(stated, known.coldUntil),
      goneAt: Infinity,
      misdirectedUntil: -Infinity,
    });
    return isNew;
  }

  /** Notes that the entry of `id` is no longer in the store. */
  remove(id: string, now: number): void {
    const known = this.#known.get(id);
    if (known === undefined || known.goneAt !== Infinity) return;
    const until = this.#returnedAt + this.#returnMs;
    if (now >= until || known.entry.state === "leaving") {
      this.#known.delete(id);
      return;
    }
    known.goneAt = until;
  }

  /**
   * Notes which entries a complete listing of the store holds; returns those
   * that it lacks.
   */
  retainOnly(ids: ReadonlySet<string>, now: number): string[] {
    const missing = [...this.#known.keys()].filter((id) => !ids.has(id));
    for (const id of missing) this.remove(id, now);
    return missing;
  }

  /** Notes that another upstream answers at the address of `id`. */
  noteMisdirected(id: string, now: number): void {
    const known = this.#known.get(id);
    if (known !== undefined) known.misdirectedUntil = now + MISDIRECTED_MS;
  }

  /** Notes that `id` may have started anew without saying so yet. */
  noteRestarted(id: string, coldUntil: number): void {
    const known = this.#known.get(id);
    if (known === undefined) return;
    known.coldUntil = Math.max(known.coldUntil, coldUntil);
  }

  /** Does the same for every upstream of a failure domain. */
  noteDomainRestarted(failureDomain: string, coldUntil: number): void {
    for (const [id, { entry }] of this.#known) {
      if (entry.failureDomain === failureDomain) {
        this.noteRestarted(id, coldUntil);
      }
    }
  }

  find(id: string): KnownUpstream | undefined {
    return this.#known.get(id);
  }

  takeOut(failureDomain: string): void {
    this.#domainsOut.add(failureDomain);
  }

  bringBack(failureDomain: string): void {
    this.#domainsOut.delete(failureDomain);
  }

  get domainsOut(): ReadonlySet<string> {
    return this.#domainsOut;
  }

  get size(): number {
    return this.#known.size;
  }

  /** Whether a failure domain is in service. */
  isInService(failureDomain: string): boolean {
    return !this.#domainsOut.has(failureDomain);
  }

  /** Whether `id` may get a request now; read again right before a send. */
  isUsable(id: string, now: number): boolean {
    const known = this.#known.get(id);
    return known !== undefined && this.#isUsable(known, now);
  }

  /** All upstreams of `service` that live, whether or not they get work. */
  listLiving(service: string): KnownUpstream[] {
    return [...this.#known.values()]
      .filter(({ entry }) => entry.service === service);
  }

  /** Upstreams of `service` that may get a request now. */
  listUsable(service: string, now: number): KnownUpstream[] {
    const usable: KnownUpstream[] = [];
    for (const known of this.#known.values()) {
      if (known.entry.service !== service) continue;
      if (this.#isUsable(known, now)) usable.push(known);
    }
    return usable;
  }

  #isUsable(known: Known, now: number): boolean {
    if (known.entry.state !== "ready") return false;
    if (now < known.misdirectedUntil || now >= known.goneAt) return false;
    return !this.#domainsOut.has(known.entry.failureDomain);
  }
}
