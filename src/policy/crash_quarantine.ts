/**
 * Finds requests and prompt parts that crash the upstreams that begin to run
 * them, and decides which requests to refuse for it.
 *
 * Load patterns: requests with one part in their prompts crash each upstream
 * that begins to answer them; or one request does, which comes again with the
 * same target, workspace and body, while others with its prompt parts are
 * sound. Each router sees a few of them and would send each to an upstream that
 * still runs, until none does. Requests that were lost at the same upstreams,
 * and sound requests that share parts with the crashing ones, have to go on.
 *
 * A crash is evidence against every subject of the requests that it ended: the
 * parts that others share, and the whole request. An answer clears the subjects
 * of its request, since an upstream survived them. Both are exchanged between
 * the routers, with ages in place of times, because clocks differ. A subject is
 * quarantined once several upstreams have ended under it since the last answer,
 * unless other subjects explain these crashes. For the requests of a workspace,
 * another workspace explains crashes that all had requests of it, so that no
 * caller can get a part refused that others use.
 */
import type { Hash } from "./rendezvous.ts";

/** What of a request the end of an upstream is held against. */
export interface RequestSubjects {
  /** Name of the caller's workspace; empty on routes without keys. */
  readonly workspace: string;
  /** Ids of the prompt's parts in order; the last belongs to the request. */
  readonly parts: readonly string[];
  /** Returns what identifies the whole request; see `createRequestDigest`. */
  readonly getDigest: () => string;
}

/** The end of an upstream's process while it had a request with a subject. */
export interface SubjectCrash {
  /** Identifies the process of the upstream. */
  readonly upstream: string;
  /** Hashes of the names of the workspaces whose requests had the subject. */
  readonly workspaces?: readonly string[];
  /** Time since the request was sent, in milliseconds. */
  readonly sentAgeMs: number;
  /** Time since the process ended, in milliseconds. */
  readonly ageMs: number;
}

/** What a router knows of one subject, as it tells other routers. */
export interface SubjectReport {
  /** Key of the subject, which may also be a whole request. */
  readonly part: string;
  /** Crashes since the last answer. */
  readonly crashes: readonly SubjectCrash[];
  /** Time since the last answer, in milliseconds; absent if there is none. */
  readonly clearedAgeMs?: number;
}

/** Options of a `CrashQuarantine`. */
export interface CrashQuarantineOptions {
  readonly hash: Hash;
  /** Returns a uniform value in [0, 1). */
  readonly random: () => number;
}

/** Why a request is refused. */
export interface QuarantinedSubject {
  readonly kind: "part" | "request";
  /** Id of the part as the request states it, or digest of the request. */
  readonly id: string;
  /** Number of upstreams that have ended under it. */
  readonly crashes: number;
  /** Time until the subject is tried again, in milliseconds. */
  readonly remainingMs: number;
}

interface Crash {
  readonly upstream: string;
  readonly workspaces: readonly string[];
  /** Times in milliseconds of this router's monotonic clock. */
  readonly sentAt: number;
  readonly at: number;
}

interface Subject {
  readonly kind: QuarantinedSubject["kind"];
  readonly id: string;
  /** Identifies it in the records and for other routers. */
  readonly key: string;
}

interface SubjectRecord {
  readonly crashes: readonly Crash[];
  readonly clearedAt: number;
  /** Time at which something was learned that other routers may not know. */
  readonly changedAt: number;
  /** Time of the last report that contained it. */
  reportedAt: number;
}

/** Limits of a report, which bound what other routers can make this one keep. */
export const MAX_REPORTED_SUBJECTS = 32;
/** Crashes of a subject that are kept, the latest ones. */
export const MAX_SUBJECT_CRASHES = 8;
/** Workspaces of a crash that are kept. */
export const MAX_CRASH_WORKSPACES = 4;

/** Places in a report that news can't take from quarantined subjects. */
const MIN_REPORTED_QUARANTINED = 8;
/** Upstreams that have to end under a subject before it is quarantined. */
const MIN_CRASHES = 3;
/**
 * Crashes of which each request was sent after the crash before. Upstreams that
 * are lost together end under subjects that have nothing to do with it.
 */
