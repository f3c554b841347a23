/**
 * Guards against the end of a router's process when many callers at once send
 * requests with long prompts, whose heads are within the limit (LOST).
 */
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "../lib_3/caller.mjs";
import { HOST } from "../lib_3/fleet.mjs";
import { runCase } from "../lib_3/run_case.mjs";

const CALLERS = 1_000;
/** Callers at a time without the burst. */
const CALLERS_AT_A_TIME = 100;
const RUNNERS = 4;
const SLOTS = 64;
/** Time from the arrival of a request to its first event, in milliseconds. */
const FIRST_EVENT_MS = 6_000;
const CALM_FIRST_EVENT_MS = 500;
/** Between the connections of the callers, in milliseconds. */
const PAUSE_MS = 2;
const DEADLINE_MS = 12_000;
/** Parts of a prompt; the first half is shared. */
const PARTS = 1_200;
const TOKENS_PER_PART = 512;
/** Limit of the configuration. */
const MAX_HEADER_BYTES = 16_384;
/** Losses that the rule allows. */
const MAX_LOST = 3;

function createPrompt(caller) {
  const parts = Array.from({ length: PARTS }, (_, index) => {
    const isShared = index < PARTS / 2;
    const number = isShared ? index * 7_919 : caller * 100_003 + index * 31;
    const id = (number >>> 0).toString(16).padStart(8, "0");
    return `${id}:${TOKENS_PER_PART}`;
  });
  return {
    "X-Model": "m",
    "X-Token-Counts": `${PARTS * TOKENS_PER_PART},80`,
    "X-Prompt-Prefix": parts.join(","),
  };
}

/** Size of a request's head, which has no more than a few other fields. */
function getHeadBytes(headers) {
  const fields = { Host: HOST, ...headers };
  return Object.entries(fields)
    .reduce((sum, [name, value]) => sum + name.length + value.length + 4, 120);
}

await runCase(import.meta.url, async ({ fleet, isTrouble, record }) => {
  fleet.putConfiguration({
    routes: [{
      name: "plan",
      prefix: "/plan/",
      kind: "stream",
      service: "model",
      timeoutMs: DEADLINE_MS,
      maxAttempts: 1,
      sticky: true,
    }],
    services: [{ name: "model", coldStartS: 0, coldPerS: 0, engine: {} }],
  });
  const firstEventMs = isTrouble ? FIRST_EVENT_MS : CALM_FIRST_EVENT_MS;
  for (let index = 0; index < RUNNERS; index++) {
    await fleet.addRunner({
      id: `model-${index}`,
      service: "model",
      slots: SLOTS,
      script: async ({ id, socket }) => {
        await sleep(firstEventMs);
        const event = "id: 1\ndata: a plan\n\n";
        socket.write(
          `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\n` +
            `X-Response-Stamp: s/${id}\r\nContent-Type: text/event-stream\r\n` +
            "Transfer-Encoding: chunked\r\n\r\n" +
            `${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`,
        );
      },
    });
  }
  const router = await fleet.addRouter("router-1");
  const statuses = new Map();
  const lost = [];
  let largestBytes = 0;

  async function call(index) {
    const id = `plan-${index}`;
    const headers = createPrompt(index);
    largestBytes = Math.max(largestBytes, getHeadBytes(headers));
    const caller = new Caller({ port: router.callers });
    caller.send({ id, path: "/plan/", deadlineMs: DEADLINE_MS, headers });
    const received = await caller.receive({ timeoutMs: DEADLINE_MS });
    const fate = received?.status ?? `no answer, ${caller.end ?? "open"}`;
    statuses.set(fate, (statuses.get(fate) ?? 0) + 1);
    if (received === undefined && caller.end !== undefined) lost.push(id);
    caller.close();
  }

  const calls = new Set();
  let peakMb = 0;
  for (let index = 0; index < CALLERS; index++) {
    const each = call(index).finally(() => calls.delete(each));
    calls.add(each);
    await sleep(PAUSE_MS);
    if (!isTrouble && calls.size >= CALLERS_AT_A_TIME) {
      await Promise.race(calls);
    }
    peakMb = Math.max(peakMb, readMemoryMb(router.pid));
    if (router.end !== undefined) break;
  }
  await Promise.all(calls);
  record(`heads of up to ${largestBytes} bytes; limit ${MAX_HEADER_BYTES}`);
  record(`largest memory of the router: ${Math.round(peakMb)} MB`);
  const counts = [...statuses].map(([fate, count]) => `${fate}: ${count}`);
  record(`calls by end: ${counts.join("; ")}`);
  record(`runs: ${fleet.arrived.length}`);
  const runs = new Set(fleet.arrived.map(({ id }) => id));
  const lostRuns = lost.filter((id) => runs.has(id));
  if (router.end !== undefined) {
    record(`the router ended by itself: ${JSON.stringify(router.end)}`);
    const reason = /FATAL ERROR.*/.exec(router.output)?.[0];
    record(`its last words: ${reason}`);
  }
  if (lostRuns.length <= MAX_LOST) return [];
  return [
    `${lostRuns.length} requests had reached runners when their connections ` +
    "ended without an answer",
  ];
});

function readMemoryMb(pid) {
  try {
    const text = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmRSS:\s+(\d+) kB/m.exec(text)[1]) / 1_024;
  } catch {
    // The process has ended.
    return 0;
  }
}
