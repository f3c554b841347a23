import fc from "fast-check";
import {
  type EventAction,
  EventOrder,
  type OrderedEvent,
  type StreamPosition,
} from "./event_order.ts";

/** The order of a stream whose responses come one after the other. */
class SequentialOrder {
  readonly #order: EventOrder;
  #response;

  constructor(resumedFrom?: string) {
    this.#order = new EventOrder(resumedFrom);
    this.#response = this.#order.beginResponse();
  }

  beginResponse(): string | undefined {
    this.#response = this.#order.beginResponse();
    return this.#response.resumeAfter;
  }

  receive(event: OrderedEvent): EventAction {
    return this.#order.receive(event, this.#response);
  }

  recordPosition(position: StreamPosition): void {
    this.#order.recordPosition(position);
  }

  get position(): StreamPosition | undefined {
    return this.#order.position;
  }

  get canContinue(): boolean {
    return this.#order.canContinue;
  }

  get canEnd(): boolean {
    return this.#order.canEnd(this.#response);
  }

  get fault(): string {
    return this.#response.fault;
  }
}

/** Passes events to `order`; returns the texts of those that it forwards. */
function receiveAll(
  order: SequentialOrder,
  ids: readonly (string | undefined)[],
): { forwarded: (string | undefined)[]; end: EventAction } {
  const forwarded = [];
  for (const idText of ids) {
    const action = order.receive({ idText, hasData: true });
    if (action === "gap" || action === "disorder") {
      return { forwarded, end: action };
    }
    if (action === "pass") forwarded.push(idText);
  }
  return { forwarded, end: "pass" };
}

/** Ids of a whole stream, which rise by any steps. */
const streams = fc.array(fc.bigInt({ min: 1n, max: 2n ** 80n }), {
  minLength: 3,
  maxLength: 12,
}).map((steps) => {
  let id = 0n;
  return steps.map((step) => String(id += step));
});
/** Streams whose ids count the events. */
const countedStreams = fc.integer({ min: 3, max: 12 }).map((length) =>
  Array.from({ length }, (_, index) => String(index + 1))
);
const cutStreams = fc.oneof(streams, countedStreams).chain((ids) =>
  fc.record({
    ids: fc.constant(ids),
    cut: fc.integer({ min: 0, max: ids.length - 1 }),
  })
);

function listAfter(ids: readonly string[], after: string | undefined) {
  return after === undefined
    ? [...ids]
    : ids.filter((id) => BigInt(id) > BigInt(after));
}

// Guards against streams that are cut off since their ids rise by more than one
// (LOST), with and without another upstream that continues them.
test("streams of any ids are continued where the next upstream is told to", () => {
  fc.assert(
    fc.property(cutStreams, fc.boolean(), ({ ids, cut }, isObeyed) => {
      const order = new SequentialOrder();
      expect(order.beginResponse()).toBeUndefined();
      const first = receiveAll(order, ids.slice(0, cut));
      const after = order.beginResponse();
      const rest = receiveAll(order, isObeyed ? listAfter(ids, after) : ids);
      expect([...first.forwarded, ...rest.forwarded]).toEqual(ids);
      expect(order.canEnd).toBe(true);
    }),
    { seed: 61, numRuns: 300 },
  );
});

// Guards against an upstream that continues a stream too late, so that an event
// is missing from a complete answer (ORDER).
test("a response that leaves out an event is never continued", () => {
  fc.assert(
    fc.property(cutStreams, ({ ids, cut }) => {
      const order = new SequentialOrder();
      order.beginResponse();
      receiveAll(order, ids.slice(0, cut));
      if (cut === 0) return;
      order.beginResponse();
      const rest = receiveAll(order, ids.slice(cut + 1));
      expect(rest.forwarded).toEqual([]);
      expect(rest.end === "gap" || !order.canEnd || cut + 1 === ids.length)
        .toBe(true);
    }),
    { seed: 61, numRuns: 300 },
  );
});

// Guards against a response that repeats a stream's begin and ends early, which
// would pass for the rest of the stream (ORDER).
test("a response that ends while it repeats events is not the rest", () => {
  const order = new SequentialOrder();
  order.beginResponse();
  receiveAll(order, ["6", "12"]);
  order.beginResponse();
  expect(order.canEnd).toBe(false);
  receiveAll(order, ["6"]);
  expect(order.canEnd).toBe(false);
  receiveAll(order, ["12"]);
  expect(order.canEnd).toBe(true);
});

