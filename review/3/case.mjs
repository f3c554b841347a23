/**
 * Streams without a length are being forwarded when the process of one router
 * is killed. The rest of its stream is lost; the caller must be able to see
 * that.
 */
import {
  ask,
  createAnswer,
  HAS_TROUBLE,
  renderEvent,
  runCase,
  sleep,
  streamWithoutLength,
} from "../lib/harness.mjs";

/** Time limit of the requests and timeout of their route, in milliseconds. */
const TIMEOUT_MS = 15_000;
/** Size of a usual stream, and a pause that the deployment allows. */
const EVENTS = 64;
const EVENT_INTERVAL_MS = 100;
/** The SIGKILL comes this long after the requests, in milliseconds. */
const KILL_AFTER_MS = 2_000;
/** Machines of the deployment; one of them is killed. */
const ROUTERS = 6;
const WHOLE = Array.from(
  { length: EVENTS },
  (_, index) => renderEvent(index, EVENTS),
).join("");

await runCase(import.meta.url, async (fleet) => {
  const { record } = fleet;
  await fleet.open({
    routes: [{
      name: "chat",
      prefix: "/chat/",
      kind: "stream",
      service: "engines",
      timeoutMs: TIMEOUT_MS,
    }],
  });
  for (const id of ["i-1", "i-2"]) {
    await fleet.addRunner({
      id,
      service: "engines",
      script: (request) => {
        if (!request.path.startsWith("/chat/")) {
          request.socket.write(createAnswer(request, { body: "{}" }));
          return;
        }
        record.add(`${id} runs ${request.id}`);
        void streamWithoutLength(request, {
          count: EVENTS,
          intervalMs: EVENT_INTERVAL_MS,
        });
      },
    });
  }
  const names = Array.from({ length: ROUTERS }, (_, index) => `front-${index}`);
  const routers = await Promise.all(names.map((name) => fleet.addRouter(name)));
  const asked = routers.map(({ address, name }) => {
    record.add(`a caller sends stream-${name} to ${name}`);
    return ask(address, {
      id: `stream-${name}`,
      method: "POST",
      path: "/chat/x",
      body: "{}",
      deadlineMs: TIMEOUT_MS,
    });
  });
  await sleep(KILL_AFTER_MS);
  if (HAS_TROUBLE) {
    record.add("SIGKILL to front-0");
    routers[0].signal("SIGKILL");
  }
  const breaks = [];
  for (const [index, answer] of (await Promise.all(asked)).entries()) {
    const pieces = answer.body.split("\n\n").length - 1;
    record.add(
      `the caller of ${names[index]} got status ${answer.status}, ` +
        `${pieces} of ${EVENTS} pieces, framing ${answer.framing}, ` +
        `end ${answer.end}, complete by the protocol: ${answer.isWhole}`,
    );
    const isCut = answer.body !== WHOLE;
    if (isCut && answer.status === 200 && answer.isWhole) {
      breaks.push(
        `the stream of ${names[index]} ends as complete after ${pieces} of ` +
          `${EVENTS} pieces`,
      );
    } else if (isCut && !HAS_TROUBLE) {
      breaks.push("without the disruption, a stream is not whole");
    }
  }
  return breaks;
});
