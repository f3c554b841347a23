import { Buffer } from "node:buffer";
import { decodeItem } from "./documents.ts";

const ENTRY = {
  service: "svc",
  address: "10.0.0.1:80",
  zone: "east",
  version: "v1",
  slots: 4,
  state: "draining",
  coldLeftMs: 7,
  seq: 3,
  born: 5,
};

function decode(key: string, value: unknown) {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return decodeItem({ key, value: Buffer.from(text).toString("base64") });
}

test("decodes items of the store into changes of the routing state", () => {
  expect([
    decode("servers/up", ENTRY),
    decodeItem({ key: "servers/up", value: undefined }),
    decode("op/evacuate/east", {}),
    decodeItem({ key: "op/evacuate/east", value: undefined }),
    decode("corianderflow/routers/r1", { address: "10.0.0.2:70", linkMbps: 9 }),
    decodeItem({ key: "corianderflow/routers/r1", value: undefined }),
    decode("status/other", {}),
    decode("op/config", {
      version: 7,
      routes: [{
        name: "r",
        host: "H.example",
        prefix: "/p/",
        kind: "stream",
        timeoutMs: 15_000,
        goalMs: 800,
        priority: 1,
        split: [{ service: "a", weight: 90 }, { service: "b", weight: 10 }],
        maxAttempts: 1,
        public: false,
        sticky: true,
        resumable: false,
      }],
      services: [{
        name: "a",
        maxConns: 360,
        coldStartS: 3,
        coldPerS: 14,
        engine: {},
      }],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 2,
        headerTimeoutMs: 3,
        idleTimeoutMs: 4,
      },
      tenants: [{ name: "w", apiKeys: ["k"], priority: 1 }],
    }),
  ]).toMatchSnapshot();
});

test("a malformed upstream entry removes the upstream", () => {
  const malformed = [
    "no json",
    [],
    { ...ENTRY, state: "asleep" },
    { ...ENTRY, address: "nowhere" },
    { ...ENTRY, slots: "4" },
    { ...ENTRY, service: undefined },
    { ...ENTRY, born: 1.5 },
  ];
  for (const value of malformed) {
    expect(decode("servers/up", value)).toEqual([
      expect.objectContaining({ kind: "unreadable", key: "servers/up" }),
      { kind: "upstream-gone", id: "up" },
    ]);
  }
});

test("a malformed configuration changes nothing", () => {
  expect(decode("op/config", { version: 8 })).toEqual([
    expect.objectContaining({ kind: "unreadable" }),
  ]);
});
