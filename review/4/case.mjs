/**
 * A stream without a length is being forwarded when its router gets SIGTERM,
 * and lasts longer than the grace time. The rest of the stream is lost; the
 * caller must be able to see that.
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

/** Time limit of the request and timeout of its route, in milliseconds. */
const TIMEOUT_MS = 15_000;
/** Size of a usual stream, and a pause that the deployment allows. */
const EVENTS = 64;
const EVENT_INTERVAL_MS = 200;
/** The SIGTERM comes this long after the request, in milliseconds. */
const TERM_AFTER_MS = 1_000;
const GRACE_MS = 8_000;
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
  await fleet.addRunner({
    id: "i-1",
    service: "engines",
    script: (request) => {
      if (!request.path.startsWith("/chat/")) {
        request.socket.write(createAnswer(request, { body: "{}" }));
        return;
      }
      record.add(`i-1 runs ${request.id}`);
      void streamWithoutLength(request, {
        count: EVENTS,
        intervalMs: EVENT_INTERVAL_MS,
      });
    },
  });
  const router = await fleet.addRouter("front-1");
  record.add("the caller sends stream-1");
  const asked = ask(router.address, {
    id: "stream-1",
    method: "POST",
    path: "/chat/x",
    body: "{}",
    deadlineMs: TIMEOUT_MS,
  });
  await sleep(TERM_AFTER_MS);
  if (HAS_TROUBLE) {
    record.add("SIGTERM to front-1");
    router.signal("SIGTERM");
    void router.exited.then(({ code, signal }) =>
      record.add(`front-1 has ended: code ${code}, signal ${signal}`)
    );
    void sleep(GRACE_MS).then(() => {
      if (!router.isRunning) return;
      record.add("SIGKILL to front-1, after the grace time");
      router.signal("SIGKILL");
    });
  }
  const answer = await asked;
  const pieces = answer.body.split("\n\n").length - 1;
  record.add(
    `the caller got status ${answer.status}, ${pieces} of ${EVENTS} pieces, ` +
      `framing ${answer.framing}, end ${answer.end}, ` +
      `complete by the protocol: ${answer.isWhole}`,
  );
  if (HAS_TROUBLE) await router.exited;
  if (!HAS_TROUBLE && answer.body !== WHOLE) {
    return ["without the disruption, the stream is not whole"];
  }
  return answer.status === 200 && answer.isWhole && answer.body !== WHOLE
    ? [`the stream ends as complete after ${pieces} of ${EVENTS} pieces`]
    : [];
});
