/**
 * Sends bookings to a plain service. A booking must run at most once, also when
 * a duplicate with the same key goes to another router at the same time, or
 * follows after the response.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request as fetchOnce } from "undici";
import {
  getBodyDigest,
  type PlainAnswer,
} from "../../testing/plain_service.ts";
import type { Balancer, RouterTarget } from "./balancer.ts";
import { type Exchange, type OutgoingRequest, send } from "./exchange.ts";
import {
  broken,
  classifyExchange,
  type Outcome,
  type OutcomeHandler,
} from "./outcome.ts";
import type { Random } from "./random.ts";
import { type BookingRuns, OutcomeCounts } from "./report.ts";

/** Options of the booking load. */
export interface BookingLoadOptions {
  balancer: Balancer;
  random: Random;
  keys: readonly string[];
  seed: number;
  path: string;
  /** Share of the bookings that are sent twice at the same time. */
  concurrentDuplicateShare: number;
  /** Share of the bookings that are sent again after their response. */
  lateDuplicateShare: number;
  timeoutMs: number;
  onOutcome?: OutcomeHandler;
}

interface Booking {
  readonly key: string;
  readonly request: OutgoingRequest;
  readonly expected: string;
  readonly outcomes: Outcome[];
}

interface RouterChoice {
  /** Router to send to. */
  readonly router?: RouterTarget;
  /** Router not to send to. */
  readonly except?: RouterTarget;
}

const MAX_REFUSAL_RETRIES = 2;

/** Sends bookings and records their outcomes. */
export class BookingLoad {
  readonly counts = new OutcomeCounts();
  readonly #options: BookingLoadOptions;
  readonly #bookings: Booking[] = [];

  constructor(options: BookingLoadOptions) {
    this.#options = options;
  }

  /** Sends one booking, and duplicates of it with the given probabilities. */
  async bookNext(): Promise<void> {
    const { balancer, random } = this.#options;
    const booking = this.#createBooking();
    const hasConcurrentDuplicate = random.nextBoolean(
      this.#options.concurrentDuplicateShare,
    );
    const hasLateDuplicate = random.nextBoolean(
      this.#options.lateDuplicateShare,
    );
    const first = balancer.pick();
    const sends = [this.#sendWithRetries(booking, { router: first })];
    if (hasConcurrentDuplicate) {
      sends.push(this.#sendWithRetries(booking, { except: first }));
    }
    await Promise.all(sends);
    if (hasLateDuplicate) await this.#sendWithRetries(booking);
  }

  /** Compares the outcomes with the runs that the plain services counted. */
  async getRuns(services: readonly string[]): Promise<BookingRuns> {
    const runs = await fetchRuns(services);
    const ranTwice: string[] = [];
    const ranThoughRefused: string[] = [];
    const missing: string[] = [];
    let ran = 0;
    for (const { key, outcomes } of this.#bookings) {
      const count = runs.get(key) ?? 0;
      if (count > 0) ran++;
      if (count > 1) ranTwice.push(key);
      if (count > 0 && outcomes.every(isNotRun)) ranThoughRefused.push(key);
      if (count === 0 && outcomes.some(isComplete)) missing.push(key);
    }
    return { ran, ranTwice, ranThoughRefused, missing };
  }

  #createBooking(): Booking {
    const { random, seed, path, keys } = this.#options;
    const key = `booking-${seed}-${this.#bookings.length}`;
    const seats = random.nextInteger({ min: 1, max: 4 });
    const body = JSON.stringify({ class: random.nextText(2), seats });
    const answer: PlainAnswer = {
      key,
      runs: 1,
      path,
      bodyDigest: getBodyDigest(body),
    };
    const headers = {
      "authorization": `Bearer ${random.pick(keys)}`,
      "content-type": "application/json",
      "idempotency-key": key,
    };
    const request = { method: "POST", path, headers, body } as const;
    const expected = JSON.stringify(answer);
    const booking = { key, request, expected, outcomes: [] };
    this.#bookings.push(booking);
    return booking;
  }

  /** Sends a booking; retries a refusal that has a retry delay. */
  async #sendWithRetries(
    booking: Booking,
    choice: RouterChoice = {},
  ): Promise<void> {
    const { balancer, timeoutMs } = this.#options;
    for (let retry = 0; retry <= MAX_REFUSAL_RETRIES; retry++) {
      this.counts.sent++;
      const options = { ...choice, timeoutMs };
      const exchange = await send(balancer, booking.request, options);
      const outcome = classifyBooking(exchange, booking.expected);
      this.#options.onOutcome?.(exchange, outcome);
      booking.outcomes.push(outcome);
      this.counts.record(outcome);
      const retryAfterMs = getRetryAfterMs(outcome);
      if (retryAfterMs === undefined) return;
      await sleep(retryAfterMs);
    }
  }
}

function classifyBooking(exchange: Exchange, expected: string): Outcome {
  const outcome = classifyExchange(exchange, expected);
  if (outcome.kind !== "broken") return outcome;
  if (outcome.breakage !== "wrong-bytes") return outcome;
  const ranTwice = /"runs":(?!1,)\d+/.test(exchange.text);
  return ranTwice ? broken("ran-twice", exchange.text) : outcome;
}

function getRetryAfterMs(outcome: Outcome): number | undefined {
  return outcome.kind === "refused" ? outcome.retryAfterMs : undefined;
}

function isNotRun(outcome: Outcome): boolean {
  return outcome.kind === "refused" && outcome.ran === "no";
}

function isComplete(outcome: Outcome): boolean {
  return outcome.kind === "whole";
}

async function fetchRuns(
  services: readonly string[],
): Promise<Map<string, number>> {
  const runsByKey = new Map<string, number>();
  for (const service of services) {
    const answer = await fetchOnce(`http://${service}/control/runs`);
    const runs = await answer.body.json() as Record<string, number>;
    for (const [key, count] of Object.entries(runs)) {
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + count);
    }
  }
  return runsByKey;
}
