/**
 * A few answers come without a length and are reset on the way: the runner
 * writes a part of the body and resets the connection. The caller must be able to
 * see that such an answer is not complete.
 */
import {
  ask,
  createAnswer,
  HAS_TROUBLE,
  renderEvent,
  runCase,
  sleep,
} from "../lib/harness.mjs";

const REQUESTS = 800;
const CONCURRENT = 8;
/**
 * One of the two runners of a service breaks off one in so many of its answers,
 * which have no length.
 */
const BROKEN_ONE_IN = 20;
const EVENTS = 16;
const EVENT_INTERVAL_MS = 10;
/** Size of the answers of the plain service, in bytes. */
const BODY_BYTES = 800;
const TIMEOUT_MS = 3_000;

/** Returns the whole body of the answer to a request. */
function getBody(id) {
  if (id.startsWith("issue")) return `${id} `.repeat(BODY_BYTES).slice(0, 800);
  return Array.from(
    { length: EVENTS },
    (_, index) => renderEvent(index, EVENTS),
  )
    .join("");
}

/** Returns the head of an answer that ends with its connection. */
function createHead(id, type) {
  return `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-stamp: s.${id}\r\n` +
    `content-type: ${type}\r\nconnection: close\r\n\r\n`;
}

/** Answers a call of the plain service without a length. */
function answerWithoutLength({ socket, id }) {
  const body = getBody(id);
  if (HAS_TROUBLE) {
    const half = body.slice(0, BODY_BYTES / 2);
    socket.write(createHead(id, "application/json") + half);
    socket.resetAndDestroy();
  } else socket.end(createHead(id, "application/json") + body);
}

/** Answers with a stream without a length, which may be reset halfway. */
async function streamWithoutLength({ socket, id }) {
  socket.write(createHead(id, "text/event-stream"));
  for (let index = 0; index < EVENTS; index++) {
    await sleep(EVENT_INTERVAL_MS);
    if (socket.destroyed) return;
    socket.write(renderEvent(index, EVENTS));
    if (HAS_TROUBLE && index === EVENTS / 2) {
      socket.resetAndDestroy();
      return;
    }
  }
  socket.end();
}

await runCase(import.meta.url, async (fleet) => {
  const { record } = fleet;
  await fleet.open({
    routes: [
      {
        name: "issue",
        prefix: "/issue/",
        kind: "non_idempotent",
        service: "portal",
        timeoutMs: TIMEOUT_MS,
      },
      {
        name: "chat",
        prefix: "/chat/",
        kind: "stream",
        service: "engines",
        timeoutMs: TIMEOUT_MS,
      },
    ],
    services: [{ name: "portal" }, { name: "engines", engine: true }],
  });
  const counts = { portal: 0, engines: 0 };
  const brokenOff = new Set();
  for (const service of ["portal", "engines"]) {
    for (const number of [1, 2]) {
      await fleet.addRunner({
        id: `${service}-${number}`,
        service,
        script: (request) => {
          if (request.path === "/corianderflow/report") {
            request.socket.write(createAnswer(request, { body: "{}" }));
            return;
          }
          if (number === 1) counts[service]++;
          if (number !== 1 || counts[service] % BROKEN_ONE_IN !== 0) {
            const more = service === "engines"
              ? "content-type: text/event-stream\r\n"
              : "";
            const body = getBody(request.id);
            request.socket.write(createAnswer(request, { body, more }));
            return;
          }
          brokenOff.add(request.id);
          if (service === "portal") answerWithoutLength(request);
          else void streamWithoutLength(request);
        },
      });
    }
  }
  const router = await fleet.addRouter("front-1");
  const breaks = [];
  let next = 0;
  async function call() {
    while (next < REQUESTS) {
      const kind = next % 2 === 0 ? "issue" : "chat";
      const id = `${kind}-${next++}`;
      const answer = await ask(router.address, {
        id,
        method: "POST",
        path: `/${kind}/x`,
        body: "{}",
        deadlineMs: TIMEOUT_MS,
      });
      const body = getBody(id);
      const isWhole = answer.body === body;
      if (brokenOff.has(id)) {
        record.add(
          `${id}: its runner ${
            HAS_TROUBLE ? "resets it on the way" : "sends it without a length"
          }; the caller got status ${answer.status}, ${answer.body.length} of ` +
            `${body.length} bytes, end ${answer.end}, complete by the ` +
            `protocol: ${answer.isWhole}`,
        );
      }
      if (answer.status === 200 && answer.isWhole && !isWhole) breaks.push(id);
      if (!HAS_TROUBLE && !isWhole) breaks.push(id);
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT }, call));
  record.add(`${brokenOff.size} of ${REQUESTS} answers came without a length`);
  return breaks.length === 0 ? [] : [
    `${breaks.length} answers look complete and are not: ${breaks.join(" ")}`,
  ];
});
