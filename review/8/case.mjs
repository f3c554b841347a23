/**
 * Another program writes some large values below the key of the servers. Then
 * all routers are killed and start again. Compares the share of the requests that
 * are served before that and later than the recovery time.
 */
import { randomBytes } from "node:crypto";
import {
  answer,
  BOUNDS,
  createConfiguration,
  findPorts,
  Router,
  runCase,
  send,
  Server,
  sleep,
  Store,
  takeHost,
} from "../lib_2/harness.mjs";

/** Largest value that the store takes (`valueBytes`). */
const VALUE_BYTES = 1_048_576;
const VALUES = 12;
const ROUTERS = 3;
/** Requests a second at each router. */
const RATE = 20;
const DOWN_MS = 1_000;
const MEASURED_MS = 5_000;
/** Share below which the rule is broken, after the kill and before it. */
const MIN_SHARE = 0.25;

await runCase(import.meta.url, async ({ record, hasTrouble, keep }) => {
  const store = keep(new Store());
  const storeHost = takeHost();
  await store.open(`${storeHost}:${(await findPorts(storeHost, 1))[0]}`);
  store.put(
    "op/config",
    createConfiguration({
      routes: [{
        name: "look",
        prefix: "/look/",
        kind: "idempotent",
        service: "app",
        maxAttempts: 2,
      }],
      services: [{ name: "app" }],
    }),
  );
  const servers = [];
  for (let index = 0; index < 3; index++) {
    const server = keep(
      new Server({
        id: `app-${index}`,
        service: "app",
        store,
        handle: async (request, response) => {
          await sleep(30);
          answer(request, response);
        },
      }),
    );
    await server.start();
    server.register();
    servers.push(server);
  }
  const routers = [];
  for (let index = 1; index <= ROUTERS; index++) {
    const router = keep(new Router({ name: `router-${index}`, store }));
    await router.start();
    routers.push(router);
  }
  for (const router of routers) await router.untilReady();

  const requests = [];
  async function ask(router, counts) {
    counts.sent++;
    const id = `request-${requests.length}`;
    const request = { id, at: Date.now(), router: router.name };
    requests.push(request);
    const result = await send(router.front, {
      path: "/look/seats",
      timeoutMs: 3_000,
      headers: {
        host: "svc.example",
        authorization: "Bearer key-a",
        "x-attempt-id": id,
        "x-deadline-ms": "1500",
      },
    }).then(({ status }) => status, ({ code }) => code);
    request.status = result;
    counts[result] = (counts[result] ?? 0) + 1;
  }
  async function measure(name) {
    const counts = { sent: 0 };
    const asked = [];
    const end = Date.now() + MEASURED_MS;
    while (Date.now() < end) {
      for (const router of routers) asked.push(ask(router, counts));
      await sleep(1_000 / RATE);
    }
    await Promise.all(asked);
    record.add(`${name}: ${JSON.stringify(counts)}`);
    return (counts[200] ?? 0) / counts.sent;
  }

  await measure("at first");
  if (hasTrouble) {
    for (let index = 0; index < VALUES; index++) {
      store.put(`servers/dump-${index}`, randomBytes(VALUE_BYTES));
      await sleep(1_000);
    }
    record.add(`${VALUES} values of ${VALUE_BYTES} bytes are written`);
  }
  const before = await measure("before the kill");
  for (const router of routers) router.signal("SIGKILL");
  for (const router of routers) await router.exited;
  record.add("all routers are killed");
  await sleep(DOWN_MS);
  for (const router of routers) await router.start();
  record.add("all routers start again");
  await sleep(BOUNDS.recoveryS * 1_000 + 500);
  const after = await measure("after the recovery time");
  record.addRequests(requests, servers);
  for (const router of routers) {
    const cause = router.lines.findLast((line) =>
      line.includes("store is lost") || line.includes("snapshot")
    );
    record.add(`${router.name}: ready: ${await router.isReady()}; ${cause}`);
  }
  if (before < MIN_SHARE || after >= MIN_SHARE) return undefined;
  return `RECOVER: ${Math.round(after * 100)} in 100 requests are served ` +
    `later than ${BOUNDS.recoveryS} s after the routers are back, ` +
    `${Math.round(before * 100)} in 100 were before`;
});
