import { VersionHistory } from "./version_history.ts";

const SPAN_MS = 10_000;

function createHistory(): VersionHistory {
  const history = new VersionHistory();
  history.recordSeen("engine", "v1", 0);
  return history;
}

function find(
  history: VersionHistory,
  now: number,
  registered: readonly (string | undefined)[] = ["v1"],
) {
  return history.find("engine", { registered, now, spanMs: SPAN_MS });
}

// Pattern: a service has had one version for as long as streams last.
test("a version that was the only one for the whole span is known", () => {
  const history = createHistory();
  history.recordSeen("other", "v7", 9_000);
  expect(find(history, 10_000)).toEqual({ kind: "sole", version: "v1" });
});

// Guards against a router that has just started and guesses.
test("no version is known before the history covers the span", () => {
  const history = createHistory();
  expect(find(history, 9_999)).toEqual({ kind: "unknown" });
  expect(find(new VersionHistory(), 20_000)).toEqual({ kind: "unknown" });
  expect(find(history, 9_999, ["v1", "v2"])).toEqual({ kind: "several" });
});

test("a second version ends that until it was gone for the span", () => {
  const history = createHistory();
  expect(find(history, 20_000, ["v1", "v2"])).toEqual({ kind: "several" });
  history.recordSeen("engine", "v2", 20_000);
  expect(find(history, 30_000)).toEqual({ kind: "several" });
  expect(find(history, 30_001)).toEqual({ kind: "sole", version: "v1" });
});

test("an upstream whose version is unknown may have any", () => {
  const history = createHistory();
  expect(find(history, 20_000, ["v1", undefined])).toEqual({ kind: "several" });
  expect(find(history, 20_000, [undefined])).toEqual({ kind: "unknown" });
  expect(find(history, 20_000, [])).toEqual({ kind: "unknown" });
});

const WALL_MS = 1_000_000;

function createRestarted(goneAt: number | undefined): VersionHistory {
  const history = new VersionHistory();
  const versions = [{ version: "v1", goneAt }];
  const now = { steady: 0, wall: WALL_MS };
  history.recordVersions({ service: "engine", versions }, now);
  history.recordSeen("engine", "v2", 0);
  return history;
}

// Pattern: all routers end just after a version has left.
test("a version that left before the start counts until the span is over", () => {
  // The allowance for differing clocks keeps it for 10 s more.
  const history = createRestarted(WALL_MS - 5_000);
  expect(find(history, 10_000, ["v2"])).toEqual({ kind: "several" });
  expect(find(history, 10_001, ["v2"])).toEqual({
    kind: "sole",
    version: "v2",
  });
});

test("a version that left long before the start does not count", () => {
  const history = createRestarted(WALL_MS - 30_000);
  expect(find(history, 0, ["v2"])).toEqual({ kind: "sole", version: "v2" });
});

// Guards against streams that are refused in the first seconds of a fleet.
test("the first router of a fleet knows that there were no streams before", () => {
  const history = new VersionHistory();
  history.recordFirstStart();
  expect(find(history, 0)).toEqual({ kind: "sole", version: "v1" });
});