test("what the caller has is dropped, and a later event of any id is next", () => {
  const order = new SequentialOrder("12");
  expect(order.beginResponse()).toBeUndefined();
  expect(receiveAll(order, ["18", "24"]).forwarded).toEqual(["18", "24"]);
  const replayed = new SequentialOrder("12");
  replayed.beginResponse();
  expect(receiveAll(replayed, ["6", "12", "18"]).forwarded).toEqual(["18"]);
  // These events are not those of which the caller has the twelfth.
  const other = new SequentialOrder("12");
  other.beginResponse();
  expect(receiveAll(other, ["5", "10", "15"]))
    .toEqual({ forwarded: [], end: "gap" });
});

// Guards against an upstream that goes on too late where the caller resumes a
// stream of which another request has forwarded the events before (ORDER).
test("a caller's stream goes on right behind where it has ended", () => {
  fc.assert(
    fc.property(cutStreams, ({ ids, cut }) => {
      const first = new SequentialOrder();
      first.beginResponse();
      receiveAll(first, ids.slice(0, cut));
      const { position } = first;
      fc.pre(position?.secondLastId !== undefined);
      const create = () => {
        const order = new SequentialOrder(ids[cut - 1]);
        order.recordPosition(position!);
        return { order, after: order.beginResponse() ?? ids[cut - 1] };
      };
      const { order, after } = create();
      expect(receiveAll(order, listAfter(ids, after)).forwarded)
        .toEqual(ids.slice(cut));
      const { order: late } = create();
      expect(receiveAll(late, ids.slice(cut + 1)).forwarded).toEqual([]);
    }),
    { seed: 61, numRuns: 300 },
  );
});

// A position that is not that of the caller says nothing of what is next.
test("a caller that has less than was forwarded resumes where it is", () => {
  const order = new SequentialOrder("12");
  const position = { lastId: "18", secondLastId: "12", isCounted: false };
  order.recordPosition(position);
  expect(order.beginResponse()).toBeUndefined();
  expect(receiveAll(order, ["18", "24"]).forwarded).toEqual(["18", "24"]);
});

test("ids of one response that fall end it", () => {
  const order = new SequentialOrder();
  order.beginResponse();
  expect(receiveAll(order, ["4711", "4711", "4702", "4712"]))
    .toEqual({ forwarded: ["4711"], end: "disorder" });
  expect(order.fault).toBe("event 4702 comes after 4711");
});

// Guards against an event without an id that comes twice after another upstream
// has continued the stream (ORDER).
test("a stream is not continued after an event without an id", () => {
  const order = new SequentialOrder();
  order.beginResponse();
  expect(receiveAll(order, ["6", undefined]).forwarded)
    .toEqual(["6", undefined]);
  expect(order.canContinue).toBe(false);
  expect(receiveAll(order, ["12"]).forwarded).toEqual(["12"]);
  expect(order.canContinue).toBe(true);
  expect(order.beginResponse()).toBe("6");
  expect(receiveAll(order, [undefined, "12", undefined, "18"]).forwarded)
    .toEqual([undefined, "18"]);
});

test("what has no data is forwarded and changes nothing", () => {
  const order = new SequentialOrder();
  order.beginResponse();
  receiveAll(order, ["6", "12"]);
  const nothing = { idText: undefined, hasData: false };
  expect(order.receive(nothing)).toBe("pass");
  expect(order.canContinue).toBe(true);
  expect(order.beginResponse()).toBe("6");
  expect(order.receive(nothing)).toBe("pass");
});

test("ids are named as the upstream wrote them", () => {
  const order = new SequentialOrder();
  order.beginResponse();
  receiveAll(order, ["007", "010"]);
  expect(order.beginResponse()).toBe("007");
  expect(receiveAll(order, ["010", "013"]).forwarded).toEqual(["013"]);
});

// Guards against a response that is judged by the events of another one which is
// open at the same time (ORDER).
test("two open responses are each put in order", () => {
  const order = new EventOrder();
  const first = order.beginResponse();
  const receive = (idText: string, response = first) =>
    order.receive({ idText, hasData: true }, response);
  expect([receive("6"), receive("12")]).toEqual(["pass", "pass"]);
  const second = order.beginResponse();
  expect(second.resumeAfter).toBe("6");
  expect(order.canEnd(second)).toBe(false);
  expect(receive("12", second)).toBe("drop");
  expect([order.canEnd(first), order.canEnd(second)]).toEqual([true, true]);
  expect(receive("18", second)).toBe("pass");
  expect(order.position?.lastId).toBe("18");
});
