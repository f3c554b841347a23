/**
 * Measures the added latency: sends the same small requests alternately to an
 * upstream directly and through a router, at a moderate rate.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { UpstreamMember } from "../testing/fleet_member.ts";
import { Random } from "./load/random.ts";
import { DurationHistogram, type Quantiles } from "./load/report.ts";

/** Latency of one kind of request. */
export interface LatencyFigures {
  readonly direct: Quantiles;
  readonly routed: Quantiles;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly failed: number;
}

/** Options of the latency measurement. */
export interface LatencyOptions {
  readonly routers: readonly string[];
  readonly upstreams: readonly UpstreamMember[];
  readonly key: string;
  readonly seed: number;
  /** Number of pairs of a direct and a routed request. */
  readonly pairs: number;
  /** Requests per second, direct and routed ones together. */
  readonly rate: number;
}

interface RequestTarget {
  readonly address: string;
  readonly times: DurationHistogram;
}

type Sender = (address: string, number: number) => Promise<number>;

const MS_PER_SECOND = 1_000;

/** Measures the latency of reads of `path` from the plain services. */
export function measurePlainLatency(
  options: LatencyOptions & { path: string },
): Promise<LatencyFigures> {
  const agent = new Agent();
  return measurePairs(options, async (address) => {
    const answer = await agent.request({
      origin: `http://${address}`,
      method: "GET",
      path: options.path,
      headers: { authorization: `Bearer ${options.key}` },
    });
    await answer.body.dump();
    return answer.statusCode;
  }).finally(() => agent.destroy());
}

/** Measures the latency of chat streams of one token. */
export function measureChatLatency(
  options: LatencyOptions & { model: string },
): Promise<LatencyFigures> {
  const agent = new Agent();
  return measurePairs(options, async (address, number) => {
    const answer = await agent.request({
      origin: `http://${address}`,
      method: "POST",
      path: "/v1/chat/completions",
      headers: {
        "authorization": `Bearer ${options.key}`,
        "content-type": "application/json",
        "x-chat-id": `latency-${options.seed}-${number}`,
      },
      body: JSON.stringify({
        model: options.model,
        messages: [{ role: "user", content: `question ${number}` }],
        "max_tokens": 1,
        stream: true,
      }),
    });
    await answer.body.dump();
    return answer.statusCode;
  }).finally(() => agent.destroy());
}

async function measurePairs(
  { routers, upstreams, pairs, rate, seed }: LatencyOptions,
  send: Sender,
): Promise<LatencyFigures> {
  const random = new Random(seed);
  const direct = new DurationHistogram();
  const routed = new DurationHistogram();
  let failed = 0;
  const pending: Promise<void>[] = [];
  async function run(
    { address, times }: RequestTarget,
    number: number,
  ): Promise<void> {
    const started = performance.now();
    const status = await send(address, number).catch(() => 0);
    if (status === 200) times.record(performance.now() - started);
    else failed++;
  }
  for (let pair = 0; pair < pairs; pair++) {
    const calls = [
      { address: random.pick(upstreams).address, times: direct },
      { address: random.pick(routers), times: routed },
    ];
    for (const call of calls) {
      pending.push(run(call, 2 * pair + calls.indexOf(call)));
      await sleep(random.nextExponential(MS_PER_SECOND / rate));
    }
  }
  await Promise.all(pending);
  return summarise(direct, { routed, failed });
}

function summarise(
  direct: DurationHistogram,
  { routed, failed }: { routed: DurationHistogram; failed: number },
): LatencyFigures {
  const directQuantiles = direct.getQuantiles();
  const routedQuantiles = routed.getQuantiles();
  return {
    direct: directQuantiles,
    routed: routedQuantiles,
    addedP50Ms: routedQuantiles.p50 - directQuantiles.p50,
    addedP99Ms: routedQuantiles.p99 - directQuantiles.p99,
    failed,
  };
}
