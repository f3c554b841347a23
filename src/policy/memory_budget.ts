/**
 * Bounds the memory that a router holds for others: bodies, answers and events
 * that have not been passed on, and parsed header and trailer fields. Each
 * message has a limit of its own; this is the limit of all together. Fields lie
 * on V8's heap, which is smaller than the memory of the process and has a limit
 * of its own.
 *
 * Pattern of load: many senders at once that each stay below the limit of one
 * message, such as an upstream whose answers or header fields never end, or
 * callers that send all but the end of their bodies.
 */

/** What is held. */
export type HoldingKind =
  /** The body of a request, for as long as the request may be sent again. */
  | "request-body"
  /** An answer or an event that is not complete. */
  | "answer"
  /** What a caller has not read yet. */
  | "unread-answer"
  /** Header and trailer fields of a response, as they lie on the heap. */
  | "response-fields"
  /** Header fields of a request, as they lie on the heap. */
  | "request-fields";

/**
 * Why a holding is given up: its source takes so much that it counts as faulty,
 * or the sum is reached.
 */
export type EvictionReason = "source-share" | "sum";

/** A holding that was given up. */
export interface Eviction {
  readonly kind: HoldingKind;
  readonly source: string;
  /** Bytes that it held. */
  readonly bytes: number;
  readonly reason: EvictionReason;
}

/** Options of a holding. */
export interface HoldingOptions {
  readonly kind: HoldingKind;
  /**
   * Who sends it, among those of this kind: the id of an upstream or a router, a
   * workspace, or a caller's address.
   */
  readonly source: string;
  /** Size that the sender has announced, in bytes; undefined if it has not. */
  readonly expectedBytes?: number | undefined;
  /**
   * Called when the holding is given up in favor of others. It is closed by
   * then; its owner must drop the data.
   */
  readonly onEvict: (eviction: Eviction) => void;
}

/** Memory that is held for one message. */
export interface Holding {
  /** Bytes that are held, as they lie in memory. */
  readonly bytes: number;
  /**
   * Sets the bytes that are held. Other holdings, or this one, may be given up
   * to stay within the limit; returns false if this one was.
   */
  resize(bytes: number): boolean;
  /** Records that the message is complete, so that it is given up last. */
  complete(): void;
  /**
   * Records that the message is dropped but its memory is in use until `close`,
   * which no longer can be given up.
   */
  end(): void;
  /** Ends the holding; further calls have no effect. */
  close(): void;
}

/** Options of a budget. */
export interface MemoryBudgetOptions {
  /** Limit of all holdings together, in bytes. */
  readonly limitBytes: number;
  /** Limit of those that lie on the heap, in bytes; without one by default. */
  readonly heapLimitBytes?: number;
  /** Called with each holding that is given up, before its owner. */
  readonly onEvict?: (eviction: Eviction) => void;
}

/**
 * Messages that take less are not counted by their owners, which spares most
 * messages the holding: they lie in the buffer that they were read into.
 */
export const MIN_HOLDING_BYTES = 16_384;

/** Share of the limit above which an upstream's answers are given up first. */
const MAX_SOURCE_SHARE = 0.25;
/**
 * Share of the limit above which that is held against the upstream: several
 * answers of the largest size may take less.
 */
const EXCESS_SOURCE_SHARE = 0.5;
/**
 * Share of the limit of bodies above which a workspace's bodies are given up
 * before others.
 */
const MAX_BODY_SOURCE_SHARE = 0.5;
/**
 * Share of the limit that the bodies of requests may take together. The rest is
 * for the answers to them: a body that is complete is kept until then.
 */
const MAX_BODY_SHARE = 0.75;

/** Kinds of holdings that lie on the heap. */
const HEAP_KINDS: ReadonlySet<HoldingKind> = new Set([
  "response-fields",
  "request-fields",
]);

class BudgetHolding implements Holding {
  readonly options: HoldingOptions;
  readonly #budget: MemoryBudget;
  bytes = 0;
  readonly isOnHeap: boolean;
  isComplete = false;
  /** Whether it was ended or given up; its bytes count until it is closed. */
  isEnded = false;
  isClosed = false;

  constructor(budget: MemoryBudget, options: HoldingOptions) {
    this.#budget = budget;
    this.options = options;
    this.isOnHeap = HEAP_KINDS.has(options.kind);
  }

  /** Share of the message that is there; 0 if its size is unknown. */
  get progress(): number {
    const { expectedBytes } = this.options;
    return expectedBytes === undefined ? 0 : this.bytes / expectedBytes;
  }

