import type { PoolSummary } from "../control/pool_summary.ts";
import { createMetrics, setUpstreamGauges } from "./metrics.ts";

function pool(owner: string): PoolSummary {
  const upstream = { name: "u1" } as PoolSummary["upstreams"][0]["upstream"];
  return {
    service: "chat",
    owner,
    upstreams: [{ upstream, inFlight: 3, limit: 8 }],
  } as unknown as PoolSummary;
}

test("the gauges of the upstreams are those of the pools that it owns", async () => {
  const metrics = createMetrics();
  const gauges = [metrics.upstreamInFlight, metrics.upstreamLimit];
  async function read() {
    const all = await Promise.all(gauges.map((gauge) => gauge.get()));
    return all.map(({ values }) => values.map(({ value }) => value));
  }
  setUpstreamGauges(metrics, [pool("r1"), pool("r2")], { owner: "r1" });
  expect(await read()).toEqual([[3], [8]]);
  setUpstreamGauges(metrics, [pool("r2")], { owner: "r1" });
  expect(await read()).toEqual([[], []]);
});
