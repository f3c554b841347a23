import type { PoolSummary } from "../control/pool_summary.ts";
import { createMetrics, setUpstreamGauges } from "./metrics.ts";

function createPoolSummary(owner: string): PoolSummary {
  const upstream = { name: "u1" } as PoolSummary["upstreams"][0]["upstream"];
  return {
    service: "chat",
    owner,
    upstreams: [{ upstream, inFlight: 3, limit: 8 }],
  } as unknown as PoolSummary;
}

test("the upstream gauges cover only the pools that the router owns", async () => {
  const metrics = createMetrics();
  const gauges = [metrics.upstreamInFlight, metrics.upstreamLimit];
  async function read() {
    const all = await Promise.all(gauges.map((gauge) => gauge.get()));
    return all.map(({ values }) => values.map(({ value }) => value));
  }
  setUpstreamGauges(
    metrics,
    [createPoolSummary("r1"), createPoolSummary("r2")],
    { owner: "r1" },
  );
  expect(await read()).toEqual([[3], [8]]);
  setUpstreamGauges(metrics, [createPoolSummary("r2")], { owner: "r1" });
  expect(await read()).toEqual([[], []]);
});
