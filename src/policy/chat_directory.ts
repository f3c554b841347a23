/**
 * Directory of the upstream that last served each chat. Maps a chat hash to the
 * upstream, the time of last use and the length of the cached prompt prefix.
 *
 * A slot takes 20 bytes in typed arrays. The table uses open addressing with
 * linear probing and a load factor of at most three quarters, so a chat takes
 * under 64 bytes including free slots: 27 in a full table, 54 right after the
 * table has doubled. A JavaScript `Map` of objects takes several times that and
 * gives the garbage collector one object per chat to trace.
 *
 * At capacity, the oldest of a few adjacent slots is evicted. Slots are in hash
 * order, so adjacent slots are a random sample and no LRU list is needed.
 */
import * as Debug from "../debug.ts";

/** A 64-bit hash of a chat id as two unsigned 32-bit halves. */
export interface ChatHash {
  readonly hi: number;
  readonly lo: number;
}

/** The directory entry of a chat. */
export interface ChatEntry {
  /** Index of the upstream, assigned by the caller. */
  readonly upstream: number;
  /** Prompt tokens that the upstream had cached after the last request. */
  readonly tokens: number;
  /** Time of the last use in seconds. */
  readonly usedAt: number;
}

/** Options of `createChatDirectory`. */
export interface ChatDirectoryOptions {
  /** Maximum number of chats. */
  capacity?: number;
}

const DEFAULT_CAPACITY = 1_000_000;
const MIN_SLOTS = 64;
const MAX_LOAD_FACTOR = 0.75;
const EVICTION_SAMPLE_SLOTS = 16;
const MAX_UPSTREAMS = 65_535;
const EPOCH_COUNT = 65_536;
const HASH_MULTIPLIER = 0x9E3779B1;
/** Value of `owner` in a free slot. */
const FREE = 0;

function createColumns(slots: number) {
  return {
    slots,
    hi: new Uint32Array(slots),
    lo: new Uint32Array(slots),
    usedAt: new Uint32Array(slots),
    tokens: new Uint32Array(slots),
    /** Index of the upstream plus one. */
    owner: new Uint16Array(slots),
    /** Epoch of the upstream when the slot was written. */
    epoch: new Uint16Array(slots),
  };
}

type Columns = ReturnType<typeof createColumns>;

function getIdealSlot(hi: number, lo: number, slots: number): number {
  const mixed = Math.imul(lo ^ (hi >>> 7), HASH_MULTIPLIER) ^ hi;
  return (mixed ^ (mixed >>> 15)) & (slots - 1);
}

function copySlot(from: Columns, source: number, to: Columns, target: number) {
  to.hi[target] = from.hi[source]!;
  to.lo[target] = from.lo[source]!;
  to.usedAt[target] = from.usedAt[source]!;
  to.tokens[target] = from.tokens[source]!;
  to.owner[target] = from.owner[source]!;
  to.epoch[target] = from.epoch[source]!;
}

/** Finds the slot of a hash, or the free slot where it belongs. */
function findSlot({ slots, hi, lo, owner }: Columns, hash: ChatHash): number {
  const high = hash.hi >>> 0;
  const low = hash.lo >>> 0;
  let slot = getIdealSlot(high, low, slots);
  while (owner[slot] !== FREE && (hi[slot] !== high || lo[slot] !== low)) {
    slot = (slot + 1) & (slots - 1);
  }
  return slot;
}

/** Maps chats to the upstream that served them last. */
export class ChatDirectory {
  readonly #capacity: number;
  #columns = createColumns(MIN_SLOTS);
  /** Number of occupied slots, live or stale. */
  #taken = 0;
  #live = 0;
  #evictionCursor = 0;
  /** Current epoch of each upstream; slots of older epochs are stale. */
  readonly #epochs = new Map<number, number>();
  readonly #counts = new Map<number, number>();

  constructor(capacity: number) {
    this.#capacity = Math.max(1, capacity);
  }

  /** Number of live chats. */
  get size(): number {
    return this.#live;
  }

  /** Size of the table in bytes, including free slots. */
  get bytes(): number {
    const { slots, ...arrays } = this.#columns;
    return Object.values(arrays)
      .reduce((sum, array) => sum + array.BYTES_PER_ELEMENT * slots, 0);
  }

