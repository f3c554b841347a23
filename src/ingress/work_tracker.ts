/**
 * Keeps what this router knows of the work of requests, and states it for the
 * choice of an upstream.
 */
import { getSharedParts, SentPrompts } from "../policy/sent_prompts.ts";
import type { ServiceWork } from "../policy/upstream_choice.ts";
import {
  countPromptTokens,
  countTokens,
  WorkEstimate,
  type WorkRequest,
} from "../policy/work_estimate.ts";
import type { RouteKind, UpstreamLoad } from "../routing/types.ts";

/** The properties of a request that its work depends on, and its kind. */
export interface RequestWork extends WorkRequest {
  readonly kind: RouteKind;
}

/** Work of a request at the upstream that was chosen for it. */
export interface PlacedWork {
  /**
   * Estimated work of the request there, in milliseconds at usual pace; undefined
   * before the first responses.
   */
  readonly workMs: number | undefined;
  /** The same before its correction. */
  readonly uncorrectedMs: number | undefined;
  /** What the work depends on. */
  readonly work: RequestWork | undefined;
  /** Prompt tokens to read there; undefined if some may be cached. */
  readonly readTokens: number | undefined;
}

/** Measures of a request that was answered. */
export interface WorkMeasures {
  /** Time since it was sent, in milliseconds. */
  readonly ms: number;
  /** Time until its first event, in milliseconds; undefined without one. */
  readonly firstMs: number | undefined;
  /** Number of its events. */
  readonly events: number;
  /** Load that the upstream stated in the response. */
  readonly load: UpstreamLoad | undefined;
}

/** Estimated and measured work of a request, in milliseconds. */
export interface WorkComparison {
  readonly kind: RouteKind;
  readonly estimatedMs: number;
  readonly measuredMs: number;
}

/** Coefficient of variation above which the work of requests differs. */
const MIN_WORK_VARIATION = 0.5;
/** Time for which a service counts as one with prompts, in milliseconds. */
const PROMPTED_MS = 60_000;

/** Estimates of work, and what they are learned from. */
export class WorkTracker {
  readonly #estimate = new WorkEstimate();
  readonly #sentPrompts = new SentPrompts();
  /** Times of the last request with a prompt, by service. */
  readonly #promptedAt = new Map<string, number>();

  /** Estimates the work of a request at an upstream. */
  place(
    work: RequestWork | undefined,
    { upstream, isHome, isCopied, now }: {
      upstream: string;
      /** Whether the upstream has had the other requests of the session. */
      isHome: boolean;
      /** Whether it copies the shared parts of the prompt. */
      isCopied: boolean;
      now: number;
    },
  ): PlacedWork {
    if (work === undefined) {
      return {
        workMs: undefined,
        uncorrectedMs: undefined,
        work,
        readTokens: undefined,
      };
    }
    const { promptParts: parts } = work;
    const isRead = isHome || isCopied;
    const readTokens = this.#countReadTokens(work, { upstream, isRead, now });
    const sentTokens = this.#sentPrompts.countRead(upstream, { parts, now });
    const isCertain = !isCopied &&
      sentTokens === countTokens(getSharedParts(parts));
    const uncorrectedMs = this.#estimate.estimate(work, { readTokens, now });
    const correction = this.#estimate.getCorrection(work.service, now);
    return {
      workMs: uncorrectedMs && uncorrectedMs * correction,
      uncorrectedMs,
      work,
      readTokens: isCertain ? readTokens : undefined,
    };
  }

  /** Returns the mean work of the requests of a service. */
  getMean(service: string, now: number): number | undefined {
    return this.#estimate.getMean(service, now);
  }

  /** Returns the services whose requests are placed by their work. */
  listServices(now: number): string[] {
    return this.#estimate.listServices(now)
      .filter((service) =>
        this.#promptedAt.has(service) || this.#isUnequal(service, now)
      );
  }

  /**
   * Returns the work of the service of a request; undefined if the request is to
   * be placed by counts. `home` is the upstream that has had the session of a
   * request with a prompt.
   */
  describe(
    work: RequestWork | undefined,
    { hasRanking, home, now }: {
      hasRanking: boolean;
      home: string | undefined;
      now: number;
    },
  ): Omit<ServiceWork, "sumAhead"> | undefined {
    if (work === undefined) return undefined;
    const { service } = work;
    if (hasRanking) this.#promptedAt.set(service, now);
    const meanRequest = this.#estimate.getMean(service, now);
    const isUnequal = this.#isUnequal(service, now);
    if (meanRequest === undefined || meanRequest === 0) return undefined;
    const tokenMs = this.#estimate.getReadMs(service, { tokens: 1, now });
    if (hasRanking ? tokenMs === undefined : !isUnequal) return undefined;
    const getReadMs = (upstream: string) => {
      const isRead = upstream === home;
      const tokens = this.#countReadTokens(work, { upstream, isRead, now });
      return tokens * (tokenMs ?? 0);
    };
    return { meanRequest, isUnequal, getReadMs };
  }

  /** Records that a request was sent to `upstream`. */
  recordSent(
    upstream: string,
    { work, workMs, now }: Pick<PlacedWork, "work" | "workMs"> & {
      now: number;
    },
  ): void {
    if (work === undefined) return;
    const { service, promptParts: parts } = work;
    if (workMs !== undefined) {
      this.#estimate.recordSent(service, { workMs, now });
    }
    this.#sentPrompts.recordSent(upstream, { parts, now });
  }

  /**
   * Learns from a request that was answered at an upstream of `pace`. Returns its
   * estimated and measured work; undefined without an estimate, or if the request
   * may have waited in a queue, which is no work.
   */
  recordAnswered(
    { work, workMs, uncorrectedMs: estimatedMs, readTokens }: PlacedWork,
    { pace, now, ...measures }: WorkMeasures & { pace: number; now: number },
  ): WorkComparison | undefined {
    const isQueued = measures.load !== undefined && measures.load.waiting > 0;
    if (work === undefined || isQueued) return undefined;
    const { ms } = measures;
    const answer = { ...measures, pace, readTokens, estimatedMs };
    this.#estimate.recordAnswer(work, answer, now);
    return workMs === undefined
      ? undefined
      : { kind: work.kind, estimatedMs: workMs, measuredMs: ms / pace };
  }

  /** Drops what was sent to an upstream whose process is new. */
  forget(upstream: string): void {
    this.#sentPrompts.forget(upstream);
  }

  /** Drops outdated records. */
  prune(now: number): void {
    this.#estimate.prune(now);
    this.#sentPrompts.prune(now);
    for (const [service, at] of this.#promptedAt) {
      if (now - at > PROMPTED_MS) this.#promptedAt.delete(service);
    }
  }

  #isUnequal(service: string, now: number): boolean {
    return this.#estimate.getVariation(service, now) > MIN_WORK_VARIATION;
  }

  #countReadTokens(
    work: RequestWork,
    { upstream, isRead, now }: {
      upstream: string;
      isRead: boolean;
      now: number;
    },
  ): number {
    const { promptParts: parts } = work;
    const cached = isRead
      ? countTokens(getSharedParts(parts))
      : this.#sentPrompts.countRead(upstream, { parts, now });
    return Math.max(0, countPromptTokens(work) - cached);
  }
}
