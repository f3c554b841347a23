/**
 * A machine goes dark amid streams that may be resumed. While its callers still
 * wait for the next event, the first runner of another software version joins
 * the service. The callers take their streams up again at the other machines;
 * all runners of the version that began them still serve.
 */
import {
  ask,
  createAnswer,
  HAS_TROUBLE,
  runCase,
  sleep,
} from "../lib/harness.mjs";

/** Machines of the deployment; one of them goes dark. */
const ROUTERS = 6;
/** The rule counts 12 or more streams. */
const STREAMS = 14;
const TIMEOUT_MS = 12_000;
const EVENTS = 64;
const EVENT_INTERVAL_MS = 100;
/** Time from the requests until the machine goes dark, in milliseconds. */
const DARK_AFTER_MS = 1_500;
/** Time for which it is dark before it starts again, in milliseconds. */
const DARK_MS = 3_500;
/** Time from its loss to the join of another version, in milliseconds. */
const JOIN_AFTER_MS = 500;
/** Requesters abandon a stream after a gap of two seconds. */
const GAP_MS = 2_000;
/** Tries of a requester that are refused and come back when told to. */
const MAX_TRIES = 4;

function renderChunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function createEngine(record, { name, version, bornAt }) {
  return async (request) => {
    const { socket, id, headers } = request;
    if (request.path === "/corianderflow/report") {
      const body = JSON.stringify({ born: bornAt });
      socket.write(createAnswer(request, { body }));
      return;
    }
    const lastId = headers["last-event-id"];
    record.add(
      `${name} ${version} runs ${id}` +
        (lastId === undefined ? "" : `, which goes on after event ${lastId}`),
    );
    socket.write(
      `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-stamp: s.${id}\r\n` +
        "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    );
    const first = lastId === undefined ? 0 : Number(lastId) + 1;
    for (let index = first; index < EVENTS; index++) {
      if (socket.destroyed) return;
      socket.write(renderChunk(`id: ${index}\ndata: ${version} ${index}\n\n`));
      await sleep(EVENT_INTERVAL_MS);
    }
    socket.write("0\r\n\r\n");
  };
}

/** Sends a request for a stream; ends it after a gap without an event. */
function askForStream(address, { id, headers = {}, deadlineMs }) {
  return ask(address, {
    id,
    method: "POST",
    path: "/chat/x",
    body: "{}",
    headers: {
      "x-model": "m",
      "x-token-counts": "829,50",
      "x-prompt-prefix": `5c1e07a2:100,s${id}:500,r${id}:50`,
      ...headers,
    },
    deadlineMs,
    gapMs: GAP_MS,
  });
}

function countEvents(body) {
  return [...body.matchAll(/^id: \d+$/gm)].length;
}

await runCase(import.meta.url, async (fleet) => {
  const { record } = fleet;
  await fleet.open({
    routes: [{
      name: "chat",
      prefix: "/chat/",
      kind: "stream",
      service: "engines",
      timeoutMs: TIMEOUT_MS,
      maxAttempts: 2,
      resumable: true,
    }],
    services: [{ name: "engines", engine: true, coldStartS: 3, coldPerS: 14 }],
  });
  async function addEngine(name, version) {
    const bornAt = Date.now();
    await fleet.addRunner({
      id: name,
      service: "engines",
      fields: { version, born: bornAt },
      script: createEngine(record, { name, version, bornAt }),
    });
    record.add(`${name} ${version} has written its entry`);
  }
  for (const name of ["i-1", "i-2", "i-3", "i-4"]) await addEngine(name, "v1");
  const names = Array.from({ length: ROUTERS }, (_, index) => `front-${index}`);
  const routers = await Promise.all(names.map((name) => fleet.addRouter(name)));
  routers.sort((one, other) => one.name < other.name ? -1 : 1);
  await sleep(3_000);

  const sentAt = performance.now();
  const asked = Array.from(
    { length: STREAMS },
    (_, index) =>
      askForStream(routers[0].address, {
        id: `stream-${index}`,
        deadlineMs: TIMEOUT_MS,
      }),
  );
  record.add(`callers send ${STREAMS} streams to front-0`);
  await sleep(DARK_AFTER_MS);
  if (HAS_TROUBLE) {
    routers[0].signal("SIGSTOP");
    record.add("front-0 goes dark");
    void sleep(DARK_MS).then(async () => {
      routers[0].signal("SIGKILL");
      await routers[0].exited;
      routers[0].start();
      record.add("front-0 starts again");
    });
    await sleep(JOIN_AFTER_MS);
    await addEngine("i-5", "v2");
  }

  const resumed = { count: 0, goOn: 0 };
  const fresh = { count: 0, begin: 0 };
  async function takeUp(first, index) {
    const id = `stream-${index}`;
    let events = countEvents(first.body);
    if (first.isWhole && events === EVENTS) return;
    resumed.count++;
    for (let number = 1; number <= MAX_TRIES; number++) {
      const router = routers[1 + (index + number) % (ROUTERS - 1)];
      const answer = await askForStream(router.address, {
        id: `${id}-again-${number}`,
        headers: { resumes: id, "last-event-id": String(events - 1) },
        deadlineMs: TIMEOUT_MS - (performance.now() - sentAt),
      });
      const code = /urn:corianderflow:[\w-]+/.exec(answer.body)?.[0] ?? "";
      record.add(
        `${id} is taken up after event ${events - 1} at ${router.name}: ` +
          `status ${answer.status} ${code}`,
      );
      if (answer.status === 200) {
        events += countEvents(answer.body);
        resumed.goOn++;
        return;
      }
      const seconds = /^retry-after: *([\d.]+)/im.exec(answer.head ?? "")?.[1];
      await sleep(Number(seconds ?? 0.5) * 1_000);
    }
  }
  async function begin(index) {
    await sleep(2_500 + index * 50);
    const { status, isWhole } = await askForStream(
      routers[1 + index % (ROUTERS - 1)].address,
      { id: `new-${index}`, deadlineMs: TIMEOUT_MS },
    );
    fresh.count++;
    if (status === 200 && isWhole) fresh.begin++;
  }
  await Promise.all([
    ...asked.map(async (each, index) => takeUp(await each, index)),
    ...Array.from({ length: STREAMS }, (_, index) => begin(index)),
  ]);
  record.add(
    `${resumed.goOn} of ${resumed.count} streams that were taken up go on; ` +
      `${fresh.begin} of ${fresh.count} new streams begin`,
  );
  if (!HAS_TROUBLE) {
    return resumed.count === 0 && fresh.begin === fresh.count
      ? []
      : ["without the disruption, a stream was cut"];
  }
  const isBroken = resumed.count >= 12 &&
    resumed.goOn / resumed.count < fresh.begin / fresh.count / 2;
  return isBroken
    ? [`${resumed.goOn} of ${resumed.count} streams go on when taken up again`]
    : [];
});
