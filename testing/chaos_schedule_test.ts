import { createChaosSchedule } from "./chaos_schedule.ts";

const targets = {
  routers: ["router-1", "router-2", "router-3"],
  engines: ["engine-1", "engine-2", "engine-3"],
  upstreams: ["engine-1", "engine-2", "engine-3", "plain-1"],
  failureDomains: ["a", "b"],
  hosts: ["host-1", "host-2", "host-3"],
};

describe("createChaosSchedule", () => {
  test("draws the same schedule from the same seed", () => {
    const options = { seed: 7, targets, durationMs: 40_000 };
    const schedule = createChaosSchedule(options);
    expect(createChaosSchedule(options)).toEqual(schedule);
    const lines = schedule.map(({ atMs, kind, target, durationMs }) =>
      `${atMs} ${kind} ${target} for ${durationMs}`
    );
    expect(lines).toMatchSnapshot();
  });

  test("ends every fault in time and never stops or pauses all routers at once", () => {
    for (let seed = 1; seed <= 50; seed++) {
      const durationMs = 60_000;
      const schedule = createChaosSchedule({ seed, targets, durationMs });
      const isLate = schedule.some(({ atMs, durationMs: faultMs }) =>
        atMs + faultMs > durationMs
      );
      expect(isLate).toBe(false);
      for (const { atMs } of schedule) {
        const concurrent = schedule.filter((event) =>
          event.kind.startsWith("router-") && event.atMs <= atMs &&
          event.atMs + event.durationMs >= atMs
        );
        const names = new Set(concurrent.map(({ target }) => target));
        expect(names.size).toBeLessThan(targets.routers.length);
      }
    }
  });

  test("draws simultaneous faults and repeated faults", () => {
    const schedule = createChaosSchedule({
      seed: 3,
      targets,
      durationMs: 300_000,
    });
    const times = schedule.map(({ atMs }) => atMs);
    expect(new Set(times).size).toBeLessThan(times.length);
    const isTwice = schedule.some((one) =>
      schedule.some((other) =>
        other.kind === one.kind && other.target === one.target &&
        other.atMs === one.atMs + one.durationMs + 300
      )
    );
    expect(isTwice).toBe(true);
  });
});
