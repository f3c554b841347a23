import { findCacheSource } from "./cache_source.ts";

const OLD = { ageMs: 60_000, isReachable: true };
const YOUNG = { ageMs: 500, isReachable: true };

test("a new home copies from the one before it, an old one from none", () => {
  const ranking = [
    { id: "new", ...YOUNG },
    { id: "home", ...OLD },
    { id: "spare", ...OLD },
  ];
  expect(findCacheSource(ranking, "new")).toBe("home");
  expect(findCacheSource(ranking, "home")).toBeUndefined();
  expect(findCacheSource(ranking, "spare")).toBe("home");
});

test("nothing is copied from what can't be reached", () => {
  const ranking = [
    { id: "home", ...OLD, isReachable: false },
    { id: "spare", ...OLD },
  ];
  expect(findCacheSource(ranking, "spare")).toBeUndefined();
});
