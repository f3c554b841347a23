/**
 * Finds prompt parts that crash the upstreams that answer them, and decides
 * which requests to refuse for it.
 *
 * Load pattern: requests with one part in their prompts crash each upstream
 * that begins to answer them. Each router sees a few of them and would send
 * each to an upstream that still runs, until none does. Requests that were lost
 * at the same upstreams, and sound requests that share other parts with the
 * crashing ones, have to go on.
 *
 * A crash is evidence against every part of the requests that it ended. An
 * answer clears the parts of its request, since an upstream survived them. Both
 * are exchanged between the routers, with ages in place of times, because
 * clocks differ. A part is quarantined once several upstreams have ended under
 * it since the last answer, unless another part explains these crashes.
 */
import type { Hash } from "./rendezvous.ts";

/** The end of an upstream's process while it had a request with a part. */
export interface PartCrash {
  /** Identifies the process of the upstream. */
  readonly upstream: string;
  /** Time since the request was sent, in milliseconds. */
  readonly sentAgeMs: number;
  /** Time since the process ended, in milliseconds. */
  readonly ageMs: number;
}

/** What a router knows of one prompt part, as it tells other routers. */
export interface PartReport {
  /** Identifies the part; see `PromptQuarantine`. */
  readonly part: string;
  /** Crashes since the last answer. */
  readonly crashes: readonly PartCrash[];
  /** Time since the last answer, in milliseconds; absent if there is none. */
  readonly clearedAgeMs?: number;
}

/** Options of a `PromptQuarantine`. */
export interface PromptQuarantineOptions {
  readonly hash: Hash;
  /** Returns a uniform value in [0, 1). */
  readonly random: () => number;
}

/** Why a request is refused. */
export interface QuarantinedPart {
  /** Id of the part, as the request states it. */
  readonly id: string;
  /** Number of upstreams that have ended under it. */
  readonly crashes: number;
  /** Time until the part is tried again, in milliseconds. */
  readonly remainingMs: number;
}

interface Crash {
  readonly upstream: string;
  /** Times in milliseconds of this router's monotonic clock. */
  readonly sentAt: number;
  readonly at: number;
}

interface PartRecord {
  crashes: readonly Crash[];
  clearedAt: number;
  /** Time at which something was learned that other routers may not know. */
  changedAt: number;
}

/** Limits of a report, which bound what other routers can make this one keep. */
export const MAX_REPORTED_PARTS = 32;
/** Crashes of a part that are kept, the latest ones. */
export const MAX_PART_CRASHES = 8;

/** Upstreams that have to end under a part before it is quarantined. */
const MIN_CRASHES = 3;
/**
 * Crashes of which each request was sent after the crash before. Upstreams that
 * are lost together end under parts that have nothing to do with it.
 */
const MIN_SUCCESSIVE_CRASHES = 2;
/** Share of a part's crashes that another part has to share to explain them. */
const EXPLAINED_SHARE = 2 / 3;
/** Parts of one request that are considered. */
const MAX_REQUEST_PARTS = 32;
/** Parts that are remembered. */
const MAX_RECORDS = 512;
/** Time for which a crash without quarantine is remembered, in milliseconds. */
const EVIDENCE_MS = 60_000;
/** Time for which an answer is remembered; longer than a report takes. */
const CLEARED_MS = 5_000;
/** Time for which news is repeated to other routers; messages can be lost. */
const NEWS_MS = 2_000;
/** Difference below which two reported times are the same, in milliseconds. */
const TIME_TOLERANCE_MS = 1_000;
/**
 * Time for which a part is refused after the least number of crashes, in
 * milliseconds; several times that in which an upstream starts again. Doubles
 * with each further crash.
 */
const MIN_HOLD_MS = 30_000;
/**
 * Share of the requests that are sent after that time, so that about one
 * reaches an upstream before the other routers know how it ended.
 */
const TRIAL_SHARE = 0.1;

