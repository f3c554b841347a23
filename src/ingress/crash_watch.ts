/**
 * Records which prompt parts were at upstreams when their processes ended, and
 * refuses requests with a part that crashes upstreams.
 */
import type { Log } from "../log.ts";
import {
  type PartReport,
  PromptQuarantine,
  type QuarantinedPart,
} from "../policy/prompt_quarantine.ts";
import type { Hash } from "../policy/rendezvous.ts";
import type { PromptPart, UpstreamEntry } from "../routing/types.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";

/** Options of a `CrashWatch`. */
export interface CrashWatchOptions {
  readonly hash: Hash;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
  readonly connections: Pick<UpstreamConnections, "isRefusing">;
  readonly log: Log;
}

/** A request whose connection to an upstream broke. */
export interface LostRequest {
  readonly requestId: string;
  /** Identifies the same request when it comes again. */
  readonly digest: string;
  readonly entry: UpstreamEntry;
  readonly parts: readonly PromptPart[];
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentAt: number;
}

function listIds(parts: readonly PromptPart[]): string[] {
  return parts.map(({ id }) => id);
}

/** The quarantine of prompt parts, with log lines for what it learns. */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #quarantine: PromptQuarantine;
  #quarantined = new Set<string>();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
    this.#quarantine = new PromptQuarantine({
      random: Math.random,
      ...options,
    });
  }

  /** Number of prompt parts that are quarantined. */
  get quarantinedCount(): number {
    return this.#quarantined.size;
  }

  /** Returns a part for which a request is refused; undefined if none. */
  find(parts: readonly PromptPart[]): QuarantinedPart | undefined {
    return this.#quarantine.find(listIds(parts), this.#options.clock());
  }

  /**
   * Finds out whether the upstream's process has ended, and records that
   * against the parts of the request. An upstream that only closed a connection
   * still accepts others.
   */
  async recordLost(
    { requestId, digest, entry, parts, sentAt }: LostRequest,
  ): Promise<boolean> {
    const { connections, clock, log } = this.#options;
    const now = clock();
    if (!await connections.isRefusing(entry.address)) return false;
    const upstream = `${entry.id}@${entry.bornAt ?? ""}`;
    this.#quarantine.recordCrash(listIds(parts), { upstream, sentAt, now });
    log.info("An upstream ended under a request.", {
      upstream: entry.id,
      requestId,
      digest,
      sentMs: Math.round(now - sentAt),
    });
    this.#logChanges();
    return true;
  }

  /** Records that an upstream has answered a request with these parts. */
  recordAnswer(parts: readonly PromptPart[]): void {
    if (this.#quarantine.size === 0) return;
    this.#quarantine.recordAnswer(listIds(parts), this.#options.clock());
    this.#logChanges();
  }

  /** Returns what other routers may not know. */
  createReports(): PartReport[] {
    const reports = this.#quarantine.createReports(this.#options.clock());
    this.#logChanges();
    return reports;
  }

  /** Merges what another router knows. */
  receiveReports(reports: readonly PartReport[]): void {
    if (reports.length === 0) return;
    this.#quarantine.receiveReports(reports, this.#options.clock());
    this.#logChanges();
  }

  /** Logs which parts have been quarantined or released. */
  #logChanges(): void {
    const { log } = this.#options;
    if (this.#quarantine.size === 0 && this.#quarantined.size === 0) return;
    const quarantined = new Set(this.#quarantine.listQuarantined());
    for (const part of quarantined) {
      if (this.#quarantined.has(part)) continue;
      log.warn("A prompt part crashes upstreams.", { part });
    }
    for (const part of this.#quarantined) {
      if (quarantined.has(part)) continue;
      log.info("A prompt part no longer counts as crashing upstreams.", {
        part,
      });
    }
    this.#quarantined = quarantined;
  }
}
