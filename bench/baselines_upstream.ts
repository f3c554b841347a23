/** What a baseline router knows of one upstream. */
import type { Upstream } from "../src/config/manifest.ts";
import type { UpstreamView } from "./baselines_policy.ts";

const UNREACHABLE_MS = 500;

/** State of one upstream in one baseline router. */
export class BaselineUpstream implements UpstreamView {
  readonly upstream: Upstream;
  inFlight = 0;
  isCold = true;
  isOut = false;
  #isLeaving = false;
  #unreachableUntil = -Infinity;
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
    return this.#clock() >= this.#unreachableUntil;
  }

  /** Notes that it could not be reached or did not take a request. */
  noteFailure(): void {
    this.#unreachableUntil = this.#clock() + UNREACHABLE_MS;
  }

  /** Notes the headers of an answer; a new incarnation has an empty cache. */
  noteIncarnation(incarnation: string | undefined): void {
    if (incarnation === undefined || incarnation === this.#incarnation) return;
    const isFirst = this.#incarnation === undefined;
    this.#incarnation = incarnation;
    this.isCold = true;
    if (!isFirst) this.#onRestart();
  }

  /** Notes what the upstream said of its load. */
  noteLoad(
    { incarnation, cold, leaving }: {
      incarnation: string;
      cold: boolean;
      leaving: boolean;
    },
  ): void {
    this.noteIncarnation(incarnation);
    this.isCold = cold;
    this.#isLeaving = leaving;
  }
}
