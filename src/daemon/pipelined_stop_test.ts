import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  API_KEY,
  HOST,
  LocalIngress,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

const REQUESTS = 40;
const ANSWER_MS = 300;

// Guards against a stop that answers the first of the requests on a connection
// and closes it before the others, which have run.
test("a stop answers all pipelined requests that were read", async () => {
  const fleet = await new LocalIngress().start({ bounds: { graceS: 8 } });
  fleet.script((request) => {
    setTimeout(() => sendCompleteResponse(request), ANSWER_MS);
  });
  const [host, port] = fleet.settings.listen.callers.split(":");
  const socket = connect(Number(port), host);
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  const closed = new Promise((resolve) => socket.once("close", resolve));
  for (let each = 0; each < REQUESTS; each++) {
    socket.write(
      `GET /read/x HTTP/1.1\r\nhost: ${HOST}\r\nx-attempt-id: a${each}\r\n` +
        `authorization: Bearer ${API_KEY}\r\nx-deadline-ms: 8000\r\n\r\n`,
    );
  }
  while (fleet.arrived.length === 0) await sleep(5);
  const stopped = fleet.daemon.stop();
  await closed;
  await stopped;
  await fleet.close();
  const answers = text.split("HTTP/1.1 ").slice(1);
  expect(answers.map((each) => each.slice(0, 3)))
    .toEqual(Array(REQUESTS).fill("200"));
  const closing = answers.map((each) => /^connection: close/im.test(each));
  expect(closing).toEqual([...Array(REQUESTS - 1).fill(false), true]);
}, 15_000);
