import { countPorts, createFleetPlan } from "./fleet_plan.ts";

describe("createFleetPlan", () => {
  test("uses a deployment unchanged by default", () => {
    const plan = createFleetPlan({ deployment: "tuul" });
    expect(plan.usesDeploymentSettings).toBe(true);
    expect(plan.routers).toHaveLength(6);
    expect(plan.platform.keyValue).toBe("127.0.0.1:13379");
  });

  test("changes ports, counts and settings", () => {
    const plan = createFleetPlan({
      portBase: 20_000,
      routers: 2,
      upstreams: { assistant: 9, booking: 1 },
      settings: { timing: { "hold_down_ms": "10" } },
    });
    const upstreams = plan.manifest.services
      .flatMap(({ upstreams }) => upstreams)
      .map(({ name, host, address }) => ({ name, host, address }));
    const routers = plan.routers
      .map(({ name, callers, settings }) => ({ name, callers, settings }));
    expect(countPorts(plan)).toBe(19);
    expect({ ports: upstreams, routers, platform: plan.platform })
      .toMatchSnapshot();
  });
});
