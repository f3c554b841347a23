/** State that a baseline router keeps for one upstream. */
import type { Upstream } from "../src/config/manifest.ts";
import type { UpstreamView } from "./baselines_policy.ts";

const UNREACHABLE_HOLD_MS = 500;

/** Load and availability of one upstream, as one baseline router knows them. */
export class BaselineUpstream implements UpstreamView {
  readonly upstream: Upstream;
  inFlight = 0;
  isCold = true;
  isOut = false;
  #isLeaving = false;
  #unreachableUntilMs = -Infinity;
  #incarnation: string | undefined;
  readonly #onRestart: () => void;
  readonly #clock: () => number;

  constructor(
    upstream: Upstream,
    { clock, onRestart }: { clock: () => number; onRestart: () => void },
  ) {
    this.upstream = upstream;
    this.#clock = clock;
    this.#onRestart = onRestart;
  }

  get name(): string {
    return this.upstream.name;
  }

  get hardLimit(): number {
    return this.upstream.hardLimit;
  }

  get coldLimit(): number {
    return this.upstream.coldLimit;
  }

  get isUsable(): boolean {
    if (this.isOut || this.#isLeaving) return false;
    return this.#clock() >= this.#unreachableUntilMs;
  }

  /** Records that the upstream was unreachable or did not accept a request. */
  recordFailure(): void {
    this.#unreachableUntilMs = this.#clock() + UNREACHABLE_HOLD_MS;
  }

  /** Records the incarnation of a response; a new one has an empty cache. */
  recordIncarnation(incarnation: string | undefined): void {
    if (incarnation === undefined || incarnation === this.#incarnation) return;
    const isFirst = this.#incarnation === undefined;
    this.#incarnation = incarnation;
    this.isCold = true;
    if (!isFirst) this.#onRestart();
  }

  /** Records a load report of the upstream. */
  recordLoad(
    { incarnation, cold, leaving }: {
      incarnation: string;
      cold: boolean;
      leaving: boolean;
    },
  ): void {
    this.recordIncarnation(incarnation);
    this.isCold = cold;
    this.#isLeaving = leaving;
  }
}
