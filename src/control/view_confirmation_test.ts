import { Err, Ok } from "ts-results/result";
import type { StoreVersions } from "../platform/metadata_store.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { ViewConfirmation } from "./view_confirmation.ts";

const RECORD = { service: "engine", versions: [] };

/** A store and a view of it, at revisions that the test sets. */
class View {
  revision = 5;
  era = 0;
  storeRevision = 5;
  isDown = false;
  readonly events: string[] = [];
  readonly confirmation = new ViewConfirmation({
    store: { readVersions: () => Promise.resolve(this.#read()) },
    clock: () => performance.now(),
    hasRevision: (revision, era) =>
      era === this.era && this.revision >= revision,
    onBehind: () => this.events.push("behind"),
    onVersions: ({ service }) => this.events.push(service),
  });

  #read() {
    this.events.push("read");
    const value: StoreVersions = {
      records: [RECORD],
      revision: this.storeRevision,
      era: 0,
    };
    return this.isDown
      ? Err(new PlatformFailure("unavailable", "down"))
      : Ok(value);
  }
}

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

test("a view that has the store's revision is confirmed", async () => {
  const view = new View();
  const confirmed = view.confirmation.confirm();
  await jest.advanceTimersByTimeAsync(1);
  expect(await confirmed).toBe(true);
  expect(view.events).toEqual(["read", "engine"]);
});

// Guards against a view that is behind and counts as proof (ORDER).
test("a view that is behind is confirmed once it has caught up", async () => {
  const view = new View();
  view.storeRevision = 7;
  const confirmed = view.confirmation.confirm();
  await jest.advanceTimersByTimeAsync(10);
  expect(view.events).toEqual(["read", "engine", "behind"]);
  view.revision = 6;
  view.confirmation.recordAdvance();
  view.revision = 7;
  const at = performance.now();
  view.confirmation.recordAdvance();
  expect(await confirmed).toBe(true);
  expect(performance.now()).toBe(at);
});

test.each(["behind", "down", "other-era", "closed"])(
  "a view is not confirmed: %s",
  async (kind) => {
    const view = new View();
    if (kind === "behind") view.storeRevision = 7;
    if (kind === "down") view.isDown = true;
    if (kind === "other-era") view.era = 1;
    const confirmed = view.confirmation.confirm();
    if (kind === "closed") view.confirmation.close();
    await jest.advanceTimersByTimeAsync(1_001);
    expect(await confirmed).toBe(false);
  },
);

// Guards against a read for each stream, and against a question that is answered
// by a read which was sent before it arrived (ORDER).
test("questions share the next read, never an earlier one", async () => {
  const view = new View();
  const first = [view.confirmation.confirm(), view.confirmation.confirm()];
  await jest.advanceTimersByTimeAsync(1);
  const later = [view.confirmation.confirm(), view.confirmation.confirm()];
  view.storeRevision = 7;
  expect(await Promise.all(first)).toEqual([true, true]);
  await jest.advanceTimersByTimeAsync(1_251);
  expect(await Promise.all(later)).toEqual([false, false]);
  expect(view.events.filter((event) => event === "read")).toHaveLength(2);
});
