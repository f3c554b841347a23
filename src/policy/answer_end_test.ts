import { type Contact, FramingHistory, judgeEnd } from "./answer_end.ts";

// Guards against half of an answer that passes for the whole since something
// listens at the address of its upstream (MIXED).
test("what the close of an answer without a length means", () => {
  const rows: Record<string, string> = {};
  const contacts: Contact[] = ["accepted", "refused", "silent", "pending"];
  for (const contact of contacts) {
    for (const hasOldConnection of [true, false]) {
      for (const process of [undefined, "same", "other", "unknown"] as const) {
        const old = hasOldConnection ? "old connection open" : "none open";
        rows[`${contact}, ${old}, process ${process}`] = judgeEnd({
          hasOldConnection,
          contact,
          process,
        });
      }
    }
  }
  expect(rows).toMatchSnapshot();
});

// Guards against the first answer without a length of a service, a booking, that
// is lost although its upstream is sound.
test("a listener proves the end only if asked after the wait", () => {
  const evidence = { hasOldConnection: false, contact: "accepted" } as const;
  expect(judgeEnd(evidence)).toBe("unproven");
  expect(judgeEnd({ ...evidence, laterContact: "accepted" })).toBe("whole");
  expect(judgeEnd({ ...evidence, laterContact: "refused" })).toBe("cut");
  expect(judgeEnd({ ...evidence, laterContact: "silent" })).toBe("unproven");
  const other = { ...evidence, process: "other" } as const;
  expect(judgeEnd({ ...other, laterContact: "accepted" })).toBe("cut");
});

test("a service that has answered without a length may do so again", () => {
  const history = new FramingHistory();
  expect(history.mayBeUnframed("plain")).toBe(true);
  history.record("plain", { status: 503, isFramed: true });
  expect(history.mayBeUnframed("plain")).toBe(true);
  history.record("plain", { status: 200, isFramed: true });
  expect(history.mayBeUnframed("plain")).toBe(false);
  history.record("plain", { status: 404, isFramed: false });
  history.record("plain", { status: 200, isFramed: true });
  expect(history.mayBeUnframed("plain")).toBe(true);
});
