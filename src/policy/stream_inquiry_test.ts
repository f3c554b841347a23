import { decideInquiry, type InquiryState } from "./stream_inquiry.ts";
import { VersionHistory } from "./version_history.ts";

const SPAN_MS = 10_000;

function decide(fields: Partial<InquiryState>) {
  return decideInquiry({
    askedCount: 2,
    answers: [{ viewAgeMs: 100 }],
    isDue: false,
    view: "confirmed",
    findVersions: () => ({ kind: "sole", version: "v1" }),
    spanMs: SPAN_MS,
    elapsedMs: 0,
    ...fields,
  });
}

test("a stream is of the only version once the store and others say so", () => {
  expect([
    decide({}),
    decide({ askedCount: 0, answers: [] }),
    decide({ view: "pending" }),
    decide({ answers: [] }),
    decide({ answers: [], isDue: true }),
    decide({ view: "unconfirmed" }),
    decide({ view: "unconfirmed", isDue: true }),
    decide({ answers: [{ soleVersion: "v2" }, {}] }),
    decide({ answers: [{ hasSeveralVersions: true }, {}] }),
    decide({ findVersions: () => ({ kind: "several" }) }),
    decide({ findVersions: () => ({ kind: "unknown" }), isDue: true }),
  ]).toMatchSnapshot();
});

// Guards against a version that left just before the span of a stream that was
// asked for some time ago (ORDER).
test("the span of a stream ends when the question arrived", () => {
  const history = new VersionHistory();
  history.recordFirstStart();
  history.recordSeen("engine", "v1", 20_000);
  history.recordSeen("engine", "v2", 10_500);
  function decideAt(now: number) {
    return decide({
      elapsedMs: now - 20_000,
      findVersions: (spanMs) =>
        history.find("engine", { registered: ["v1"], now, spanMs }),
    });
  }
  for (const now of [20_000, 21_000]) {
    expect(decideAt(now).kind).toBe("pending");
  }
});
