import { createRequestDigest, type RequestIdentity } from "./request_digest.ts";

const REQUEST: RequestIdentity = {
  workspace: "studio",
  method: "POST",
  host: "chats.example",
  target: "/plan/x?a=1",
  body: Buffer.from("body"),
};

test("the same request has the same digest", () => {
  const copy = { ...REQUEST, body: Buffer.from("body") };
  expect(createRequestDigest(copy)).toBe(createRequestDigest(REQUEST));
  expect(createRequestDigest(REQUEST)).toMatchSnapshot();
});

// Guards against callers that get the requests of another workspace refused.
test("requests that differ in anything have different digests", () => {
  const others: Partial<RequestIdentity>[] = [
    { workspace: "family" },
    { workspace: undefined },
    { method: "GET" },
    { host: "other.example" },
    { target: "/plan/x" },
    { target: '/plan/x?a=1"]body', body: undefined },
    { body: Buffer.from("") },
    { body: undefined },
  ];
  const digests = [REQUEST, ...others.map((each) => ({ ...REQUEST, ...each }))]
    .map((each) => createRequestDigest(each));
  // An empty body and none are the same.
  expect(new Set(digests).size).toBe(digests.length - 1);
});
