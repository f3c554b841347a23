/**
 * A request is in flight when its router gets SIGTERM, and its large answer is
 * the last one that the router has to pass on. The runner and the caller are
 * sound and quick; the answer must reach the caller whole.
 */
import {
  ask,
  createAnswer,
  HAS_TROUBLE,
  runCase,
  sleep,
} from "../lib/harness.mjs";

/** Time limit of the request and timeout of its route, in milliseconds. */
const TIMEOUT_MS = 6_000;
/** Time that the runner works before it answers, in milliseconds. */
const WORK_MS = 3_500;
/** The SIGTERM comes this long after the request, in milliseconds. */
const TERM_AFTER_MS = 300;
/** More than the kernel buffers of one connection hold. */
const BODY_BYTES = 15 * 1_048_576;
const GRACE_MS = 8_000;

await runCase(import.meta.url, async (fleet) => {
  const { record } = fleet;
  await fleet.open({
    routes: [{
      name: "issue",
      prefix: "/issue/",
      kind: "non_idempotent",
      service: "portal",
      timeoutMs: TIMEOUT_MS,
    }],
    services: [{ name: "portal" }],
  });
  const body = "0123456789abcdef".repeat(BODY_BYTES / 16);
  await fleet.addRunner({
    id: "i-1",
    service: "portal",
    script: async (request) => {
      record.add(`i-1 runs ${request.id}`);
      await sleep(WORK_MS);
      request.socket.write(
        createAnswer(request, { body }),
        () => record.add(`i-1 has sent its whole answer, ${body.length} bytes`),
      );
    },
  });
  const router = await fleet.addRouter("front-1");
  record.add("the caller sends issue-1");
  const asked = ask(router.address, {
    id: "issue-1",
    method: "POST",
    path: "/issue/x",
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
  record.add(
    `the caller got status ${answer.status}, ${answer.body.length} of ` +
      `${body.length} bytes, end ${answer.end}, complete: ${answer.isWhole}`,
  );
  if (HAS_TROUBLE) await router.exited;
  return answer.isWhole && answer.body === body
    ? []
    : [`issue-1 has run and its answer ends after ${answer.body.length} bytes`];
});
