/**
 * Guards against a key that works on after a configuration has taken it away,
 * since that configuration also has a long name (CONFIG).
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "../lib_3/caller.mjs";
import { runCase } from "../lib_3/run_case.mjs";

const ROUTERS = 2;
const KEPT_KEY = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY = "anfqasnmgkcuyj8pjbvk";
const SHORT_NAME = "class-availability";
const LONG_NAME = `${SHORT_NAME}-${"of-the-evening-courses-".repeat(10)}`;
/** Bound of the users' small deployments, in milliseconds. */
const REVOKE_MS = 5_000;
const OBSERVED_MS = 15_000;
const REQUEST_INTERVAL_MS = 100;
const DEADLINE_MS = 1_500;

function createConfiguration({ name, keys }) {
  return {
    routes: [
      { name: "seats", prefix: "/seats/", kind: "idempotent" },
      { name, prefix: "/classes/", kind: "idempotent" },
    ].map((route) => ({
      ...route,
      service: "booking",
      timeoutMs: DEADLINE_MS,
    })),
    services: [{ name: "booking", coldStartS: 0, coldPerS: 0 }],
    tenants: [{ name: "studio", apiKeys: keys, priority: 1 }],
  };
}

async function answer({ id, socket }) {
  await sleep(10);
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Stamp: s/${id}\r\n` +
      "Content-Length: 2\r\n\r\nok",
  );
}

await runCase(import.meta.url, async ({ fleet, isTrouble, record }) => {
  fleet.putConfiguration(createConfiguration({
    name: SHORT_NAME,
    keys: [KEPT_KEY, REVOKED_KEY],
  }));
  for (let index = 0; index < 3; index++) {
    await fleet.addRunner({
      id: `runner-${index}`,
      service: "booking",
      script: answer,
    });
  }
  const routers = [];
  for (let index = 0; index < ROUTERS; index++) {
    routers.push(await fleet.addRouter(`router-${index}`));
  }
  const callers = routers.map(({ callers: port }) => new Caller({ port }));
  const lateRuns = [];
  const counts = new Map();

  /** Sends a request with a key to each router. */
  async function callAll(key, { name, acknowledgedAt = Infinity }) {
    await Promise.all(callers.map(async (caller, index) => {
      const id = `${name}-${index}`;
      const headers = { Authorization: `Bearer ${key}` };
      const sinceMs = performance.now() - acknowledgedAt;
      caller.send({ id, path: "/seats/", deadlineMs: DEADLINE_MS, headers });
      const received = await caller.receive({ timeoutMs: 2 * DEADLINE_MS });
      const isRun = fleet.arrived.some((each) => each.id === id);
      const fate = `${received?.status ?? "none"}${isRun ? ", run" : ""}`;
      const kind = key === REVOKED_KEY ? "revoked key" : "kept key";
      const label = `${kind}: ${fate}`;
      counts.set(label, (counts.get(label) ?? 0) + 1);
      if (key === REVOKED_KEY && isRun && sinceMs > REVOKE_MS) {
        lateRuns.push({ id, sinceMs });
      }
    }));
  }

  await callAll(REVOKED_KEY, { name: "before" });
  const name = isTrouble ? LONG_NAME : SHORT_NAME;
  fleet.putConfiguration(createConfiguration({ name, keys: [KEPT_KEY] }));
  const acknowledgedAt = performance.now();
  record(
    `the store has accepted a configuration without ${REVOKED_KEY}, ` +
      `with a route name of ${name.length} characters`,
  );
  for (let each = 0; performance.now() - acknowledgedAt < OBSERVED_MS; each++) {
    const options = { acknowledgedAt };
    await callAll(REVOKED_KEY, { ...options, name: `revoked-${each}` });
    await callAll(KEPT_KEY, { ...options, name: `kept-${each}` });
    await sleep(REQUEST_INTERVAL_MS);
  }
  for (const [label, count] of counts) record(`${label}: ${count}`);
  for (const router of routers) {
    const line = router.output.split("\n")
      .find((each) => each.includes("invalid item"));
    if (line !== undefined) record(`router's log: ${line}`);
  }
  if (lateRuns.length === 0) return [];
  const last = lateRuns.at(-1);
  return [
    `${lateRuns.length} requests with the key ran that were sent later than ` +
    `${REVOKE_MS} ms after the acknowledgement, the last, ${last.id}, after ` +
    `${Math.round(last.sinceMs)} ms`,
  ];
});
