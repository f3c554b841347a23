import {
  API_KEY,
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

/** Short, to keep the tests fast. */
const REVOCATION_MS = 3_500;

let fleet: LocalIngress;
let count = 0;

beforeEach(async () => {
  fleet = await new LocalIngress().start({
    bounds: { revocationMs: REVOCATION_MS, graceS: 1 },
  });
});

afterEach(async () => {
  await fleet.close();
});

function ask(fields: { path?: string; key?: string } = {}) {
  return fleet.ask({ id: `id-${++count}`, ...fields });
}

test(
  "a router that gets no response from the store refuses keyed requests",
  async () => {
    fleet.store.faults.isSilent = true;
    await fleet.untilReady(503);
    const answer = await ask();
    expect(answer.status).toBe(503);
    expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    expect(answer.headers.connection).toBe("close");
    expect(fleet.arrived).toEqual([]);
    fleet.store.faults.isSilent = false;
    await fleet.untilReady(200);
    expect((await ask()).status).toBe(200);
  },
  20_000,
);

test(
  "a router that the store refuses with 429 refuses keyed requests",
  async () => {
    fleet.store.faults.refusalStatus = 429;
    await fleet.untilReady(503);
    await fleet.untilLogged({ message: "config: The metadata store is lost." });
    expect((await ask()).status).toBe(503);
  },
  20_000,
);

test(
  "a key that was removed while the watch missed events is refused",
  async () => {
    fleet.store.faults.withholdsEvents = true;
    fleet.putConfiguration({ keys: ["new"] });
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    fleet.store.faults.withholdsEvents = false;
    fleet.store.compact();
    await fleet.untilLogged({ version: 2 });
    expect((await ask({ key: API_KEY })).status).toBe(401);
  },
  20_000,
);

test(
  "entries that expire during a store outage stay in use until it ends",
  async () => {
    fleet.store.faults.refusalStatus = 503;
    await fleet.untilLogged({ message: "config: The metadata store is lost." });
    for (const { id } of fleet.upstreams) fleet.store.remove(`servers/${id}`);
    fleet.store.faults.refusalStatus = undefined;
    await fleet.untilLogged({
      message: "config: The metadata store is regained.",
    });
    expect((await ask()).status).toBe(200);
    fleet.putUpstream(fleet.upstreams[0]!);
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    fleet.script((request: ReceivedRequest) => sendCompleteResponse(request));
    const arrivedBefore = fleet.upstreams[1]!.arrived.length;
    for (let request = 0; request < 4; request++) {
      expect((await ask()).status).toBe(200);
    }
    expect(fleet.upstreams[1]!.arrived).toHaveLength(arrivedBefore);
  },
  20_000,
);

test(
  "a failure domain that is out and a leaving upstream get no requests",
  async () => {
    const [first, second] = fleet.upstreams;
    fleet.putUpstream(first!, { state: "draining", seq: 2 });
    await fleet.untilLogged({ upstream: first!.id, state: "leaving" });
    for (let request = 0; request < 4; request++) await ask();
    expect(first!.arrived).toEqual([]);
    expect(second!.arrived).toHaveLength(4);
    fleet.store.put("op/evacuate/east", {});
    await fleet.untilLogged({ failureDomain: "east", kind: "domain-out" });
    expect((await ask()).status).toBe(503);
    fleet.store.remove("op/evacuate/east");
    await fleet.untilLogged({ failureDomain: "east", kind: "domain-back" });
    expect((await ask()).status).toBe(200);
  },
  20_000,
);

test("malformed entries do not affect valid ones", async () => {
  fleet.store.put("servers/forged", "no json");
  fleet.store.put("servers/strange", { service: "svc", state: 3 });
  fleet.store.put("op/config", { version: 99 });
  await fleet.untilLogged({ key: "op/config" });
  expect((await ask()).status).toBe(200);
}, 20_000);

// Guards against 500, an upstream that is cold or preferred for good, and a log
// line with each heartbeat.
test(
  "odd entries cost their own upstreams only, with a log line each",
  async () => {
    const odd = [
      { address: "127.0.0.1:99999" },
      { address: "999.0.0.1:80" },
      { address: "127.0.0.1:0" },
      { slots: 1e308 },
      { coldLeftMs: 1e300 },
      { born: 1e300 },
      { version: "v1\r\nx-tenant: other" },
    ];
    const address = fleet.upstreams[0]!.address;
    for (let seq = 1; seq <= 3; seq++) {
      odd.forEach((fields, index) =>
        fleet.putUpstream({ id: `odd-${index}`, address }, { seq, ...fields })
      );
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
    fleet.putUpstream({ id: "new", address: fleet.upstreams[1]!.address });
    await fleet.untilLogged({ upstream: "new" });
    const statuses = new Set<number>();
    for (let request = 0; request < 80; request++) {
      statuses.add((await ask()).status);
    }
    expect([...statuses]).toEqual([200]);
    const keys = fleet.lines
      .filter(({ kind }) => kind === "unreadable")
      .map(({ key }) => key);
    expect(keys.sort()).toEqual(odd.map((_, index) => `servers/odd-${index}`));
  },
  20_000,
);

test(
  "a configuration with an odd number leaves the one before in force",
  async () => {
    fleet.store.put("op/config", {
      ...JSON.parse(fleet.store.read("op/config")),
      version: 1e300,
    });
    await fleet.untilLogged({ key: "op/config" });
    const line = fleet.lines.find(({ key }) => key === "op/config");
    expect(line?.["reason"]).toContain("stays in force");
    expect((await ask()).status).toBe(200);
    fleet.putConfiguration();
    await fleet.untilLogged({ version: 2 });
  },
  20_000,
);

test(
  "a stopping router is not ready but serves and closes connections",
  async () => {
    const stopped = fleet.daemon.stop();
    await fleet.untilReady(503);
    const answer = await ask();
    expect(answer).toMatchObject({ status: 200, text: "ok" });
    expect(answer.headers.connection).toBe("close");
    await stopped;
  },
  20_000,
);

test(
  "a request before the first configuration is refused and logged",
  async () => {
    const unready = new LocalIngress();
    await unready.start({ hasConfiguration: false });
    const answer = await unready.ask({ id: "early" });
    expect(answer.status).toBe(503);
    expect(JSON.parse(answer.text)).toMatchObject({ ran: "no" });
    await unready.untilLogged({ requestId: "early", outcome: "not-ready" });
    await unready.close();
  },
  20_000,
);

test("a registration that the store refuses is logged", async () => {
  fleet.store.faults.refusalStatus = 503;
  await fleet.untilLogged({ message: "config: The registration failed." });
}, 20_000);