const MIN_SUCCESSIVE_CRASHES = 2;
/** Share of a subject's crashes that others have to share to explain them. */
const EXPLAINED_SHARE = 2 / 3;
/** Parts of one request that are considered. */
const MAX_REQUEST_PARTS = 32;
/** Subjects that are remembered. */
const MAX_RECORDS = 1_024;
/** Distinguishes the keys of requests from those of parts. */
const REQUEST_KEY_PREFIX = "r:";
/** Time for which a crash without quarantine is remembered, in milliseconds. */
const EVIDENCE_MS = 60_000;
/** Time for which an answer is remembered; longer than a report takes. */
const CLEARED_MS = 5_000;
/** Time for which news is repeated to other routers; messages can be lost. */
const NEWS_MS = 2_000;
/** Difference below which two reported times are the same, in milliseconds. */
const TIME_TOLERANCE_MS = 1_000;
/**
 * Time for which a subject is refused after the least number of crashes, in
 * milliseconds; several times that in which an upstream starts again. Doubles
 * with each further crash. A whole request is held for longer: no sound request
 * is refused for it unless it is the same.
 */
const MIN_HOLD_MS: Readonly<Record<Subject["kind"], number>> = {
  part: 30_000,
  request: 120_000,
};
/** Longest such time. */
const MAX_HOLD_MS = 1_800_000;
/**
 * Ages above this are reported as this, in milliseconds. Crashes of a subject
 * that is tried now and then can be hours old.
 */
export const MAX_REPORTED_AGE_MS = 3_600_000;
/**
 * Share of the requests that are sent after that time, so that about one
 * reaches an upstream before the other routers know how it ended.
 */
const TRIAL_SHARE = 0.1;

