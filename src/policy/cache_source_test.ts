import { findCacheSource } from "./cache_source.ts";

const OLD = { ageMs: 60_000, isReachable: true };
const YOUNG = { ageMs: 500, isReachable: true };

test("a new upstream copies from the established one ranked first", () => {
  const ranking = [
    { id: "new", ...YOUNG },
    { id: "home", ...OLD },
    { id: "spare", ...OLD },
  ];
  expect(findCacheSource(ranking, "new")).toBe("home");
  expect(findCacheSource(ranking, "home")).toBeUndefined();
  expect(findCacheSource(ranking, "spare")).toBe("home");
});

test("nothing is copied from an unreachable upstream", () => {
  const ranking = [
    { id: "home", ...OLD, isReachable: false },
    { id: "spare", ...OLD },
  ];
  expect(findCacheSource(ranking, "spare")).toBeUndefined();
});
