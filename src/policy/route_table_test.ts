import type { RoutingConfiguration, ServiceRoute } from "../routing/types.ts";
import { type Hash, loadHash } from "./rendezvous.ts";
import { pickTarget, RouteTable } from "./route_table.ts";

let hash: Hash;

beforeAll(async () => {
  hash = await loadHash();
});

function createRoute(fields: Partial<ServiceRoute>): ServiceRoute {
  return {
    name: "route",
    host: "h.example",
    prefix: "/",
    kind: "idempotent",
    targets: [{ service: "svc", weight: 1 }],
    timeoutMs: 1_000,
    objectiveMs: 100,
    maxAttempts: 1,
    priority: 1,
    isPublic: false,
    isSticky: false,
    isResumable: false,
    ...fields,
  };
}

function createTable(fields: Partial<RoutingConfiguration>): RouteTable {
  return new RouteTable({
    version: 1,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: undefined,
    ...fields,
  });
}

test("finds the route with the longest prefix of the host", () => {
  const table = createTable({
    routes: [
      createRoute({ name: "short", prefix: "/a/" }),
      createRoute({ name: "long", prefix: "/a/b/" }),
      createRoute({ name: "other", prefix: "/a/", host: "o.example" }),
    ],
  });
  const find = (host: string, path: string) =>
    table.findRoute(host, path)?.name;
  expect(find("h.example", "/a/b/c")).toBe("long");
  expect(find("H.example:80", "/a/bc")).toBe("short");
  expect(find("h.example", "/b/")).toBeUndefined();
  expect(find("none.example", "/a/")).toBeUndefined();
});

test("picks targets by weight and the same target for equal keys", () => {
  const route = createRoute({
    targets: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }],
  });
  const picked = Array.from(
    { length: 2_000 },
    (_, key) => pickTarget(route, `key-${key}`, { hash }),
  );
  const share = picked.filter((each) => each === "b").length / picked.length;
  expect(share).toBeGreaterThan(0.07);
  expect(share).toBeLessThan(0.13);
  expect(pickTarget(route, "key-1", { hash })).toBe(picked[1]);
});

test("finds workspaces by key; public routes and fleets without keys need none", () => {
  const table = createTable({
    workspaces: [{ name: "w", keys: ["k1", "k2"], priority: 1 }],
  });
  expect(table.findWorkspace("k2")?.name).toBe("w");
  expect(table.findWorkspace("k3")).toBeUndefined();
  expect(table.isKeyRequired(createRoute({}))).toBe(true);
  expect(table.isKeyRequired(createRoute({ isPublic: true }))).toBe(false);
  expect(createTable({}).isKeyRequired(createRoute({}))).toBe(false);
});