  /** Looks up a chat without updating its time of last use. */
  get(hash: ChatHash): ChatEntry | undefined {
    const slot = findSlot(this.#columns, hash);
    if (!this.#isLive(slot)) return undefined;
    const { owner, tokens, usedAt } = this.#columns;
    return {
      upstream: owner[slot]! - 1,
      tokens: tokens[slot]!,
      usedAt: usedAt[slot]!,
    };
  }

  /** Records that a chat was served; replaces its previous entry. */
  set(hash: ChatHash, { upstream, tokens, usedAt }: ChatEntry): void {
    Debug.assert(
      upstream >= 0 && upstream < MAX_UPSTREAMS,
      "directory-upstream",
      () => `upstream index ${upstream} is out of range`,
    );
    let slot = findSlot(this.#columns, hash);
    if (this.#columns.owner[slot] === FREE) {
      if (this.#ensureCapacity()) slot = findSlot(this.#columns, hash);
      this.#taken++;
    } else {
      this.#uncount(slot);
    }
    const columns = this.#columns;
    columns.hi[slot] = hash.hi;
    columns.lo[slot] = hash.lo;
    columns.usedAt[slot] = Math.max(0, Math.floor(usedAt));
    columns.tokens[slot] = Math.max(0, Math.floor(tokens));
    columns.owner[slot] = upstream + 1;
    columns.epoch[slot] = this.#epochs.get(upstream) ?? 0;
    this.#count(upstream, 1);
  }

  /** Iterates over all live chats, in no particular order. */
  *entries(): Generator<readonly [ChatHash, ChatEntry]> {
    const { slots, hi, lo } = this.#columns;
    for (let slot = 0; slot < slots; slot++) {
      if (!this.#isLive(slot)) continue;
      const hash = { hi: hi[slot]!, lo: lo[slot]! };
      yield [hash, this.get(hash)!];
    }
  }

  /** Removes a chat; returns whether it was in the directory. */
  deleteChat(hash: ChatHash): boolean {
    const slot = findSlot(this.#columns, hash);
    const isKnown = this.#isLive(slot);
    if (this.#columns.owner[slot] !== FREE) this.#free(slot);
    return isKnown;
  }

  /**
   * Removes every chat of an upstream, for example when a new incarnation has
   * lost the cache. Normally takes constant time: the slots become stale and
   * are reclaimed later.
   */
  deleteUpstreamChats(upstream: number): void {
    this.#live -= this.#counts.get(upstream) ?? 0;
    this.#counts.delete(upstream);
    const epoch = ((this.#epochs.get(upstream) ?? 0) + 1) % EPOCH_COUNT;
    // Slots written in an earlier use of the epoch number would be live again.
    if (epoch === 0) this.#rebuild(this.#columns.slots);
    this.#epochs.set(upstream, epoch);
  }

  #isLive(slot: number): boolean {
    const owner = this.#columns.owner[slot]!;
    if (owner === FREE) return false;
    return this.#columns.epoch[slot] === (this.#epochs.get(owner - 1) ?? 0);
  }

  #count(upstream: number, change: number): void {
    this.#live += change;
    this.#counts.set(upstream, (this.#counts.get(upstream) ?? 0) + change);
  }

  #uncount(slot: number): void {
    if (this.#isLive(slot)) this.#count(this.#columns.owner[slot]! - 1, -1);
  }

  /** Frees a slot and shifts later slots back, so no tombstone is needed. */
  #free(slot: number): void {
    this.#uncount(slot);
    this.#taken--;
    const columns = this.#columns;
    const mask = columns.slots - 1;
    let hole = slot;
    let next = (slot + 1) & mask;
    while (columns.owner[next] !== FREE) {
      const ideal = getIdealSlot(
        columns.hi[next]!,
        columns.lo[next]!,
        columns.slots,
      );
      if (((next - ideal) & mask) >= ((next - hole) & mask)) {
        copySlot(columns, next, columns, hole);
        hole = next;
      }
      next = (next + 1) & mask;
    }
    columns.owner[hole] = FREE;
  }

  /** Ensures space for one more chat; returns whether slots were moved. */
  #ensureCapacity(): boolean {
    const { slots } = this.#columns;
    if (this.#taken >= this.#capacity) {
      this.#evict();
      return true;
    }
    if (this.#taken + 1 <= slots * MAX_LOAD_FACTOR) return false;
    const isCrowded = this.#live > slots * MAX_LOAD_FACTOR / 2;
    this.#rebuild(isCrowded ? slots * 2 : slots);
    return true;
  }

  /** Frees the oldest of the next few occupied slots, preferring stale ones. */
  #evict(): void {
    const { slots, owner, usedAt } = this.#columns;
    let victim = -1;
    let oldest = Infinity;
    let seen = 0;
    for (let step = 0; step < slots && seen < EVICTION_SAMPLE_SLOTS; step++) {
      const slot = (this.#evictionCursor + step) & (slots - 1);
      if (owner[slot] === FREE) continue;
      seen++;
      const age = this.#isLive(slot) ? usedAt[slot]! : -1;
      if (age < oldest) [oldest, victim] = [age, slot];
    }
    this.#evictionCursor = (this.#evictionCursor + EVICTION_SAMPLE_SLOTS) &
      (slots - 1);
    this.#free(victim);
  }

  /** Copies the live slots into a new table of `slots` slots. */
  #rebuild(slots: number): void {
    const old = this.#columns;
    const next = createColumns(slots);
    let taken = 0;
    for (let slot = 0; slot < old.slots; slot++) {
      if (!this.#isLive(slot)) continue;
      const hash = { hi: old.hi[slot]!, lo: old.lo[slot]! };
      copySlot(old, slot, next, findSlot(next, hash));
      taken++;
    }
    this.#columns = next;
    this.#taken = taken;
  }
}

/** Creates an empty chat directory. */
export function createChatDirectory(
  { capacity = DEFAULT_CAPACITY }: ChatDirectoryOptions = {},
): ChatDirectory {
  return new ChatDirectory(capacity);
}
