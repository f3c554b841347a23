/** Faulty callers: bodies without end, and answers that nobody reads. */
import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createEndlessRequest,
  type EndlessRequest,
  sendEndlessly,
} from "../testing/endless_bytes.ts";
import { LARGE_ANSWER_PATH } from "../testing/registered_upstream.ts";
import { ROUTE_HOST, type RouterEndpoint } from "./store_chaos_calls.ts";

/** Where faulty callers send their requests, and for how long. */
export interface FloodOptions {
  readonly router: RouterEndpoint;
  readonly key: string;
  /** Start of the ids of the requests. */
  readonly name: string;
  readonly durationMs: number;
}

/** Largest body that the routes of the fleet allow, in bytes. */
export const MAX_BODY_BYTES = 4_200_000;
/** Callers at a time, by what they send. */
const CALLER_COUNTS: Readonly<Record<EndlessRequest, number>> = {
  "body": 20,
  "tiny-chunks": 8,
  "unfinished": 80,
};
/** Fewer than the plain services can serve, since each holds a slot of theirs. */
const UNREAD_CALLER_COUNT = 12;
const RECONNECT_MS = 200;
const DEADLINE_MS = 4_000;

/** Sends requests that don't end, from several callers at a time. */
export async function sendEndlessBodies(
  kind: EndlessRequest,
  options: FloodOptions,
): Promise<void> {
  await runCallers(CALLER_COUNTS[kind], options, async (socket, requestId) => {
    // The answer is read, and changes nothing.
    socket.resume();
    await sendEndlessly(
      socket,
      createEndlessRequest(kind, {
        path: "/book/x",
        fields: getFields(requestId, options),
        contentBytes: MAX_BODY_BYTES,
      }),
    );
  });
}

/** Asks for large answers and reads none of them. */
export async function leaveAnswersUnread(options: FloodOptions): Promise<void> {
  await runCallers(
    UNREAD_CALLER_COUNT,
    options,
    (socket, requestId) =>
      new Promise((resolve) => {
        const fields = Object.entries(getFields(requestId, options))
          .map(([name, value]) => `${name}: ${value}\r\n`);
        socket.once("close", () => resolve());
        socket.on("error", () => socket.destroy());
        socket.pause();
        socket.write(
          `GET ${LARGE_ANSWER_PATH} HTTP/1.1\r\n${fields.join("")}\r\n`,
        );
      }),
  );
}

/** Lets callers connect again and again until the time is over. */
async function runCallers(
  count: number,
  { router, name, durationMs }: FloodOptions,
  perform: (socket: Socket, requestId: string) => Promise<void>,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const [host, port] = router.address.split(":");
  let requestCount = 0;
  async function runCaller(): Promise<void> {
    while (performance.now() < endMs) {
      const socket = connect({ host, port: Number(port) });
      const timer = setTimeout(
        () => socket.destroy(),
        endMs - performance.now(),
      );
      await perform(socket, `${name}-${++requestCount}`);
      clearTimeout(timer);
      await sleep(RECONNECT_MS);
    }
  }
  await Promise.all(Array.from({ length: count }, runCaller));
}

function getFields(
  requestId: string,
  { key }: FloodOptions,
): Record<string, string> {
  return {
    "host": ROUTE_HOST,
    "authorization": `Bearer ${key}`,
    "x-attempt-id": requestId,
    "x-deadline-ms": String(DEADLINE_MS),
  };
}
