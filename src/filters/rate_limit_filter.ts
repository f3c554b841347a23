/**
 * Enforces the request rate limit that the manifest sets for each workspace.
 */
import type { Clock } from "../control/views.ts";
import { createRefusal } from "../diagnostics.ts";
import type { WorkspaceLimits } from "../policy/workspace_limits.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
} from "./exchange.ts";

/** Refuses requests above the workspace's rate limit as `workspace-limit`. */
export class RateLimitFilter implements Filter {
  readonly name = "limits";
  readonly #limits: WorkspaceLimits;
  readonly #clock: Clock;

  constructor(options: { limits: WorkspaceLimits; clock: Clock }) {
    this.#limits = options.limits;
    this.#clock = options.clock;
  }

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const workspace = exchange.workspace!;
    const admission = this.#limits.take(workspace, this.#clock());
    if (admission.kind === "ok") return next();
    const { retryAfterMs } = admission;
    const detail = `${workspace.name} is above its request rate.`;
    const refusal = createRefusal("workspace-limit", detail, { retryAfterMs });
    return Promise.resolve(createRefusedOutcome(refusal));
  }
}
