/**
 * Estimates the work of a request, in milliseconds of an upstream of usual
 * speed, from what its headers state and from the responses of this router.
 *
 * Load pattern: requests that look alike to a count of requests but cost an
 * upstream from 20 ms to more than a second, by the prompt tokens that it has
 * not cached and by the length of the response. Callers state both, the latter
 * often wrongly.
 *
 * A response has events of several tokens each. The work of a response is
 * therefore learned by event, and so are the tokens of an event, as the ratio of
 * the hints to the events that came: hints are right at the median.
 */
import type { PromptPart, TokenCounts } from "../routing/types.ts";
import { DecayingMeans } from "./decaying_means.ts";

/** The properties of a request that its work depends on. */
export interface WorkRequest {
  readonly service: string;
  readonly route: string;
  readonly workspace: string;
  readonly promptParts: readonly PromptPart[];
  readonly tokenCounts?: TokenCounts | undefined;
  /** Tokens that the caller expects in the response. */
  readonly lengthHint?: number | undefined;
}

/** How a request was answered. */
export interface MeasuredAnswer {
  /** Time from sending the request to the end of the response. */
  readonly ms: number;
  /** Time from sending the request to the first event; undefined without. */
  readonly firstMs: number | undefined;
  /** Number of events of a stream. */
  readonly events: number;
  /** How much longer than usual work took at the upstream. */
  readonly pace: number;
  /**
   * Prompt tokens that the upstream had to read; undefined if it isn't known
   * which parts it had cached.
   */
  readonly readTokens: number | undefined;
  /** What `estimate` returned for it, in milliseconds. */
  readonly estimatedMs: number | undefined;
}

/** Half-life of a sample, in milliseconds. */
const HALF_LIFE_MS = 10_000;
/** Responses of a route and workspace from which on their length counts. */
const MIN_LENGTHS = 5;
/** Below this length, the fixed parts of the first event's time dominate. */
const MIN_READ_TOKENS = 256;

/** Learned rates of services, and lengths and durations by route. */
export class WorkEstimate {
  readonly #readTokens = createMeans();
  readonly #readMs = createMeans();
  readonly #events = createMeans();
  readonly #eventsMs = createMeans();
  /** Logarithms of the hinted tokens by event. */
  readonly #eventTokens = createMeans();
  /** Events of a response by route and workspace. */
  readonly #lengths = createMeans();
  readonly #callMs = createMeans();
  /** Estimates by service, and their squares. */
  readonly #works = createMeans();
  readonly #squares = createMeans();
  /** Estimates of answered requests by service, and what they took. */
  readonly #estimatedMs = createMeans();
  readonly #measuredMs = createMeans();

  /**
   * Estimates the work of a request at an upstream that has to read `readTokens`
   * tokens of its prompt; undefined before the first responses.
   */
  estimate(
    request: WorkRequest,
    { readTokens, now }: { readTokens: number; now: number },
  ): number | undefined {
    const { service } = request;
    const eventMs = this.#getEventMs(service, now);
    const events = this.#estimateEvents(request, now);
    const callMs = this.#callMs.find(getRouteKey(request), now);
    const isCall = callMs !== undefined &&
      this.#lengths.getCount(getLengthKey(request), now) === 0;
    if (isCall || eventMs === undefined || events === undefined) return callMs;
    const readMs = this.getReadMs(service, { tokens: readTokens, now });
    if (readMs !== undefined) return readMs + events * eventMs;
    return readTokens < MIN_READ_TOKENS ? events * eventMs : undefined;
  }

  /**
   * Returns by how much longer requests of a service take than estimated, as a
   * factor; 1 before the first responses. Without it, hints that all are too high
   * make chats leave upstreams whose wait is short.
   */
  getCorrection(service: string, now: number): number {
    const estimatedMs = this.#estimatedMs.find(service, now) ?? 0;
    const measuredMs = this.#measuredMs.find(service, now) ?? 0;
    return estimatedMs === 0 ? 1 : measuredMs / estimatedMs;
  }

  /** Returns the time to read a part of a prompt; undefined if not learned. */
  getReadMs(
    service: string,
    { tokens, now }: { tokens: number; now: number },
  ): number | undefined {
    const readTokens = this.#readTokens.find(service, now);
    const readMs = this.#readMs.find(service, now);
    if (readTokens === undefined || readMs === undefined) return undefined;
    return tokens * readMs / readTokens;
  }

