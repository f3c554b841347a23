import {
  BASELINE_NAMES,
  type BaselineName,
  loadBaselinePolicy,
  type UpstreamView,
} from "./baselines_policy.ts";

function createView(
  name: string,
  fields: Partial<UpstreamView> = {},
): UpstreamView {
  const limits = { hardLimit: 16, coldLimit: 2 };
  const state = { inFlight: 0, isUsable: true, isCold: false };
  return { name, ...state, ...limits, ...fields };
}

const upstreams = [
  createView("a", { inFlight: 6 }),
  createView("b", { inFlight: 1 }),
  createView("c", { isUsable: false }),
];
const request = { chat: "chat-1", tried: [], waitedMs: 0 };

function loadPolicy(name: BaselineName) {
  return loadBaselinePolicy(name, { loadFactor: 1.25 });
}

describe("createBaselinePolicy", () => {
  test.each(BASELINE_NAMES)(
    "%s chooses only usable upstreams that were not tried",
    async (name) => {
      const policy = await loadPolicy(name);
      for (let turn = 0; turn < 4; turn++) {
        const tried = { ...request, tried: ["a"] };
        expect(policy.choose(tried, upstreams)).toBe(upstreams[1]);
      }
      const none = { ...request, tried: ["a", "b"] };
      expect(policy.choose(none, upstreams)).toBeUndefined();
    },
  );

  test("the bound waits for a full home, then takes another", async () => {
    const policy = await loadPolicy("bound");
    policy.recordServed("chat-1", "a");
    expect(policy.choose(request, upstreams)).toBe("wait");
    const late = { ...request, waitedMs: 5_000 };
    expect(policy.choose(late, upstreams)).toBe(upstreams[1]);
    policy.recordRestart("a");
    expect(policy.choose(request, upstreams)).toBe(upstreams[1]);
  });

  test("the bound applies the cold limit to a cold upstream", async () => {
    const policy = await loadPolicy("bound");
    const cold = [
      createView("a", { isCold: true, inFlight: 2 }),
      createView("b", { inFlight: 5 }),
    ];
    expect(policy.choose(request, cold)).toBe("wait");
  });
});
