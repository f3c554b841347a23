/**
 * Holds each workspace to the request rate that the manifest gives it.
 */
import type { Clock } from "../control/views.ts";
import { createRefusal } from "../diagnostics.ts";
import type { WorkspaceLimits } from "../policy/workspace_limits.ts";
import {
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
  refused,
} from "./exchange.ts";

/** Refuses what is above the workspace's rate. */
export class LimitsFilter implements Filter {
  readonly name = "limits";
  readonly #limits: WorkspaceLimits;
  readonly #clock: Clock;

  constructor(options: { limits: WorkspaceLimits; clock: Clock }) {
    this.#limits = options.limits;
    this.#clock = options.clock;
  }

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const workspace = exchange.workspace!;
    const take = this.#limits.take(workspace, this.#clock());
    if (take.kind === "ok") return next();
    const { retryAfterMs } = take;
    const detail = `${workspace.name} is above its request rate.`;
    const refusal = createRefusal("workspace-limit", detail, { retryAfterMs });
    return Promise.resolve(refused(refusal));
  }
}
