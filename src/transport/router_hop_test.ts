/** Tests of the private headers and refusals between routers. */
import { createRefusal } from "../diagnostics.ts";
import { renderProblem } from "./problem.ts";
import {
  decodeForwarded,
  decodeServed,
  encodeForwarded,
  REFUSAL_HEADER,
  tryReadRefusal,
} from "./router_hop.ts";

function toHeaders(pairs: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (let index = 0; index < pairs.length; index += 2) {
    headers[pairs[index]!] = pairs[index + 1]!;
  }
  return headers;
}

test("what a router says of a forwarded request is read again", () => {
  const traits = { triesLeft: 2, isCounted: true };
  expect(decodeForwarded(toHeaders(encodeForwarded(traits)))).toEqual(traits);
});

test.each([
  ["of a caller", {}],
  ["without the tries that are left", { "x-cf-hops": "1" }],
  ["without any try", { "x-cf-hops": "1", "x-cf-tries-left": "0" }],
  ["with a malformed number", { "x-cf-hops": "1", "x-cf-tries-left": "two" }],
])("a request %s was not forwarded", (_name, headers) => {
  expect(decodeForwarded(headers)).toBeUndefined();
});

test("a response without private headers says nothing", () => {
  expect(decodeServed({ "x-cf-tries": "-1" })).toEqual({
    tries: undefined,
    upstream: undefined,
    origin: undefined,
  });
});

// Guards against a refusal that reaches the caller with another promise than the
// one that the serving router gave.
test("a refusal keeps its promise and its delay", () => {
  const refusal = createRefusal("no-capacity", "All are full.", {
    retryAfterMs: 250,
  });
  const { headers, body } = renderProblem(refusal, "id-1");
  const text = body.toString();
  expect(tryReadRefusal({ ...headers, [REFUSAL_HEADER]: refusal.code }, text))
    .toEqual(refusal);
  expect(tryReadRefusal(headers, text)).toBeUndefined();
  const malformed = { ...headers, [REFUSAL_HEADER]: refusal.code };
  expect(tryReadRefusal(malformed, text.slice(1))).toBeUndefined();
  expect(tryReadRefusal({ [REFUSAL_HEADER]: "toString" }, text))
    .toBeUndefined();
});
