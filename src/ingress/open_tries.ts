/**
 * The tries of one request that are open at the same time. Silence ends none of
 * them: another one is opened beside those that are silent, and the first whose
 * answer the caller gets ends the others.
 */
import type { ServerResponse } from "node:http";
import type { UpstreamEntry } from "../routing/types.ts";
import type { GraceEnd } from "./grace_end.ts";
import type { ForwardTarget } from "./router_forwarding.ts";
import type { TryOutcome } from "./try_end.ts";
import type { OtherTries, UpstreamTry } from "./upstream_try.ts";

/** Where a try sends the request: to an upstream or to another router. */
export type TryTarget =
  | { readonly kind: "upstream"; readonly entry: UpstreamEntry }
  | { readonly kind: "router"; readonly router: ForwardTarget };

/** A try that has ended without being left for another one. */
export interface EndedTry {
  readonly target: TryTarget;
  readonly outcome: Exclude<TryOutcome, { kind: "left" }>;
}

/** Options of an `OpenTry`. */
export interface OpenTryOptions {
  readonly target: TryTarget;
  /** Whether the target should be avoided, so that it may never answer. */
  isSuspect(): boolean;
  /** Called once if the target is to be avoided, because the try is silent. */
  onAvoided(): void;
}

/** What the end of a try depends on besides its answer. */
export interface TryLimits {
  readonly response: ServerResponse;
  readonly graceEnd: GraceEnd;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the end of the grace time ends the request. */
  isCutByStop(): boolean;
}

type TryEvent =
  | { readonly kind: "ended"; readonly ended: EndedTry }
  | { readonly kind: "silent" }
  | { readonly kind: "error"; readonly cause: unknown };

/** One of the open tries. */
export class OpenTry {
  /** The other open tries of the request. */
  readonly others: OtherTries;
  readonly #options: OpenTryOptions;
  #attempt: UpstreamTry | undefined;
  #isAvoided = false;
  #end: ((outcome: TryOutcome) => void) | undefined;

  constructor(tries: OpenTries, options: OpenTryOptions) {
    this.#options = options;
    this.others = {
      get areOpen() {
        return tries.size > 1;
      },
      leave: () => tries.leaveAll({ except: this }),
    };
  }

  /** Whether it has received no data for too long. */
  get isSilent(): boolean {
    return this.#attempt?.silentMs !== undefined;
  }

  /** Whether its target should be avoided, so that it may never answer. */
  get isSuspect(): boolean {
    return this.#options.isSuspect();
  }

  /** Records that the target is to be avoided, because the try is silent. */
  avoidTarget(): void {
    if (this.#isAvoided) return;
    this.#isAvoided = true;
    this.#options.onAvoided();
  }

  /** Ends the try, because the caller gets the answer of another one. */
  endLeft(): void {
    const silentMs = this.#attempt?.silentMs;
    if (silentMs === undefined) {
      this.#end?.({ kind: "left" });
      return;
    }
    this.avoidTarget();
    const detail = `no byte for ${Math.round(silentMs)} ms`;
    this.#end?.({ kind: "ended", end: "no-answer", detail, isSilent: true });
  }

  /**
   * Waits until the try ends or is left, the caller disconnects, the deadline
   * passes or the stop of this router cuts the request, then cancels a try that is
   * still running.
   */
  untilEnded(
    attempt: UpstreamTry,
    { response, graceEnd, remainingMs, isCutByStop }: TryLimits,
  ): Promise<TryOutcome> {
    this.#attempt = attempt;
    return new Promise((resolve) => {
      const onClose = () => finish({ kind: "caller-left" });
      const onGraceEnd = () => {
        if (isCutByStop()) finish({ kind: "router-ended" });
      };
      const timer = setTimeout(
        () => finish({ kind: "timed-out" }),
        remainingMs,
      );
      function finish(outcome: TryOutcome): void {
        clearTimeout(timer);
        response.off("close", onClose);
        graceEnd.removeListener(onGraceEnd);
        attempt.cancel();
        resolve(outcome);
      }
      this.#end = finish;
      if (response.destroyed) {
        finish({ kind: "caller-left" });
        return;
      }
      response.once("close", onClose);
      graceEnd.addListener(onGraceEnd);
      void attempt.result.then(finish);
    });
  }
}

/** Keeps the open tries of a request, and tells what happens to them. */
export class OpenTries {
  readonly #open = new Set<OpenTry>();
  readonly #onLeft: () => void;
  readonly #events: TryEvent[] = [];
  #wake: () => void = () => {};

  /** `onLeft` is called for each try that is left. */
  constructor({ onLeft }: { onLeft: () => void }) {
    this.#onLeft = onLeft;
  }

  get size(): number {
    return this.#open.size;
  }

  /** Whether tries are open and none of them receives data. */
  get areSilent(): boolean {
    return this.#open.size > 0 &&
      [...this.#open].every(({ isSilent }) => isSilent);
  }

  /** The open tries. */
  list(): OpenTry[] {
    return [...this.#open];
  }

  /**
   * Opens a try, which `run` sends and waits for. Those that are open until then
   * are silent.
   */
  open(
    options: OpenTryOptions,
    run: (openTry: OpenTry) => Promise<TryOutcome>,
  ): void {
    for (const each of this.#open) each.avoidTarget();
    const openTry = new OpenTry(this, options);
    this.#open.add(openTry);
    void run(openTry).then((outcome) => {
      if (!this.#open.delete(openTry) || outcome.kind === "left") return;
      const ended = { target: options.target, outcome };
      this.#push({ kind: "ended", ended });
    }, (cause) => {
      // The request may be over, so that nothing waits for the error.
      if (!this.#open.delete(openTry)) throw cause;
      this.#push({ kind: "error", cause });
    });
  }

  /** Records that a try is silent. */
  recordSilence(): void {
    if (!this.areSilent || this.#events.length > 0) return;
    this.#push({ kind: "silent" });
  }

  /**
   * Resolves with the next try that has ended; with undefined if all that are
   * open are silent, and again at each of their checks.
   */
  async next(): Promise<EndedTry | undefined> {
    if (this.#events.length === 0) {
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    const event = this.#events.shift()!;
    if (event.kind === "error") throw event.cause;
    return event.kind === "ended" ? event.ended : undefined;
  }

  /** Ends all open tries but `except`. */
  leaveAll({ except }: { except?: OpenTry } = {}): void {
    for (const openTry of this.list()) {
      if (openTry === except) continue;
      this.#open.delete(openTry);
      this.#onLeft();
      openTry.endLeft();
    }
  }

  #push(event: TryEvent): void {
    this.#events.push(event);
    this.#wake();
  }
}