/** Crashes and answers of the prompt parts that are under suspicion. */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  readonly #records = new Map<string, PartRecord>();

  constructor(options: PromptQuarantineOptions) {
    this.#options = options;
  }

  /** Number of parts that are remembered. */
  get size(): number {
    return this.#records.size;
  }

  /** Records that a process ended while it had a request with `parts`. */
  recordCrash(
    parts: readonly string[],
    { upstream, sentAt, now }: {
      upstream: string;
      sentAt: number;
      now: number;
    },
  ): void {
    const crash = { upstream: this.#hashText(upstream), sentAt, at: now };
    for (const { key } of this.#listKeys(parts)) {
      this.#addCrashes(key, { crashes: [crash], now });
    }
  }

  /** Records that an upstream has answered a request with `parts`. */
  recordAnswer(parts: readonly string[], now: number): void {
    if (this.#records.size === 0) return;
    for (const { key } of this.#listKeys(parts)) {
      if (this.#records.has(key)) this.#clear(key, { at: now, now });
    }
  }

  /** Returns a part for which the request is refused; undefined if none. */
  find(parts: readonly string[], now: number): QuarantinedPart | undefined {
    if (this.#records.size === 0) return undefined;
    const keys = this.#listKeys(parts);
    const own = new Set(keys.map(({ key }) => key));
    for (const { id, key } of keys) {
      const record = this.#records.get(key);
      if (record === undefined || !isConvincing(record)) continue;
      if (this.#isExplained(record, own)) continue;
      const remainingMs = getHoldEnd(record) - now;
      const isTrial = remainingMs <= 0 &&
        this.#options.random() < TRIAL_SHARE;
      if (isTrial) continue;
      return {
        id,
        crashes: record.crashes.length,
        remainingMs: Math.max(0, remainingMs),
      };
    }
    return undefined;
  }

  /** Returns the parts that enough upstreams have ended under. */
  listQuarantined(): string[] {
    return [...this.#records]
      .filter(([, record]) => isConvincing(record))
      .map(([key]) => key);
  }

  /**
   * Returns what other routers may not know: news, and the quarantined parts,
   * which a router that starts has to learn.
   */
  createReports(now: number): PartReport[] {
    this.#prune(now);
    return [...this.#records]
      .filter(([, record]) =>
        now - record.changedAt < NEWS_MS || isConvincing(record)
      )
      .sort(([, one], [, other]) => compareUrgency(one, other))
      .slice(0, MAX_REPORTED_PARTS)
      .map(([part, { crashes, clearedAt }]) => ({
        part,
        crashes: crashes.map(({ upstream, sentAt, at }) => ({
          upstream,
          sentAgeMs: Math.round(now - sentAt),
          ageMs: Math.round(now - at),
        })),
        ...(Number.isFinite(clearedAt) && {
          clearedAgeMs: Math.round(now - clearedAt),
        }),
      }));
  }

  /** Merges what another router knows. */
  receiveReports(reports: readonly PartReport[], now: number): void {
    for (const { part, crashes, clearedAgeMs } of reports) {
      if (clearedAgeMs !== undefined && clearedAgeMs < CLEARED_MS) {
        this.#clear(part, { at: now - clearedAgeMs, now });
      }
      const received = crashes.map(({ upstream, sentAgeMs, ageMs }) => ({
        upstream,
        sentAt: now - sentAgeMs,
        at: now - ageMs,
      }));
      this.#addCrashes(part, { crashes: received, now });
    }
  }

  /** Whether a single part that the request lacks explains the crashes. */
  #isExplained(
    { crashes }: PartRecord,
    requestKeys: ReadonlySet<string>,
  ): boolean {
    return [...this.#records].some(([key, other]) => {
      if (requestKeys.has(key) || !isConvincing(other)) return false;
      const upstreams = new Set(other.crashes.map(({ upstream }) => upstream));
      const shared = crashes.filter(({ upstream }) => upstreams.has(upstream));
      return shared.length >= crashes.length * EXPLAINED_SHARE;
    });
  }

  #addCrashes(
    key: string,
    { crashes, now }: { crashes: readonly Crash[]; now: number },
  ): void {
    const record = this.#records.get(key);
    const known = record?.crashes ?? [];
    const clearedAt = record?.clearedAt ?? -Infinity;
    const added = crashes.filter(({ upstream, at }) =>
      at > clearedAt && known.every((each) => each.upstream !== upstream)
    );
    if (added.length === 0) return;
    const latest = [...known, ...added].sort((one, other) => one.at - other.at)
      .slice(-MAX_PART_CRASHES);
    this.#set(key, { crashes: latest, clearedAt, changedAt: now });
  }

  #clear(key: string, { at, now }: { at: number; now: number }): void {
    const record = this.#records.get(key);
    const clearedAt = record?.clearedAt ?? -Infinity;
    const remaining = (record?.crashes ?? []).filter((each) => each.at > at);
    const isNews = at - clearedAt > TIME_TOLERANCE_MS ||
      remaining.length < (record?.crashes.length ?? 0);
    if (!isNews) return;
    this.#set(key, {
      crashes: remaining,
      clearedAt: Math.max(at, clearedAt),
      changedAt: now,
    });
  }

  #set(key: string, record: PartRecord): void {
    if (!this.#records.has(key) && this.#records.size >= MAX_RECORDS) {
      this.#dropLeastUrgent();
    }
    this.#records.set(key, record);
  }

  #dropLeastUrgent(): void {
    const [least] = [...this.#records].sort(([, one], [, other]) =>
      compareUrgency(other, one)
    );
    this.#records.delete(least![0]);
  }

  #prune(now: number): void {
    for (const [key, record] of this.#records) {
      if (now > getExpiry(record)) this.#records.delete(key);
    }
  }

  /** Returns the parts that other requests may share, with their keys. */
  #listKeys(parts: readonly string[]): { id: string; key: string }[] {
    const shared = new Set(parts.slice(0, -1).slice(0, MAX_REQUEST_PARTS));
    return [...shared].map((id) => ({ id, key: this.#hashText(id) }));
  }

  /** Callers choose the ids, so that their length has no bound. */
  #hashText(text: string): string {
    const { hash } = this.#options;
    return [text, `\u0000${text}`]
      .map((each) => hash(each).toString(16).padStart(8, "0")).join("");
  }
}

