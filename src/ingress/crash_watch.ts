/**
 * Records which requests were at upstreams when their processes ended, and
 * finds requests to refuse because they crash upstreams.
 */
import type { Log } from "../log.ts";
import {
  CrashQuarantine,
  type QuarantinedSubject,
  type RequestSubjects,
  type SubjectReport,
} from "../policy/crash_quarantine.ts";
import type { Hash } from "../policy/rendezvous.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";
import type { LinkWatch } from "./link_watch.ts";

/** Options of a `CrashWatch`. */
export interface CrashWatchOptions {
  readonly hash: Hash;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
  readonly connections: Pick<UpstreamConnections, "isRefusing">;
  readonly links: Pick<LinkWatch, "check" | "isDown">;
  readonly log: Log;
}

/** A request whose connection to an upstream broke. */
export interface LostRequest {
  readonly requestId: string;
  readonly subjects: RequestSubjects;
  readonly entry: UpstreamEntry;
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentAt: number;
}

/** The quarantine, with log lines for what it learns. */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #quarantine: CrashQuarantine;
  #quarantined = new Set<string>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
    this.#quarantine = new CrashQuarantine({
      random: Math.random,
      ...options,
    });
  }

  /** Number of prompt parts and requests that are quarantined. */
  get quarantinedCount(): number {
    return this.#quarantined.size;
  }

  /** Returns what a request is refused for; undefined if nothing. */
  find(subjects: RequestSubjects): QuarantinedSubject | undefined {
    return this.#quarantine.find(subjects, this.#options.clock());
  }

  /**
   * Finds out whether the upstream's process has ended, and records that
   * against the request. An upstream that only closed a connection
   * still accepts others, and one that refuses them has not ended if the others
   * of its service refuse them as well.
   */
  async recordLost(
    { requestId, subjects, entry, sentAt }: LostRequest,
  ): Promise<boolean> {
    const { connections, clock, links, log } = this.#options;
    const now = clock();
    if (links.isDown(entry.service)) return false;
    if (!await connections.isRefusing(entry.address)) return false;
    await links.check(entry.service, entry.id);
    if (links.isDown(entry.service)) return false;
    const upstream = `${entry.id}@${entry.bornAt ?? ""}`;
    this.#quarantine.recordCrash(subjects, { upstream, sentAt, now });
    log.info("An upstream ended under a request.", {
      upstream: entry.id,
      requestId,
      digest: subjects.getDigest(),
      sentMs: Math.round(now - sentAt),
    });
    this.#logChanges();
    return true;
  }

  /** Records that an upstream has answered a request. */
  recordAnswer(subjects: RequestSubjects): void {
    if (this.#quarantine.size === 0) return;
    this.#quarantine.recordAnswer(subjects, this.#options.clock());
    this.#logChanges();
  }

  /** Returns what other routers may not know. */
  createReports(): SubjectReport[] {
    const reports = this.#quarantine.createReports(this.#options.clock());
    this.#logChanges();
    return reports;
  }

  /** Merges what another router knows. */
  receiveReports(reports: readonly SubjectReport[]): void {
    if (reports.length === 0) return;
    this.#quarantine.receiveReports(reports, this.#options.clock());
    this.#logChanges();
  }

  /** Logs which subjects have been quarantined or released. */
  #logChanges(): void {
    const { log } = this.#options;
    const { quarantined } = this.#quarantine;
    if (quarantined.size === 0 && this.#quarantined.size === 0) return;
    for (const part of quarantined) {
      if (this.#quarantined.has(part)) continue;
      log.warn("A prompt part or request crashes upstreams.", { part });
    }
    for (const part of this.#quarantined) {
      if (quarantined.has(part)) continue;
      log.info("Something no longer counts as crashing upstreams.", { part });
    }
    this.#quarantined = new Set(quarantined);
  }
}