  resize(bytes: number): boolean {
    if (this.isEnded) return false;
    this.#budget.resize(this, bytes);
    return !this.isEnded;
  }

  complete(): void {
    this.isComplete = true;
  }

  end(): void {
    this.#budget.end(this);
  }

  close(): void {
    this.#budget.close(this);
  }
}

/** The memory that is held for all messages. */
export class MemoryBudget {
  /** Limit of all holdings together, in bytes; may change. */
  limitBytes: number;
  readonly #heapLimitBytes: number;
  readonly #holdings = new Set<BudgetHolding>();
  readonly #bytesBySource = new Map<string, number>();
  /** Bytes of the holdings that have not ended. */
  #heldBytes = 0;
  #bodyBytes = 0;
  #heapBytes = 0;
  /** Bytes of holdings that have ended and are not closed. */
  #endedBytes = 0;
  #endedHeapBytes = 0;
  /** Called in this order once the heap is no longer full. */
  readonly #heapWaiters = new Set<() => void>();
  readonly #onEvict: (eviction: Eviction) => void;
  #evictions = 0;

  constructor(
    { limitBytes, heapLimitBytes = Infinity, onEvict = () => {} }:
      MemoryBudgetOptions,
  ) {
    this.limitBytes = limitBytes;
    this.#heapLimitBytes = heapLimitBytes;
    this.#onEvict = onEvict;
  }

  /** Bytes of all holdings. */
  get heldBytes(): number {
    return this.#heldBytes + this.#endedBytes;
  }

  /**
   * Whether holdings on the heap that have ended must be closed before more may
   * be put there.
   */
  get isHeapFull(): boolean {
    return this.#heapBytes + this.#endedHeapBytes > this.#heapLimitBytes;
  }

  /** Calls `listener` once when the heap is no longer full. */
  onceHeapHasRoom(listener: () => void): void {
    this.#heapWaiters.add(listener);
  }

  /** Number of holdings that were given up. */
  get evictions(): number {
    return this.#evictions;
  }

  /** Begins a holding of 0 bytes. */
  open(options: HoldingOptions): Holding {
    const holding = new BudgetHolding(this, options);
    this.#holdings.add(holding);
    return holding;
  }

  /**
   * Whether the body of a request of `bytes` from `source` fits without giving up
   * others but those of a source that takes more than its share. One that does not
   * fit is refused before it is read.
   */
  hasRoomForBody(bytes: number, source: string): boolean {
    const hasRoom = this.#heldBytes + bytes <= this.limitBytes &&
      this.#bodyBytes + bytes <= this.#maxBodyBytes;
    if (hasRoom) return true;
    let answers = 0;
    let bodies = 0;
    for (const each of this.#holdings) {
      const { kind, source: ofEach } = each.options;
      if (each.isComplete || !this.#isGreedy(each)) continue;
      if (kind === "answer") answers += each.bytes;
      if (kind === "request-body" && ofEach !== source) bodies += each.bytes;
    }
    return this.#heldBytes - answers - bodies + bytes <= this.limitBytes &&
      this.#bodyBytes - bodies + bytes <= this.#maxBodyBytes;
  }

  get #maxBodyBytes(): number {
    return this.limitBytes * MAX_BODY_SHARE;
  }

  /** Called by a holding. */
  resize(holding: BudgetHolding, bytes: number): void {
    this.#add(holding, bytes - holding.bytes);
    while (this.#isExceeded) {
      const victim = this.#findVictim() ?? holding;
      this.#evict(victim);
      if (holding.isEnded) return;
    }
    this.#callHeapWaiters();
  }

