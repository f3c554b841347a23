/**
 * Answers without a length of upstreams that end amid them and are back at once,
 * and whole ones of upstreams to which new connections get no answer.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  createSignedHead,
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

const BODY = "0123456789".repeat(40);
const HALF = BODY.slice(0, BODY.length / 2);
const EVENTS = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n";
const ROUNDS = 12;
const CALLERS = 8;
/** Exceeds the time in which an answer without a length is checked. */
const PAUSE_MS = 100;
/** Exceeds the time for which connections without requests are kept. */
const UNWATCHED_MS = 10_500;

let fleet: LocalIngress;

afterEach(async () => {
  await fleet.close();
});

/** Returns an answer without a length. */
function createUnframed(
  request: ReceivedRequest,
  { status = 200, type = "text/plain", body = BODY } = {},
): string {
  const more = `content-type: ${type}\r\nconnection: close\r\n\r\n${body}`;
  return createSignedHead(request, { status, more });
}

/** Sends `count` requests at once and returns their answers. */
function askAll(path: string, { round, count }: {
  round: number;
  count: number;
}) {
  return Promise.all(
    Array.from(
      { length: count },
      (_, each) => fleet.ask({ id: `${path}-${round}-${each}`, path }),
    ),
  );
}

// Guards against half of an answer without a length that passes for the whole,
// since the process that wrote it has ended and one that listens at its address
// accepts connections (MIXED).
test.each([
  ["is back after 2 ms", 2],
  ["is back after 60 ms", 60],
  ["is back after 400 ms", 400],
])(
  "half of an answer whose upstream ends and %s is not whole",
  async (_, restartMs) => {
    fleet = await new LocalIngress().start({ upstreams: 2 });
    let crashes = 0;
    for (const upstream of fleet.upstreams) {
      let requests = 0;
      let isUp = true;
      upstream.script = (request) => {
        if (!isUp) return request.socket.destroy();
        if (++requests % 3 !== 0) {
          request.socket.end(createUnframed(request));
          return;
        }
        crashes++;
        isUp = false;
        upstream.crash(request.socket, createUnframed(request, { body: HALF }));
        setTimeout(async () => {
          await upstream.restart();
          isUp = true;
        }, restartMs);
      };
    }
    const texts = new Set<string>();
    for (let round = 0; round < ROUNDS; round++) {
      for (const path of ["/book/x", "/read/x"]) {
        const [answer] = await askAll(path, { round, count: 1 });
        if (answer!.status === 200) texts.add(answer!.text);
        await sleep(PAUSE_MS);
      }
    }
    expect(crashes).toBeGreaterThan(2);
    expect([...texts]).toEqual([BODY]);
  },
);

test("whole answers without a length arrive from the first one on", async () => {
  fleet = await new LocalIngress().start({ upstreams: 2 });
  fleet.script((request) => request.socket.end(createUnframed(request)));
  for (const count of [1, CALLERS, 1, 1]) {
    for (const path of ["/book/x", "/read/x"]) {
      for (const answer of await askAll(path, { round: count, count })) {
        expect(answer).toMatchObject({ status: 200, text: BODY });
      }
    }
  }
});

// Guards against a booking that is lost although its upstream is sound, since
// its service has framed all its answers so far.
test("the first answer without a length of a service arrives", async () => {
  fleet = await new LocalIngress().start({ upstreams: 1 });
  fleet.script(sendCompleteResponse);
  await askAll("/read/x", { round: 1, count: 1 });
  await sleep(UNWATCHED_MS);
  fleet.script((request) => request.socket.end(createUnframed(request)));
  const [booking] = await askAll("/book/x", { round: 2, count: 1 });
  expect(booking).toMatchObject({ status: 200, text: BODY });
});

// Guards against errors of upstreams that are replaced by the router's own.
test.each([404, 500])(
  "an answer %d without a length arrives",
  async (status) => {
    fleet = await new LocalIngress().start({ upstreams: 2 });
    fleet.script((request) =>
      request.socket.end(createUnframed(request, { status }))
    );
    for (const path of ["/book/x", "/read/x"]) {
      const [answer] = await askAll(path, { round: 1, count: 1 });
      expect(answer).toMatchObject({ status, text: BODY });
    }
  },
);

// Guards against whole answers that are lost because a question to their
// upstream, such as a busy one, gets no answer in time.
test("a whole stream of an engine that does not report itself arrives", async () => {
  fleet = await new LocalIngress().start({ upstreams: 2, areEngines: true });
  for (const upstream of fleet.upstreams) {
    fleet.putUpstream(upstream, { born: 7, seq: 2 });
    await fleet.untilLogged({ upstream: upstream.id, bornAt: 7 });
  }
  fleet.script((request) => {
    if (request.head.includes("/corianderflow/report")) return;
    request.socket.end(
      createUnframed(request, { type: "text/event-stream", body: EVENTS }),
    );
  });
  for (let round = 0; round < 3; round++) {
    const [stream] = await askAll("/plan/x", { round, count: 1 });
    expect(stream).toMatchObject({ text: EVENTS, isReset: false });
  }
});

test("an upstream that answers with a length gets no further connections", async () => {
  fleet = await new LocalIngress().start({ upstreams: 1 });
  fleet.script(sendCompleteResponse);
  for (let round = 0; round < 4; round++) {
    await askAll("/read/x", { round, count: 1 });
  }
  const sockets = new Set(fleet.arrived.map(({ socket }) => socket));
  expect(sockets.size).toBe(1);
});
