/**
 * Records what upstreams state of themselves in the heads of responses.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import { STATUS_MISDIRECTED } from "../policy/answer_proof.ts";
import type { ResponseTraits, UpstreamEntry } from "../routing/types.ts";
import type { Placement } from "./placement.ts";

/**
 * What an upstream states of itself: that it is leaving, that it wants no
 * request for a time, which may be longer than is granted, that it takes only
 * so many requests a second, or that it ends if it has to reject more than so many
 * a second, and when that ends; that it is another process than its entry says,
 * or that it answers what may be for another request.
 */
export type UpstreamNotice =
  | "leaving"
  | "pause"
  | "long-pause"
  | "limit"
  | "limit-ended"
  | "bad-limit"
  | "brittle"
  | "brittle-ended"
  | "bad-brittle"
  | "other-process"
  | "unclear";

/** What a notice says, for the log. */
export interface NoticeDetails {
  readonly upstream: string;
  readonly pauseMs?: number;
  /** Requests or rejections a second. */
  readonly rate?: number;
}

/** Options of `UpstreamNotices`. */
export interface UpstreamNoticesOptions {
  readonly routing: Pick<RoutingView, "directory">;
  readonly placement: Pick<
    Placement,
    "recordPause" | "recordRate" | "recordRejectionLimit"
  >;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Called with each statement that is new. */
  readonly onNotice: (kind: UpstreamNotice, details: NoticeDetails) => void;
}

/** Passes the statements of upstreams on to what decides by them. */
export class UpstreamNotices {
  readonly #options: UpstreamNoticesOptions;

  constructor(options: UpstreamNoticesOptions) {
    this.#options = options;
  }

  /** Records what an upstream says of itself in the head of a response. */
  record(
    entry: UpstreamEntry,
    { status, traits, sentAt }: {
      status: number;
      traits: ResponseTraits;
      sentAt: number;
    },
  ): void {
    const { isLeaving, pauseMs, rate, rejectionLimit } = traits;
    const { routing, placement, onNotice } = this.#options;
    if (status === STATUS_MISDIRECTED) {
      // Another upstream has answered; the statement is about that one.
      const others = routing.directory.listOthersAt(entry.address, entry.id);
      if (isLeaving) { for (const other of others) this.#recordLeaving(other); }
      return;
    }
    if (isLeaving) this.#recordLeaving(entry);
    this.#recordRate(entry, { rate, sentAt });
    this.#recordRejectionLimit(entry, { rate: rejectionLimit, sentAt });
    if (pauseMs !== undefined) {
      const request = placement.recordPause(entry.id, pauseMs);
      onNotice(request === "shortened" ? "long-pause" : "pause", {
        upstream: entry.id,
        pauseMs,
      });
    }
  }

  #recordRate(
    { id }: UpstreamEntry,
    { rate, sentAt }: Pick<ResponseTraits, "rate"> & { sentAt: number },
  ): void {
    const { placement, onNotice } = this.#options;
    if (rate === undefined) {
      onNotice("bad-limit", { upstream: id });
      return;
    }
    if (!placement.recordRate(id, { rate, sentAt })) return;
    if (rate === "none") onNotice("limit-ended", { upstream: id });
    else onNotice("limit", { upstream: id, rate });
  }

  #recordRejectionLimit(
    { id }: UpstreamEntry,
    { rate, sentAt }: Pick<ResponseTraits, "rate"> & { sentAt: number },
  ): void {
    const { placement, onNotice } = this.#options;
    if (rate === undefined) {
      onNotice("bad-brittle", { upstream: id });
      return;
    }
    if (!placement.recordRejectionLimit(id, { rate, sentAt })) return;
    if (rate === "none") onNotice("brittle-ended", { upstream: id });
    else onNotice("brittle", { upstream: id, rate });
  }

  #recordLeaving({ id, bornAt }: UpstreamEntry): void {
    const { routing, clock, onNotice } = this.#options;
    const isNew = routing.directory.recordLeaving(id, { bornAt, now: clock() });
    if (isNew) onNotice("leaving", { upstream: id });
  }
}
