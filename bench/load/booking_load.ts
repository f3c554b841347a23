/**
 * Bookings at a plain service: calls that must run at most once, with second
 * taps of the same key at another router at the same time, and late ones.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request as fetchOnce } from "undici";
import {
  getBodyDigest,
  type PlainAnswer,
} from "../../testing/plain_service.ts";
import type { Balancer, RouterTarget } from "./balancer.ts";
import { type Exchange, type OutgoingRequest, send } from "./exchange.ts";
import { broken, judge, type Outcome, type OutcomeHandler } from "./outcome.ts";
import type { Random } from "./random.ts";
import { type BookingRuns, KindCounts } from "./report.ts";

/** Options of the booking load. */
export interface BookingLoadOptions {
  balancer: Balancer;
  random: Random;
  keys: readonly string[];
  seed: number;
  path: string;
  /** Share of the bookings that are tapped twice at the same time. */
  secondTapShare: number;
  /** Share of the bookings that are tapped again after their answer. */
  lateTapShare: number;
  timeoutMs: number;
  onOutcome?: OutcomeHandler;
}

interface Booking {
  readonly key: string;
  readonly request: OutgoingRequest;
  readonly expected: string;
  readonly outcomes: Outcome[];
}

interface Choice {
  /** Router to send to. */
  readonly router?: RouterTarget;
  /** Router not to send to. */
  readonly except?: RouterTarget;
}

const MAX_RETRIES = 2;

/** Sends bookings and holds their records. */
export class BookingLoad {
  readonly counts = new KindCounts();
  readonly #options: BookingLoadOptions;
  readonly #bookings: Booking[] = [];

  constructor(options: BookingLoadOptions) {
    this.#options = options;
  }

  /** Makes one booking, with the taps that chance adds. */
  async bookNext(): Promise<void> {
    const { balancer, random } = this.#options;
    const booking = this.#createBooking();
    const isTappedTwice = random.nextBoolean(this.#options.secondTapShare);
    const isTappedLate = random.nextBoolean(this.#options.lateTapShare);
    const first = balancer.pick();
    const taps = [this.#tap(booking, { router: first })];
    if (isTappedTwice) taps.push(this.#tap(booking, { except: first }));
    await Promise.all(taps);
    if (isTappedLate) await this.#tap(booking);
  }

  /** Compares the outcomes with the runs that plain services counted. */
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
      if (count === 0 && outcomes.some(isWhole)) missing.push(key);
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

  /** Sends a booking, and again when it is refused and may be sent later. */
  async #tap(booking: Booking, choice: Choice = {}): Promise<void> {
    const { balancer, timeoutMs } = this.#options;
    for (let retry = 0; retry <= MAX_RETRIES; retry++) {
      this.counts.sent++;
      const options = { ...choice, timeoutMs };
      const exchange = await send(balancer, booking.request, options);
      const outcome = judgeBooking(exchange, booking.expected);
      this.#options.onOutcome?.(exchange, outcome);
      booking.outcomes.push(outcome);
      this.counts.record(outcome);
      const retryAfterMs = getRetryAfterMs(outcome);
      if (retryAfterMs === undefined) return;
      await sleep(retryAfterMs);
    }
  }
}

function judgeBooking(exchange: Exchange, expected: string): Outcome {
  const outcome = judge(exchange, expected);
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

function isWhole(outcome: Outcome): boolean {
  return outcome.kind === "whole";
}

async function fetchRuns(
  services: readonly string[],
): Promise<Map<string, number>> {
  const total = new Map<string, number>();
  for (const service of services) {
    const answer = await fetchOnce(`http://${service}/control/runs`);
    const runs = await answer.body.json() as Record<string, number>;
    for (const [key, count] of Object.entries(runs)) {
      total.set(key, (total.get(key) ?? 0) + count);
    }
  }
  return total;
}