/** Crashes and answers of the subjects that are under suspicion. */
export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  readonly #records = new Map<string, SubjectRecord>();
  /** Keys of the subjects that enough upstreams have ended under. */
  readonly #quarantined = new Set<string>();

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  /** Number of subjects that are remembered. */
  get size(): number {
    return this.#records.size;
  }

  /** Keys of the subjects that enough upstreams have ended under. */
  get quarantined(): ReadonlySet<string> {
    return this.#quarantined;
  }

  /** Records that a process ended while it had a request. */
  recordCrash(
    request: RequestSubjects,
    { upstream, sentAt, now }: {
      upstream: string;
      sentAt: number;
      now: number;
    },
  ): void {
    const crash = {
      upstream: this.#hashText(upstream),
      workspaces: [this.#hashText(request.workspace)],
      sentAt,
      at: now,
    };
    for (const { key } of this.#listSubjects(request)) {
      this.#addCrashes(key, { crashes: [crash], now });
    }
  }

  /** Records that an upstream has answered a request. */
  recordAnswer(request: RequestSubjects, now: number): void {
    if (this.#records.size === 0) return;
    for (const { key } of this.#listSubjects(request)) {
      if (this.#records.has(key)) this.#clear(key, { at: now, now });
    }
  }

  /** Returns a subject for which the request is refused; undefined if none. */
  find(request: RequestSubjects, now: number): QuarantinedSubject | undefined {
    if (this.#quarantined.size === 0) return undefined;
    const subjects = this.#listSubjects(request);
    const own = new Set(subjects.map(({ key }) => key));
    const workspace = this.#hashText(request.workspace);
    for (const { kind, id, key } of subjects) {
      if (!this.#quarantined.has(key)) continue;
      if (this.#isExplained(key, { own, workspace })) continue;
      const { crashes } = this.#records.get(key)!;
      const remainingMs = getHoldEnd(key, crashes) - now;
      const isTrial = remainingMs <= 0 &&
        this.#options.random() < TRIAL_SHARE;
      if (isTrial) continue;
      return {
        kind,
        id,
        crashes: crashes.length,
        remainingMs: Math.max(0, remainingMs),
      };
    }
    return undefined;
  }

  /**
   * Returns what other routers may not know: news, and the quarantined
   * subjects, which a router that starts has to learn. If there is more than
   * one report holds, the next ones continue.
   */
  createReports(now: number): SubjectReport[] {
    this.#prune(now);
    const news: [string, SubjectRecord][] = [];
    const others: [string, SubjectRecord][] = [];
    for (const each of this.#records) {
      if (now - each[1].changedAt < NEWS_MS) news.push(each);
      else if (this.#quarantined.has(each[0])) others.push(each);
    }
    news.sort(([, one], [, other]) => compareNews(one, other));
    others.sort(([, one], [, other]) => one.reportedAt - other.reportedAt);
    const reservedCount = Math.min(others.length, MIN_REPORTED_QUARANTINED);
    const reported = [
      ...news.slice(0, MAX_REPORTED_SUBJECTS - reservedCount),
      ...others,
    ].slice(0, MAX_REPORTED_SUBJECTS);
    return reported.map(([part, record]) => {
      record.reportedAt = now;
      const { crashes, clearedAt } = record;
      return {
        part,
        crashes: crashes.map(({ upstream, workspaces, sentAt, at }) => ({
          upstream,
          workspaces,
          sentAgeMs: getReportedAge(sentAt, now),
          ageMs: getReportedAge(at, now),
        })),
        ...(Number.isFinite(clearedAt) && {
          clearedAgeMs: getReportedAge(clearedAt, now),
        }),
      };
    });
  }

  /** Merges what another router knows. */
  receiveReports(reports: readonly SubjectReport[], now: number): void {
    for (const { part, crashes, clearedAgeMs } of reports) {
      if (clearedAgeMs !== undefined && clearedAgeMs < CLEARED_MS) {
        this.#clear(part, { at: now - clearedAgeMs, now });
      }
      const received = crashes.map((crash) => ({
        upstream: crash.upstream,
        workspaces: crash.workspaces ?? [],
        sentAt: now - crash.sentAgeMs,
        at: now - crash.ageMs,
      }));
      this.#addCrashes(part, { crashes: received, now });
    }
  }

  /**
   * Whether the crashes of a request's subject `key` have another explanation.
   * Those of a part: another part that shares most of them, another workspace
   * or another request that was in all of them. Those of a whole request: other
   * requests only, since parts that many share are at every upstream.
   */
  #isExplained(
    key: string,
    { own, workspace }: { own: ReadonlySet<string>; workspace: string },
  ): boolean {
    const { crashes } = this.#records.get(key)!;
    const others = [...this.#quarantined].filter((other) => !own.has(other))
      .map((other) => ({
        isRequest: isRequestKey(other),
        crashes: this.#records.get(other)!.crashes,
      }));
    if (isRequestKey(key)) {
      // Two requests with the same crashes would clear each other.
      return others.some((other) =>
        other.isRequest && other.crashes.length > crashes.length &&
        getSharedPart(crashes, other.crashes) >= EXPLAINED_SHARE
      );
    }
    return isOfOtherWorkspace(crashes, workspace) ||
      others.some((other) =>
        getSharedPart(crashes, other.crashes) >=
          (other.isRequest ? 1 : EXPLAINED_SHARE)
      );
  }

  #addCrashes(
    key: string,
    { crashes, now }: { crashes: readonly Crash[]; now: number },
  ): void {
    const record = this.#records.get(key);
    const known = record?.crashes ?? [];
    const clearedAt = record?.clearedAt ?? -Infinity;
    const merged = new Map(known.map((crash) => [crash.upstream, crash]));
    for (const crash of crashes) {
      if (crash.at <= clearedAt) continue;
      const same = merged.get(crash.upstream);
      merged.set(
        crash.upstream,
        same === undefined ? crash : addWorkspaces(same, crash),
      );
    }
    const isSame = merged.size === known.length &&
      known.every((crash) => merged.get(crash.upstream) === crash);
    if (isSame) return;
    const latest = [...merged.values()]
      .sort((one, other) => one.at - other.at)
      .slice(-MAX_SUBJECT_CRASHES);
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

  #set(key: string, record: Omit<SubjectRecord, "reportedAt">): void {
    const known = this.#records.get(key);
    if (known === undefined && this.#records.size >= MAX_RECORDS) {
      this.#dropLeastUrgent();
    }
    const { reportedAt = -Infinity } = known ?? {};
    this.#records.set(key, { ...record, reportedAt });
    if (isConvincing(record.crashes)) this.#quarantined.add(key);
    else this.#quarantined.delete(key);
  }

  #delete(key: string): void {
    this.#records.delete(key);
    this.#quarantined.delete(key);
  }

  #dropLeastUrgent(): void {
    let least: [string, SubjectRecord] | undefined;
    for (const each of this.#records) {
      const isLess = least === undefined ||
        compareUrgency(each[1], least[1]) > 0;
      if (isLess) least = each;
    }
    this.#delete(least![0]);
  }

  #prune(now: number): void {
    for (const [key, record] of this.#records) {
      if (now > getExpiry(key, record)) this.#delete(key);
    }
  }

  /** Returns the request itself, and the parts that others may share. */
  #listSubjects({ parts, getDigest }: RequestSubjects): Subject[] {
    const digest = getDigest();
    const shared = new Set(parts.slice(0, -1).slice(0, MAX_REQUEST_PARTS));
    return [
      { kind: "request", id: digest, key: REQUEST_KEY_PREFIX + digest },
      ...[...shared].map((id) => ({
        kind: "part" as const,
        id,
        key: this.#hashText(id),
      })),
    ];
  }

  /** Callers choose the ids, so that their length has no bound. */
  #hashText(text: string): string {
    const { hash } = this.#options;
    return [text, `\u0000${text}`]
      .map((each) => hash(each).toString(16).padStart(8, "0")).join("");
  }
}

