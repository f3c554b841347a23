/** Sends the turns of returning chats and records the responses. */
import { performance } from "node:perf_hooks";
import {
  getExpectedAnswer,
  getExpectedEventStream,
  getExpectedJsonBody,
} from "../../testing/answer.ts";
import type { Balancer } from "./balancer.ts";
import type { Chats, Turn } from "./chats.ts";
import { type Exchange, send } from "./exchange.ts";
import {
  classifyExchange,
  type Outcome,
  type OutcomeHandler,
} from "./outcome.ts";
import {
  type CacheReuse,
  DurationHistogram,
  increment,
  OutcomeCounts,
  type Timeline,
} from "./report.ts";

/** Options of the chat load. */
export interface ChatLoadOptions {
  balancer: Balancer;
  timeline: Timeline;
  timeoutMs: number;
  onOutcome?: OutcomeHandler;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Sends turns and records their outcomes. */
export class ChatLoad {
  readonly counts = new OutcomeCounts();
  readonly countsByKey = new Map<string, OutcomeCounts>();
  readonly firstToken = new DurationHistogram();
  readonly betweenTokens = new DurationHistogram();
  readonly wholeAnswer = new DurationHistogram();
  readonly perUpstream: Record<string, number> = {};
  /** Arrivals without an idle chat to send a turn of. */
  skipped = 0;
  readonly #options: ChatLoadOptions;
  #reuse = { turns: 0, prefixTokens: 0, cachedTokens: 0, withoutHeaders: 0 };

  constructor(options: ChatLoadOptions) {
    this.#options = options;
  }

  /** Sends the next turn of an idle chat, if any is idle. */
  async sendNext(chats: Chats): Promise<void> {
    const turn = chats.nextTurn(performance.now());
    if (turn === undefined) {
      this.skipped++;
      return;
    }
    const { balancer, timeline, timeoutMs } = this.#options;
    this.#recordSent(turn);
    const exchange = await send(balancer, createRequest(turn), { timeoutMs });
    const expected = turn.body.stream
      ? getExpectedEventStream(turn.body)
      : getExpectedJsonBody(turn.body);
    const outcome = classifyExchange(exchange, expected);
    this.#options.onOutcome?.(exchange, outcome);
    const now = performance.now();
    this.counts.record(outcome);
    this.countsByKey.get(turn.key)?.record(outcome);
    timeline.at(now)[outcome.kind]++;
    if (outcome.kind === "whole") {
      this.#recordComplete(turn, exchange);
      const { text } = getExpectedAnswer(turn.body);
      chats.completeTurn(turn, { text, now });
    } else {
      chats.requeueTurn(turn, { notBefore: now + getPauseMs(outcome) });
    }
  }

  /** Returns the cache reuse so far. */
  getCacheReuse(): CacheReuse {
    const { prefixTokens, cachedTokens } = this.#reuse;
    const ratio = prefixTokens === 0 ? 0 : cachedTokens / prefixTokens;
    return { ...this.#reuse, ratio };
  }

  #recordSent(turn: Turn): void {
    this.counts.sent++;
    const counts = this.countsByKey.get(turn.key) ?? new OutcomeCounts();
    this.countsByKey.set(turn.key, counts);
    counts.sent++;
    this.#options.timeline.at(performance.now()).sent++;
  }

  #recordComplete(turn: Turn, exchange: Exchange): void {
    increment(this.perUpstream, exchange.headers["x-upstream"] ?? "unnamed");
    this.#recordReuse(turn, exchange);
    if (!turn.body.stream) {
      this.wholeAnswer.record(exchange.totalMs);
      return;
    }
    this.firstToken.record(exchange.firstByteMs ?? exchange.totalMs);
    for (const gap of exchange.gapsMs) this.betweenTokens.record(gap);
  }

  #recordReuse(turn: Turn, { headers }: Exchange): void {
    if (turn.servedTokens === 0) return;
    const header = headers["x-cached-tokens"];
    if (header === undefined) this.#reuse.withoutHeaders++;
    const cached = Math.min(Number(header ?? 0), turn.servedTokens);
    this.#reuse.turns++;
    this.#reuse.prefixTokens += turn.servedTokens;
    this.#reuse.cachedTokens += cached;
    const counts = this.#options.timeline.at(performance.now());
    counts.prefixTokens += turn.servedTokens;
    counts.cachedTokens += cached;
  }
}

function createRequest(turn: Turn) {
  return {
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      "authorization": `Bearer ${turn.key}`,
      "content-type": "application/json",
      "x-chat-id": turn.chatId,
    },
    body: JSON.stringify(turn.body),
  } as const;
}

function getPauseMs(outcome: Outcome): number {
  const retryAfterMs = outcome.kind === "refused"
    ? outcome.retryAfterMs
    : undefined;
  return retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
}
