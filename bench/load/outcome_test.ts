import type { Exchange } from "./exchange.ts";
import { classifyExchange } from "./outcome.ts";

const problem = {
  type: "urn:corianderflow:queue-full",
  status: 503,
  ran: "no",
};

function createExchange(fields: Partial<Exchange>): Exchange {
  return {
    status: 200,
    headers: {},
    text: "",
    // The outcome does not depend on the dispatcher.
    router: { address: "127.0.0.1:1" } as Exchange["router"],
    gapsMs: [],
    totalMs: 1,
    ...fields,
  };
}

function createRefusal(
  body: unknown,
  headers: Record<string, string> = { "retry-after": "2" },
): Exchange {
  const all = { "content-type": "application/problem+json", ...headers };
  const text = JSON.stringify(body);
  return createExchange({ status: 503, headers: all, text });
}

describe("classifyExchange", () => {
  test("accepts a valid refusal", () => {
    expect(classifyExchange(createRefusal(problem), "")).toEqual({
      kind: "refused",
      code: "queue-full",
      ran: "no",
      retryAfterMs: 2_000,
    });
  });

  test.each([
    ["without Retry-After", createRefusal(problem, {})],
    ["with an unknown type", createRefusal({ ...problem, type: "x" })],
    ["without ran", createRefusal({ ...problem, ran: undefined })],
    ["with another status", createRefusal({ ...problem, status: 500 })],
    ["of another content type", createExchange({ status: 503 })],
  ])("reports a refusal %s as broken", (_, exchange) => {
    expect(classifyExchange(exchange, "")).toMatchObject({
      breakage: "bad-refusal",
    });
  });

  test.each([
    ["cut", { text: "id: 0\n" }],
    ["cut", { text: "id: 0\n", failure: "UND_ERR_SOCKET" }],
    ["connection", { status: 0, failure: "ECONNRESET" }],
    ["timeout", { failure: "UND_ERR_BODY_TIMEOUT" }],
    ["error-event", { text: "id: 0\nevent: error\ndata: {}\n\n" }],
    ["wrong-bytes", { text: "id: 1\n" }],
  ])("classifies a broken response: %s", (breakage, fields) => {
    const outcome = classifyExchange(createExchange(fields), "id: 0\nid: 1\n");
    expect(outcome).toMatchObject({ kind: "broken", breakage });
  });
});