function isRequestKey(key: string): boolean {
  return key.startsWith(REQUEST_KEY_PREFIX);
}

/** Returns which part of `crashes` is also in `others`, from 0 to 1. */
function getSharedPart(
  crashes: readonly Crash[],
  others: readonly Crash[],
): number {
  const upstreams = new Set(others.map(({ upstream }) => upstream));
  const shared = crashes.filter(({ upstream }) => upstreams.has(upstream));
  return shared.length / crashes.length;
}

/** Whether all of `crashes` had requests of one other workspace. */
function isOfOtherWorkspace(
  crashes: readonly Crash[],
  workspace: string,
): boolean {
  const [first, ...rest] = crashes;
  return first!.workspaces.some((other) =>
    other !== workspace &&
    rest.every(({ workspaces }) => workspaces.includes(other))
  );
}

/** Returns `crash` with the workspaces of another report of it added. */
function addWorkspaces(crash: Crash, { workspaces }: Crash): Crash {
  const room = MAX_CRASH_WORKSPACES - crash.workspaces.length;
  const added = workspaces.filter((each) => !crash.workspaces.includes(each))
    .slice(0, room);
  if (added.length === 0) return crash;
  return { ...crash, workspaces: [...crash.workspaces, ...added] };
}

function isConvincing(crashes: readonly Crash[]): boolean {
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

function getReportedAge(at: number, now: number): number {
  return Math.min(MAX_REPORTED_AGE_MS, Math.round(now - at));
}

function getLatest(crashes: readonly Crash[]): number {
  return crashes.at(-1)?.at ?? -Infinity;
}

/** Time until which a quarantined subject is refused. */
function getHoldEnd(key: string, crashes: readonly Crash[]): number {
  const doublings = crashes.length - MIN_CRASHES;
  const minHoldMs = MIN_HOLD_MS[isRequestKey(key) ? "request" : "part"];
  return getLatest(crashes) +
    Math.min(MAX_HOLD_MS, minHoldMs * 2 ** doublings);
}

function getExpiry(
  key: string,
  { crashes, clearedAt }: SubjectRecord,
): number {
  if (isConvincing(crashes)) return getHoldEnd(key, crashes) + EVIDENCE_MS;
  return Math.max(
    getLatest(crashes) + EVIDENCE_MS,
    clearedAt + CLEARED_MS,
  );
}

/** Sorts the records with most crashes first, then those changed last. */
function compareUrgency(one: SubjectRecord, other: SubjectRecord): number {
  const difference = other.crashes.length - one.crashes.length;
  return difference !== 0 ? difference : other.changedAt - one.changedAt;
}

/** Sorts what was not reported yet first, then the most urgent. */
function compareNews(one: SubjectRecord, other: SubjectRecord): number {
  const isOneReported = one.reportedAt >= one.changedAt;
  const isOtherReported = other.reportedAt >= other.changedAt;
  if (isOneReported !== isOtherReported) return isOneReported ? 1 : -1;
  return compareUrgency(one, other);
}