function isConvincing({ crashes }: PartRecord): boolean {
  return crashes.length >= MIN_CRASHES &&
    countSuccessive(crashes) >= MIN_SUCCESSIVE_CRASHES;
}

/**
 * Counts crashes, in the order of their times, of which each request was sent
 * after the crash before.
 */
function countSuccessive(crashes: readonly Crash[]): number {
  let count = 0;
  let lastAt = -Infinity;
  for (const { sentAt, at } of crashes) {
    if (sentAt < lastAt) continue;
    count++;
    lastAt = at;
  }
  return count;
}

function getLatest({ crashes }: PartRecord): number {
  return crashes.at(-1)?.at ?? -Infinity;
}

/** Time until which the part of a convincing record is refused. */
function getHoldEnd(record: PartRecord): number {
  const doublings = record.crashes.length - MIN_CRASHES;
  return getLatest(record) + MIN_HOLD_MS * 2 ** doublings;
}

function getExpiry(record: PartRecord): number {
  if (isConvincing(record)) return getHoldEnd(record) + EVIDENCE_MS;
  return Math.max(
    getLatest(record) + EVIDENCE_MS,
    record.clearedAt + CLEARED_MS,
  );
}

/** Sorts the records with most crashes first, then those changed last. */
function compareUrgency(one: PartRecord, other: PartRecord): number {
  const difference = other.crashes.length - one.crashes.length;
  return difference !== 0 ? difference : other.changedAt - one.changedAt;
}
