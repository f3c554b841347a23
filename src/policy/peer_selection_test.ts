import type { Router } from "../types.ts";
import { selectPeers } from "./peer_selection.ts";

function createRouters(count: number): Router[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `router-${String(index).padStart(3, "0")}`,
    failureDomain: "a",
    controlAddress: "127.0.0.1:1",
    forwardAddress: "127.0.0.1:2",
  }));
}

function select(routers: readonly Router[], self: string): string[] {
  return selectPeers(routers, { self, poolPeers: [] })
    .map(({ name }) => name);
}

test("connects every router to every other in a small fleet", () => {
  expect(select(createRouters(6), "router-002")).toHaveLength(5);
});

test("selects few peers in a large fleet, symmetric and connected", () => {
  const routers = createRouters(330);
  const reached = new Set(["router-000"]);
  for (const name of reached) {
    for (const peer of select(routers, name)) {
      expect(select(routers, peer)).toContain(name);
      reached.add(peer);
    }
    expect(select(routers, name)).toHaveLength(4);
  }
  expect(reached.size).toBe(330);
});

test("selects routers that share a pool", () => {
  const peers = selectPeers(createRouters(330), {
    self: "router-010",
    poolPeers: ["router-200"],
  });
  expect(peers.map(({ name }) => name)).toContain("router-200");
});
