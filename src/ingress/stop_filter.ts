/**
 * While the router stops, refuses requests that would outlast the process.
 */
import type { AnswerDurations } from "../policy/answer_durations.ts";
import { isRepeatable } from "../policy/attempt_plan.ts";
import { getCoveredShare, mayServeWhileStopping } from "../policy/stop_plan.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseRetryable } from "./refusals.ts";

/** Progress of a graceful stop of this router. */
export interface StopProgress {
  /** Time since the router was asked to stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Time until the process ends, in milliseconds. */
  readonly lifetimeMs: number;
}

/** Options of the filter. */
export interface StopFilterOptions {
  /** Returns the progress of the stop; undefined while the router runs. */
  readonly getStop: () => StopProgress | undefined;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Receives how long the answers take. */
  readonly durations: AnswerDurations;
}

/**
 * Refuses requests at a router that stops; must follow the filter that reads the
 * body, which may take a while.
 */
export class StopFilter implements IngressFilter {
  readonly name = "stop";
  readonly #options: StopFilterOptions;

  constructor(options: StopFilterOptions) {
    this.#options = options;
  }

  async handle(
    exchange: IngressExchange,
    next: () => Promise<IngressOutcome>,
  ): Promise<IngressOutcome> {
    const { getStop, clock, durations } = this.#options;
    const route = exchange.route!;
    const stop = getStop();
    const startedAt = clock();
    const remainingMs = exchange.deadlineAt - startedAt;
    const mayRepeat = isRepeatable(route);
    const isServed = stop === undefined || mayServeWhileStopping({
      ...stop,
      remainingMs,
      isRepeatable: mayRepeat,
      usualMs: durations.findMs(route.name, getCoveredShare(mayRepeat)),
    });
    if (!isServed) {
      return refuseRetryable(exchange, {
        code: "router-stopping",
        detail: `This router stops in ${Math.round(stop.lifetimeMs)} ms.`,
        cause: "this-router",
        closes: true,
      });
    }
    const outcome = await next();
    if (isWholeAnswer(outcome)) {
      durations.record(route.name, clock() - startedAt);
    }
    return outcome;
  }
}

function isWholeAnswer(outcome: IngressOutcome): boolean {
  return outcome.kind === "whole" ||
    outcome.kind === "streamed" && outcome.end === "complete";
}
