/** Tests of the ends of answers without a length, with processes that are killed. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { AnswerEnd } from "../policy/answer_end.ts";
import {
  createUpstreamConnections,
  type UpstreamConnections,
} from "../transport/upstream_connections.ts";
import { AnswerEndChecks } from "./answer_end_checks.ts";

const clock = () => performance.now();
const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
/** Answers each request with a response without a length, and may end it. */
const SERVER = `require("node:net").createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => {
      socket.write(${JSON.stringify(HEAD)} + "part");
      if (process.argv[1] === "whole") socket.end();
    });
  }).listen(0, "127.0.0.1", function () {
    console.log(this.address().port);
  });`;
const RUNS = 12;

let connections: UpstreamConnections;
let checks: AnswerEndChecks;

beforeEach(() => {
  connections = createUpstreamConnections({ clock });
  checks = new AnswerEndChecks({ connections, clock });
});

afterEach(async () => {
  await connections.close();
});

async function startServer(kind: "part" | "whole"): Promise<{
  child: ChildProcess;
  address: string;
}> {
  const child = spawn(process.execPath, ["-e", SERVER, kind]);
  const [chunk] = await once(child.stdout, "data");
  return { child, address: `127.0.0.1:${Number(String(chunk))}` };
}

/** Sends a request and judges the end of its answer. */
async function judgeAnswer(
  address: string,
  onData: () => void,
): Promise<AnswerEnd> {
  const check = checks.begin({
    address,
    service: "plain",
    isRepeatable: false,
  });
  try {
    return await new Promise((resolve) => {
      connections.send({
        address,
        method: "GET",
        path: "/",
        headers: [],
        body: undefined,
        maxIdleMs: 0,
      }, {
        onHead: () => check.recordHead({ status: 200, isFramed: false }),
        onData,
        onEnd: () => resolve(check.judge()),
        onFailure: () => resolve("cut"),
      });
    });
  } finally {
    check.close();
  }
}

// Guards against a killed upstream that counts as alive, since its kernel closes
// its connections one after the other, and the socket that accepts others last.
test("the answer of a process that was killed amid it is not whole", async () => {
  const ends: AnswerEnd[] = [];
  for (let run = 0; run < RUNS; run++) {
    const { child, address } = await startServer("part");
    // The connection without requests is open before the second answer begins.
    void judgeAnswer(address, () => {});
    await sleep(20);
    ends.push(await judgeAnswer(address, () => child.kill("SIGKILL")));
  }
  expect(ends.filter((end) => end === "whole")).toEqual([]);
});

test("the answer of a process that goes on running is whole", async () => {
  const { child, address } = await startServer("whole");
  for (let run = 0; run < RUNS; run++) {
    expect(await judgeAnswer(address, () => {})).toBe("whole");
  }
  child.kill("SIGKILL");
});
