/**
 * Applies the rollout of a service to the choice of upstreams, and records how
 * the tries end.
 */
import type { RolloutController } from "../control/rollout_controller.ts";
import type { LinkWatch } from "./link_watch.ts";
import type {
  Placement,
  PlacementFailure,
  PlacementRequest,
  PlacementResult,
} from "./placement.ts";
import type { TryOutcome } from "./try_outcome.ts";

/** Options of a `RolloutWatch`. */
export interface RolloutWatchOptions {
  readonly rollouts: Pick<
    RolloutController,
    "getVersionRule" | "recordSent" | "recordTry"
  >;
  readonly placement: Pick<Placement, "find">;
  readonly links: Pick<LinkWatch, "isDown">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
}

/** A try in flight. */
export interface WatchedTry {
  /** Records how the try ended, after `eventCount` events of a stream. */
  recordEnd(outcome: TryOutcome, eventCount: number): void;
}

/**
 * Says what the end of a try tells of the software of its upstream; undefined if
 * it tells nothing: the request has not run, or others have ended it.
 */
function judgeEnd(outcome: TryOutcome): "answered" | "failed" | undefined {
  switch (outcome.kind) {
    case "answered":
    case "stream-complete":
      return "answered";
    case "timed-out":
      return "failed";
    case "ended": {
      const { end, isGivenUp, isUnclear } = outcome;
      const isOfOthers = isGivenUp === true || isUnclear === true;
      const hasFailed = end === "failed" || end === "no-answer";
      return hasFailed && !isOfOthers ? "failed" : undefined;
    }
    default:
      return undefined;
  }
}

/** Places requests by the rules of rollouts, and counts their tries. */
export class RolloutWatch {
  readonly #options: RolloutWatchOptions;

  constructor(options: RolloutWatchOptions) {
    this.#options = options;
  }

  /** Chooses an upstream that the rollout of the service allows. */
  find(
    request: PlacementRequest,
    route: string,
  ): PlacementResult | PlacementFailure {
    const { rollouts, placement } = this.#options;
    const { service: { name }, softwareVersion: boundVersion } = request;
    const versions = rollouts.getVersionRule(name, { route, boundVersion });
    if (versions.kind === "any") return placement.find(request);
    const place = placement.find({ ...request, versions });
    if (versions.kind !== "canary" || "entry" in place) return place;
    return placement.find({
      ...request,
      versions: rollouts.getVersionRule(name, {
        route,
        boundVersion,
        mayUseCredit: false,
      }),
    });
  }

  /**
   * Records that a try is sent. `isFirst` tells whether it is the first one of
   * its request at any router.
   */
  recordSent(
    { entry }: PlacementResult,
    options: { readonly route: string; readonly isFirst: boolean },
  ): WatchedTry {
    const { rollouts, links, clock } = this.#options;
    const sentAt = clock();
    const sent = rollouts.recordSent(entry, options);
    return {
      recordEnd: (outcome, eventCount) => {
        // Without links, nothing says that the upstream is not sound.
        const end = links.isDown(entry.service) ? undefined : judgeEnd(outcome);
        const durationMs = (clock() - sentAt) / Math.max(1, eventCount);
        rollouts.recordTry(sent, { end, durationMs });
      },
    };
  }
}
