/** A router that starts after the store has returned to an older copy. */
import { chooseStartPeers } from "./start_peers.ts";

const ROUTERS = Array.from({ length: 40 }, (_, index) => `router-${index}`);

test("a store that never returned to a copy needs no other router", () => {
  const options = { era: 0, self: "router-0", random: () => 0 };
  expect(chooseStartPeers(ROUTERS, options)).toEqual([]);
});

test("a few other routers are asked, each once", () => {
  const options = { era: 1, self: "router-0", random: () => 0.99 };
  expect(chooseStartPeers(ROUTERS, options)).toEqual([
    "router-39",
    "router-38",
    "router-37",
    "router-36",
    "router-35",
  ]);
});

test("a small fleet is asked as a whole", () => {
  const options = { era: 2, self: "router-1", random: () => 0 };
  expect(chooseStartPeers(ROUTERS.slice(0, 3), options))
    .toEqual(["router-0", "router-2"]);
});

test("a router that is alone asks nobody", () => {
  const options = { era: 1, self: "router-0", random: () => 0 };
  expect(chooseStartPeers(["router-0"], options)).toEqual([]);
});
