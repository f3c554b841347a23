/**
 * Guards against streams that a router breaks off after their first event, when a
 * configuration moves their route to runners whose event ids rise by more than
 * one (LOST).
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "../lib_3/caller.mjs";
import { runCase } from "../lib_3/run_case.mjs";

const CALLERS = 6;
const EVENTS = 5;
const EVENT_INTERVAL_MS = 40;
/** Tokens that an event of the new runners holds; their ids count tokens. */
const TOKENS_PER_EVENT = 6;
const DEADLINE_MS = 3_000;
const BEFORE_MS = 3_000;
const AFTER_MOVE_MS = 2_500;
const AFTER_MS = 6_000;
/** Bounds of the users' small deployments, in milliseconds. */
const CONFIG_APPLY_MS = 2_000;
const PLANNED_MS = CONFIG_APPLY_MS + 1_000;
const FACTOR = 3;

function createConfiguration(service) {
  return {
    routes: [{
      name: "tag",
      prefix: "/tag/",
      kind: "stream",
      service,
      timeoutMs: DEADLINE_MS,
      maxAttempts: 1,
    }],
    services: ["model-a", "model-b"]
      .map((name) => ({ name, coldStartS: 0, coldPerS: 0 })),
  };
}

function createScript(step) {
  return async ({ id, socket }) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\n` +
        `X-Response-Stamp: s/${id}\r\nContent-Type: text/event-stream\r\n` +
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    for (let each = 1; each <= EVENTS; each++) {
      const event = `id: ${each * step}\ndata: part ${each}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      await sleep(EVENT_INTERVAL_MS);
    }
    socket.write("0\r\n\r\n");
  };
}

await runCase(import.meta.url, async ({ fleet, isTrouble, record }) => {
  fleet.putConfiguration(createConfiguration("model-a"));
  for (
    const [service, step] of [["model-a", 1], ["model-b", TOKENS_PER_EVENT]]
  ) {
    for (let index = 0; index < 2; index++) {
      const script = createScript(step);
      await fleet.addRunner({ id: `${service}-${index}`, service, script });
    }
  }
  const router = await fleet.addRouter("router-1");
  const calls = [];
  let isEnded = false;

  async function keepCalling(index) {
    let caller = new Caller({ port: router.callers });
    for (let each = 0; !isEnded; each++) {
      const id = `tag-${index}-${each}`;
      const sentAt = performance.now();
      caller.send({ id, path: "/tag/", deadlineMs: DEADLINE_MS });
      const received = await caller.receive({ timeoutMs: DEADLINE_MS });
      const endedAt = performance.now();
      const isRun = fleet.arrived.some((run) => run.id === id);
      const isCut = received === undefined && caller.end !== undefined;
      calls.push({ id, sentAt, endedAt, isCut: isCut && isRun });
      if (caller.end !== undefined || received === undefined) {
        caller.close();
        caller = new Caller({ port: router.callers });
      }
    }
    caller.close();
  }

  const callers = Array.from(
    { length: CALLERS },
    (_, index) => keepCalling(index),
  );
  const planned = [];
  function move(service) {
    fleet.putConfiguration(createConfiguration(service));
    const at = performance.now();
    planned.push({ from: at, to: at + PLANNED_MS });
    record(`the store has accepted a configuration that names ${service}`);
  }
  await sleep(BEFORE_MS);
  if (isTrouble) move("model-b");
  await sleep(AFTER_MOVE_MS);
  if (isTrouble) move("model-a");
  await sleep(AFTER_MS);
  isEnded = true;
  await Promise.all(callers);

  /** Whether a call lies within the time of planned work. */
  function isBeside({ sentAt, endedAt }) {
    return planned.some(({ from, to }) => sentAt >= from && endedAt <= to);
  }
  const beside = calls.filter(isBeside);
  const others = calls.filter((call) => !isBeside(call));
  const cutBeside = beside.filter(({ isCut }) => isCut);
  const cutOthers = others.filter(({ isCut }) => isCut);
  record(
    `beside a configuration: ${cutBeside.length} of ${beside.length} ` +
      `streams were cut; at other times ${cutOthers.length} of ${others.length}`,
  );
  for (const line of router.output.split("\n")) {
    if (!line.includes(`"requestId":"${cutBeside[0]?.id}"`)) continue;
    record(`router's log: ${line}`);
  }
  const shareBeside = cutBeside.length / Math.max(1, beside.length);
  const shareOthers = cutOthers.length / Math.max(1, others.length);
  if (cutBeside.length === 0 || shareBeside <= FACTOR * shareOthers) return [];
  return [
    `${cutBeside.length} streams had been passed on to sound runners, and their ` +
    "connections ended without a complete answer",
  ];
});
