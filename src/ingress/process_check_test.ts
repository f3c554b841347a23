import type {
  ResponseListener,
  UpstreamExchange,
} from "../transport/upstream_connections.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import {
  checkProcess,
  type ProcessCheckOptions,
  ProcessChecks,
} from "./process_check.ts";

const ENTRY: UpstreamEntry = {
  id: "up",
  service: "engine",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  softwareVersion: "v1",
  bornAt: 7,
};

/** Returns connections on which `answer` handles the request for a report. */
function createOptions(answer: (listener: ResponseListener) => void) {
  let isCancelled = false;
  const exchange: UpstreamExchange = {
    isReused: false,
    cancel: () => isCancelled = true,
    pause: () => {},
    resume: () => {},
  };
  const options: ProcessCheckOptions = {
    clock: () => 10_000,
    getViewAgeMs: () => Infinity,
    connections: {
      isOpenSince: () => false,
      send: (_request, listener) => {
        setImmediate(() => answer(listener));
        return exchange;
      },
    },
  };
  return { options, isCancelled: () => isCancelled };
}

function respond(status: number, body: string) {
  return (listener: ResponseListener) => {
    listener.onHead(status, {});
    listener.onData(Buffer.from(body));
    listener.onEnd();
  };
}

function check(answer: (listener: ResponseListener) => void) {
  return checkProcess(ENTRY, createOptions(answer).options);
}

// Guards against an engine that is back under its id with other software.
test("an engine that states another start time is another process", async () => {
  expect(await check(respond(200, '{"born":8}'))).toBe("other");
  expect(await check(respond(200, '{"born":7}'))).toBe("same");
});

test("an upstream that does not state its start time can't be told apart", async () => {
  expect(await check(respond(404, ""))).toBe("same");
  expect(await check(respond(200, "{}"))).toBe("same");
  expect(await check(respond(200, "no JSON"))).toBe("same");
  const entry = { ...ENTRY, bornAt: undefined };
  const { options } = createOptions(respond(200, '{"born":8}'));
  expect(await checkProcess(entry, options)).toBe("same");
});

/**
 * Checks an engine whose answers are those of `answers`, all but the first on new
 * connections; returns the state and whether each new connection was asked for.
 */
async function checkReused(
  answers: readonly ((listener: ResponseListener) => void)[],
) {
  const isFresh: boolean[] = [];
  const state = await checkProcess(ENTRY, {
    connections: {
      isOpenSince: () => false,
      send: (request, listener) => {
        const count = isFresh.push(request.isFresh === true);
        setImmediate(() => answers[count - 1]!(listener));
        const isReused = count === 1;
        return { isReused, cancel() {}, pause() {}, resume() {} };
      },
    },
  });
  return { state, isFresh };
}

// Guards against a late copy of another answer that counts as the report of an
// engine which states no start time, so that a stream goes on at a process with
// other software (ORDER).
test("on a reused connection, only a report with a start time is believed", async () => {
  const report = respond(200, '{"born":8}');
  for (const copy of [respond(503, ""), respond(200, "ok"), respond(404, "")]) {
    expect(await checkReused([copy, report]))
      .toEqual({ state: "other", isFresh: [false, true] });
  }
  expect(await checkReused([report]))
    .toEqual({ state: "other", isFresh: [false] });
  expect(await checkReused([respond(404, ""), respond(404, "")]))
    .toEqual({ state: "same", isFresh: [false, true] });
});

// Guards against reports without end, and engines that don't answer.
test("an engine whose report does not end is silent", async () => {
  expect(await check((listener) => listener.onFailure("broken", "reset")))
    .toBe("silent");
  const endless = createOptions((listener) => {
    listener.onHead(200, {});
    listener.onData(Buffer.alloc(1_048_577));
  });
  expect(await checkProcess(ENTRY, endless.options)).toBe("silent");
  expect(endless.isCancelled()).toBe(true);
  const mute = createOptions(() => {});
  expect(await checkProcess(ENTRY, mute.options)).toBe("silent");
  expect(mute.isCancelled()).toBe(true);
});

// Guards against a process that counts as that of its entry by the age of a
// connection, while the store does not tell of a restart (ORDER).
test("a process is proven by its report, while a connection stays open", async () => {
  let openedAt = 5_000;
  let reports = 0;
  const { options } = createOptions((listener) => {
    reports++;
    respond(200, '{"born":7}')(listener);
  });
  const checks = new ProcessChecks({
    ...options,
    connections: {
      ...options.connections,
      isOpenSince: (_address, at) => openedAt <= at,
    },
  });
  expect(checks.isProven(ENTRY)).toBe(false);
  const answers = await Promise.all([
    checks.ask(ENTRY.address),
    checks.ask(ENTRY.address),
  ]);
  expect(answers[0]).toEqual({
    start: { kind: "stated", bornAt: 7 },
    askedAt: 10_000,
  });
  expect(reports).toBe(1);
  expect(checks.isProven(ENTRY)).toBe(true);
  expect(checks.isProven({ ...ENTRY, bornAt: 8 })).toBe(false);
  openedAt = 10_001;
  expect(checks.isProven(ENTRY)).toBe(false);
});

// Guards against a report for each new connection, which is priced, though the
// view of the upstreams would hold the entry of another process.
test("a process is proven by a view that was confirmed while a connection was open", () => {
  const { options } = createOptions(() => {});
  const isProven = (openedAt: number, viewAgeMs: number) =>
    new ProcessChecks({
      clock: options.clock,
      getViewAgeMs: () => viewAgeMs,
      connections: {
        ...options.connections,
        isOpenSince: (_address, at) => openedAt <= at,
      },
    }).isProven(ENTRY);
  expect(isProven(6_000, 1_000)).toBe(true);
  expect(isProven(6_001, 1_000)).toBe(false);
  expect(isProven(0, 8_000)).toBe(false);
  expect(isProven(0, Infinity)).toBe(false);
});
