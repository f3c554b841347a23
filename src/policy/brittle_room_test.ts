/** Tests of the room at upstreams that fall over from rejections. */
import {
  getBrittleRoom,
  getRejectionPause,
  SlotShares,
} from "./brittle_room.ts";
import { loadHash } from "./rendezvous.ts";

const UPSTREAM = { load: 0, own: 0, slots: 20, share: 3, hasAllowance: false };

// Pattern: more requests than the upstreams can run, and loads that lag.
test("a router uses its share, and more while few slots are taken", () => {
  expect(getBrittleRoom({ ...UPSTREAM, load: 4, own: 4 })).toBe("free");
  expect(getBrittleRoom({ ...UPSTREAM, load: 5, own: 4 })).toBe("none");
  expect(getBrittleRoom({ ...UPSTREAM, load: 19, own: 2 })).toBe("free");
  expect(getBrittleRoom({ ...UPSTREAM, load: 20, own: 2 })).toBe("none");
});

test("a router goes beyond its share at the cost of a rejection", () => {
  const full = { ...UPSTREAM, own: 3, hasAllowance: true };
  expect(getBrittleRoom({ ...full, load: 15 })).toBe("at-risk");
  expect(getBrittleRoom({ ...full, load: 20 })).toBe("none");
});

// Guards against routers that each keep to a share, and together exceed the slots.
test.each([[6, 64], [12, 8], [74, 32], [195, 16], [1, 1]])(
  "the shares of %d routers add up to fewer than %d slots",
  async (count, slots) => {
    const hash = await loadHash();
    const names = Array.from(
      { length: count },
      (_, index) => `router-${index}`,
    );
    const routers = new Map(names.map((name) => [name, ""]));
    const total = names.reduce((sum, self) => {
      const shares = new SlotShares({ self, hash });
      return sum + shares.getShare("up-1", { slots, routers, now: 0 });
    }, 0);
    expect(total).toBe(Math.max(1, Math.floor(slots * 0.9)));
  },
);

// Guards against routers that are all wrong at once, each for a single request.
test.each([
  { routers: 6, limit: 4, pauseMs: 1_500 },
  { routers: 6, limit: 50, pauseMs: 500 },
  { routers: 200, limit: 4, pauseMs: 4_000 },
  { routers: 6, limit: 0, pauseMs: 4_000 },
])(
  "$routers routers pause for $pauseMs ms after a rejection of $limit",
  ({ routers, limit, pauseMs }) => {
    expect(getRejectionPause({ routers, limit })).toBe(pauseMs);
  },
);