  get #isExceeded(): boolean {
    return this.#heldBytes > this.limitBytes ||
      this.#bodyBytes > this.#maxBodyBytes || this.#isHeapExceeded;
  }

  get #isHeapExceeded(): boolean {
    return this.#heapBytes > this.#heapLimitBytes;
  }

  #evict(victim: BudgetHolding): void {
    const { kind, source, onEvict } = victim.options;
    const eviction: Eviction = {
      kind,
      source,
      bytes: victim.bytes,
      reason: this.#isExcess(victim) ? "source-share" : "sum",
    };
    // The owner closes it when the parser has let go of the fields.
    if (victim.isOnHeap) this.end(victim);
    else this.close(victim);
    this.#evictions++;
    this.#onEvict(eviction);
    onEvict(eviction);
  }

  /** Called by a holding. */
  end(holding: BudgetHolding): void {
    if (holding.isEnded) return;
    const { bytes } = holding;
    holding.isEnded = true;
    this.#add(holding, -bytes);
    this.#holdings.delete(holding);
    holding.bytes = bytes;
    this.#addEnded(holding, bytes);
  }

  /** Called by a holding. */
  close(holding: BudgetHolding): void {
    if (holding.isClosed) return;
    this.end(holding);
    holding.isClosed = true;
    this.#addEnded(holding, -holding.bytes);
    holding.bytes = 0;
    this.#callHeapWaiters();
  }

  #addEnded({ isOnHeap }: BudgetHolding, bytes: number): void {
    this.#endedBytes += bytes;
    if (isOnHeap) this.#endedHeapBytes += bytes;
  }

  #callHeapWaiters(): void {
    for (const listener of this.#heapWaiters) {
      if (this.isHeapFull) return;
      this.#heapWaiters.delete(listener);
      listener();
    }
  }

  #add(holding: BudgetHolding, bytes: number): void {
    holding.bytes += bytes;
    this.#heldBytes += bytes;
    if (holding.isOnHeap) this.#heapBytes += bytes;
    if (holding.options.kind === "request-body") this.#bodyBytes += bytes;
    const source = getSourceKey(holding);
    const ofSource = this.#getSourceBytes(holding) + bytes;
    if (ofSource > 0) this.#bytesBySource.set(source, ofSource);
    else this.#bytesBySource.delete(source);
  }

  /**
   * Chooses what is given up: answers and fields of a source that takes more than
   * its share, then bodies of a workspace that does, then requests that have just
   * begun to arrive, which have not run, then answers and fields of the source
   * that holds most, and what callers don't read. Messages that are complete are
   * kept.
   */
  #findVictim(): BudgetHolding | undefined {
    let victim: BudgetHolding | undefined;
    for (const each of this.#holdings) {
      if (each.isComplete || each.bytes === 0) continue;
      if (!this.#givesRoom(each)) continue;
      if (victim === undefined || this.#goesBefore(each, victim)) victim = each;
    }
    return victim;
  }

  /** Whether giving up `holding` helps to meet the limit that is exceeded. */
  #givesRoom({ isOnHeap, options: { kind } }: BudgetHolding): boolean {
    if (this.#isHeapExceeded) return isOnHeap;
    // Bodies can exceed their share while there is room for answers.
    return this.#heldBytes > this.limitBytes || kind === "request-body";
  }

  #goesBefore(one: BudgetHolding, other: BudgetHolding): boolean {
    const rank = this.#getRank(one) - this.#getRank(other);
    if (rank !== 0) return rank < 0;
    if (one.options.kind === "request-body") {
      const isGreedy = this.#isGreedy(one);
      if (isGreedy !== this.#isGreedy(other)) return isGreedy;
      return one.progress < other.progress;
    }
    const bytes = this.#getSourceBytes(one) - this.#getSourceBytes(other);
    if (bytes !== 0) return bytes > 0;
    // An answer whose length is known ends.
    if (one.progress !== other.progress) return one.progress < other.progress;
    return one.bytes > other.bytes;
  }

  #getRank(holding: BudgetHolding): number {
    switch (holding.options.kind) {
      case "answer":
      case "response-fields":
      case "request-fields":
        return this.#isGreedy(holding) ? 0 : 2;
      case "request-body":
        return 1;
      case "unread-answer":
        return 3;
    }
  }

  #isExcess(holding: BudgetHolding): boolean {
    const { kind } = holding.options;
    return (kind === "answer" || kind === "response-fields") &&
      this.#getSourceBytes(holding) >
        this.#getLimit(holding) * EXCESS_SOURCE_SHARE;
  }

  #isGreedy(holding: BudgetHolding): boolean {
    const share = holding.options.kind === "request-body"
      ? MAX_BODY_SHARE * MAX_BODY_SOURCE_SHARE
      : MAX_SOURCE_SHARE;
    return this.#getSourceBytes(holding) > this.#getLimit(holding) * share;
  }

  #getLimit({ isOnHeap }: BudgetHolding): number {
    return isOnHeap
      ? Math.min(this.limitBytes, this.#heapLimitBytes)
      : this.limitBytes;
  }

  #getSourceBytes(holding: BudgetHolding): number {
    return this.#bytesBySource.get(getSourceKey(holding)) ?? 0;
  }
}

function getSourceKey({ options }: BudgetHolding): string {
  return `${options.kind} ${options.source}`;
}
