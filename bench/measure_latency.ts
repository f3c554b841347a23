/**
 * Added latency: the same small requests sent by turns straight to an upstream
 * and through a router, at a moderate rate.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { UpstreamMember } from "../testing/fleet_member.ts";
import { Random } from "./load/random.ts";
import { type Quantiles, Times } from "./load/report.ts";

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
  /** Pairs of requests. */
  readonly pairs: number;
  /** Requests a second, direct and routed ones together. */
  readonly rate: number;
}

interface Call {
  readonly address: string;
  readonly times: Times;
}

type Sender = (address: string, number: number) => Promise<number>;

const MS_PER_SECOND = 1_000;

/** Measures reads at the plain services at `path`. */
export function measurePlainLatency(
  options: LatencyOptions & { path: string },
): Promise<LatencyFigures> {
  const agent = new Agent();
  return measure(options, async (address) => {
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

/** Measures the first token of one-token chat streams. */
export function measureChatLatency(
  options: LatencyOptions & { model: string },
): Promise<LatencyFigures> {
  const agent = new Agent();
  return measure(options, async (address, number) => {
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

async function measure(
  { routers, upstreams, pairs, rate, seed }: LatencyOptions,
  send: Sender,
): Promise<LatencyFigures> {
  const random = new Random(seed);
  const direct = new Times();
  const routed = new Times();
  let failed = 0;
  const open: Promise<void>[] = [];
  async function run({ address, times }: Call, number: number): Promise<void> {
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
      open.push(run(call, 2 * pair + calls.indexOf(call)));
      await sleep(random.nextExponential(MS_PER_SECOND / rate));
    }
  }
  await Promise.all(open);
  return summarise(direct, { routed, failed });
}

function summarise(
  direct: Times,
  { routed, failed }: { routed: Times; failed: number },
): LatencyFigures {
  const without = direct.getQuantiles();
  const through = routed.getQuantiles();
  return {
    direct: without,
    routed: through,
    addedP50Ms: through.p50 - without.p50,
    addedP99Ms: through.p99 - without.p99,
    failed,
  };
}