  /** Records the estimate of a request that is sent. */
  recordSent(
    service: string,
    { workMs, now }: { workMs: number; now: number },
  ): void {
    this.#works.record(service, workMs, now);
    this.#squares.record(service, workMs ** 2, now);
  }

  /** Returns the mean work of the requests of a service that were sent. */
  getMean(service: string, now: number): number | undefined {
    return this.#works.find(service, now);
  }

  /** Returns the services that have such a mean. */
  listServices(now: number): string[] {
    return this.#works.list(now);
  }

  /** Returns the coefficient of variation of that work; 0 without requests. */
  getVariation(service: string, now: number): number {
    const mean = this.#works.find(service, now) ?? 0;
    const square = this.#squares.find(service, now) ?? 0;
    return mean === 0 ? 0 : Math.sqrt(Math.max(0, square / mean ** 2 - 1));
  }

  /** Records a response; only of a request that did not wait in a queue. */
  recordAnswer(
    request: WorkRequest,
    answer: MeasuredAnswer,
    now: number,
  ): void {
    const { service, lengthHint } = request;
    const { ms, firstMs, events, pace, estimatedMs } = answer;
    if (estimatedMs !== undefined) {
      this.#estimatedMs.record(service, estimatedMs, now);
      this.#measuredMs.record(service, ms / pace, now);
    }
    if (firstMs === undefined || events < 2) {
      this.#callMs.record(getRouteKey(request), ms / pace, now);
      return;
    }
    this.#events.record(service, events - 1, now);
    this.#eventsMs.record(service, (ms - firstMs) / pace, now);
    this.#lengths.record(getLengthKey(request), events, now);
    if (lengthHint !== undefined && lengthHint > 0) {
      this.#eventTokens.record(service, Math.log(lengthHint / events), now);
    }
    this.#recordRead(service, answer, now);
  }

  /** Drops what has not been learned lately. */
  prune(now: number): void {
    for (
      const means of [
        this.#readTokens,
        this.#readMs,
        this.#events,
        this.#eventsMs,
        this.#eventTokens,
        this.#lengths,
        this.#callMs,
        this.#works,
        this.#squares,
        this.#estimatedMs,
        this.#measuredMs,
      ]
    ) means.prune(now);
  }

  #recordRead(
    service: string,
    { firstMs, pace, readTokens = 0 }: MeasuredAnswer,
    now: number,
  ): void {
    if (readTokens < MIN_READ_TOKENS) return;
    const eventMs = this.#getEventMs(service, now)!;
    this.#readTokens.record(service, readTokens, now);
    this.#readMs.record(service, Math.max(0, firstMs! / pace - eventMs), now);
  }

  #getEventMs(service: string, now: number): number | undefined {
    const events = this.#events.find(service, now);
    const eventsMs = this.#eventsMs.find(service, now);
    if (events === undefined || eventsMs === undefined) return undefined;
    return eventsMs / events;
  }

  /** Estimates the events of a response; undefined without any figure. */
  #estimateEvents(request: WorkRequest, now: number): number | undefined {
    const { service, tokenCounts, lengthHint } = request;
    // An event holds at least one token.
    const eventTokens = Math.max(
      1,
      Math.exp(this.#eventTokens.find(service, now) ?? 0),
    );
    const hinted = lengthHint === undefined
      ? undefined
      : lengthHint / eventTokens;
    const most = tokenCounts === undefined
      ? undefined
      : tokenCounts.maxOutput / eventTokens;
    const key = getLengthKey(request);
    const isLearned = this.#lengths.getCount(key, now) >= MIN_LENGTHS;
    const learned = isLearned ? this.#lengths.find(key, now) : undefined;
    const expected = learned !== undefined && hinted !== undefined
      ? Math.sqrt(learned * hinted)
      : learned ?? hinted ?? most;
    return expected === undefined
      ? undefined
      : Math.min(expected, most ?? Infinity);
  }
}

function createMeans(): DecayingMeans {
  return new DecayingMeans({ halfLifeMs: HALF_LIFE_MS });
}

function getRouteKey({ service, route }: WorkRequest): string {
  return `${service}\n${route}`;
}

function getLengthKey(request: WorkRequest): string {
  return `${getRouteKey(request)}\n${request.workspace}`;
}

/** Returns the prompt's length, as stated or as the sum of its parts. */
export function countPromptTokens(
  { tokenCounts, promptParts }: Pick<
    WorkRequest,
    "tokenCounts" | "promptParts"
  >,
): number {
  return tokenCounts?.prompt ?? countTokens(promptParts);
}

export function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
