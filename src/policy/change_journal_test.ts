import type { StoreChange, UpstreamEntry } from "../routing/types.ts";
import { ChangeJournal } from "./change_journal.ts";

const GONE: StoreChange = { kind: "upstream-gone", id: "a" };
const OUT: StoreChange = { kind: "domain-out", failureDomain: "east" };

const COLD: UpstreamEntry = {
  id: "a",
  service: "svc",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: "ready",
  coldLeftMs: 3_000,
  bornAt: 1,
};

function createJournal(): ChangeJournal {
  const journal = new ChangeJournal();
  journal.note({ kind: "upstream", entry: COLD });
  journal.advance(100, 0);
  return journal;
}

test("changes after a revision are told in order", () => {
  const journal = createJournal();
  journal.note(GONE);
  journal.advance(110, 0);
  journal.advance(115, 0);
  journal.note(OUT);
  journal.advance(120, 0);
  expect(journal.revision).toBe(120);
  expect(journal.since(100, 0)).toEqual([GONE, OUT]);
  expect(journal.since(105, 0)).toEqual([GONE, OUT]);
  expect(journal.since(110, 0)).toEqual([OUT]);
  expect(journal.since(130, 0)).toEqual([]);
});

test("what came before the first snapshot can't be told", () => {
  expect(createJournal().since(99, 0)).toBeUndefined();
  expect(new ChangeJournal().since(0, 0)).toBeUndefined();
});

test("a change whose neighbours may be missing waits for a snapshot", () => {
  const journal = createJournal();
  journal.note(GONE);
  expect(journal.since(100, 0)).toEqual([]);
  expect(journal.revision).toBe(100);
  journal.note(OUT);
  journal.advance(140, 0);
  expect(journal.since(100, 0)).toEqual([GONE, OUT]);
});

test("the time that an upstream is cold goes on", () => {
  const journal = createJournal();
  journal.note({ kind: "upstream", entry: COLD });
  journal.advance(110, 1_000);
  expect(journal.since(100, 2_500)).toEqual([
    { kind: "upstream", entry: { ...COLD, coldLeftMs: 1_500 } },
  ]);
  expect(journal.since(100, 9_000)).toEqual([
    { kind: "upstream", entry: { ...COLD, coldLeftMs: 0 } },
  ]);
});

test("only so many changes are kept", () => {
  const journal = createJournal();
  for (let revision = 101; revision <= 800; revision++) {
    journal.note(GONE);
    journal.advance(revision, 0);
  }
  expect(journal.since(100, 0)).toBeUndefined();
  expect(journal.since(288, 0)).toHaveLength(512);
  expect(journal.since(287, 0)).toBeUndefined();
});
