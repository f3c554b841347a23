import { type Hash, loadHash } from "../policy/rendezvous.ts";
import type { VersionFinding } from "../policy/version_history.ts";
import { parsePeerMessage } from "./peer_messages.ts";
import { StreamExchange } from "./stream_exchange.ts";

const STREAM = {
  key: "stream",
  service: "engine",
  softwareVersion: "v1",
  spanMs: 10_000,
};
const QUESTION = { service: "engine", spanMs: 10_000 };

let hash: Hash;
beforeAll(async () => {
  hash = await loadHash();
});

/** A fleet whose messages arrive at once, unless their receiver is down. */
class Fleet {
  readonly routers = new Map<string, StreamExchange>();
  readonly down = new Set<string>();
  readonly methods: string[] = [];
  /** Versions that each router has seen; none if it can't tell. */
  readonly versions = new Map<string, readonly string[]>();

  constructor(count: number) {
    const names = Array.from({ length: count }, (_, each) => `router-${each}`);
    for (const self of names) {
      const exchange = new StreamExchange({
        self,
        hash,
        clock: () => 0,
        listRouters: () => names,
        send: (message, router) => this.#send(message, router),
        findVersions: () => this.#findVersions(self),
      });
      this.routers.set(self, exchange);
    }
  }

  get(index: number): StreamExchange {
    return this.routers.get(`router-${index}`)!;
  }

  #findVersions(router: string): VersionFinding {
    const [version, ...others] = this.versions.get(router) ?? [];
    if (version === undefined) return { kind: "unknown" };
    return others.length > 0 ? { kind: "several" } : { kind: "sole", version };
  }

  #send(message: object, router: string): void {
    const bytes = Buffer.from(JSON.stringify(message));
    const parsed = parsePeerMessage(bytes);
    if (parsed === undefined) throw new RangeError(bytes.toString());
    this.methods.push(parsed.kind);
    if (parsed.kind === "ask" || parsed.kind === "loads") return;
    if (parsed.kind === "answer" || this.down.has(router)) return;
    this.routers.get(router)!.receive(parsed);
  }
}

// Guards against a caller that resumes a stream at a router that can't know its
// version, right after the stream has begun (ORDER).
test.each([2, 6, 40])(
  "a stream that has begun is known at every one of %i routers",
  async (count) => {
    const fleet = new Fleet(count);
    fleet.get(0).recordStart(STREAM);
    fleet.down.add("router-0");
    for (let each = 1; each < count; each++) {
      expect(await fleet.get(each).find("stream", QUESTION))
        .toMatchObject({ service: "engine", softwareVersion: "v1" });
    }
  },
);

test("a stream that nobody was told of is unknown", async () => {
  const fleet = new Fleet(6);
  expect(await fleet.get(1).find("stream", QUESTION)).toBeUndefined();
  fleet.versions.set("router-2", ["v1"]);
  fleet.versions.set("router-3", ["v1", "v2"]);
  expect(await fleet.get(1).find("stream", QUESTION)).toBeUndefined();
  fleet.versions.set("router-3", ["v2"]);
  expect(await fleet.get(1).find("stream", QUESTION)).toBeUndefined();
});

test("a stream is unknown if none of the routers answers", async () => {
  const fleet = new Fleet(3);
  fleet.down.add("router-0").add("router-2");
  expect(await fleet.get(1).find("stream", QUESTION)).toBeUndefined();
});

// Guards against a router that ends with what nobody else knows: it began the
// stream while its service had one version, and another has joined since (LOST).
test("a stream of a sole version is told to its holders", async () => {
  const fleet = new Fleet(6);
  for (const name of fleet.routers.keys()) fleet.versions.set(name, ["v1"]);
  fleet.get(0).recordStart(STREAM);
  expect(fleet.methods).toEqual(Array.from({ length: 5 }, () => "streams"));
  fleet.down.add("router-0");
  for (const name of fleet.routers.keys()) {
    fleet.versions.set(name, ["v1", "v2"]);
  }
  for (let each = 1; each < 6; each++) {
    expect(await fleet.get(each).find("stream", QUESTION))
      .toMatchObject({ softwareVersion: "v1" });
  }
});

// Pattern: a service has had one version for as long as its streams last.
test("a stream of a sole version that nobody was told of is known to all", async () => {
  const fleet = new Fleet(6);
  for (const name of fleet.routers.keys()) fleet.versions.set(name, ["v1"]);
  for (let each = 1; each < 6; each++) {
    expect(await fleet.get(each).find("stream", QUESTION))
      .toEqual({ service: "engine", softwareVersion: "v1" });
  }
});

test("a router that has just started takes the sole version from others", async () => {
  const fleet = new Fleet(6);
  for (const name of fleet.routers.keys()) fleet.versions.set(name, ["v1"]);
  fleet.versions.delete("router-1");
  fleet.versions.delete("router-2");
  expect(await fleet.get(1).find("stream", QUESTION))
    .toEqual({ service: "engine", softwareVersion: "v1" });
});

// Guards against a router that has not seen a new version yet, and takes a
// stream of it for one of the version before.
test("a holder's record counts more than a sole version", async () => {
  const fleet = new Fleet(40);
  fleet.get(0).recordStart({ ...STREAM, softwareVersion: "v2" });
  for (const name of fleet.routers.keys()) fleet.versions.set(name, ["v1"]);
  for (let each = 1; each < 40; each++) {
    expect(await fleet.get(each).find("stream", QUESTION))
      .toMatchObject({ softwareVersion: "v2" });
  }
});

test("malformed messages are refused", () => {
  const record = { ...STREAM, remainingMs: 5 };
  const parse = (message: object) =>
    parsePeerMessage(
      Buffer.from(JSON.stringify({ jsonrpc: "2.0", ...message })),
    )?.kind;
  const notify = (streams: unknown) =>
    parse({ method: "streams", params: { router: "r", streams } });
  const answer = (fields: object) =>
    parse({ id: "stream-1", result: { router: "r", ...fields } });
  expect([
    notify([record]),
    notify([{ ...record, key: "k".repeat(33) }]),
    notify([{ ...record, remainingMs: -1 }]),
    notify(Array.from({ length: 65 }, () => record)),
    notify("none"),
    answer({ stream: record }),
    answer({ stream: { ...record, softwareVersion: 1 } }),
    answer({ soleVersion: 1 }),
    answer({ hasSeveralVersions: "yes" }),
    parse({
      id: "stream-1",
      method: "find-stream",
      params: { router: "r", key: "k", service: "s", spanMs: 1e9 },
    }),
  ]).toMatchSnapshot();
});
