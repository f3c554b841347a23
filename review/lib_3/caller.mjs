/** A caller on one kept connection, which sees the bytes that a router sends. */
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { HOST } from "./fleet.mjs";

const LOOPBACK = "127.0.0.1";
const MAX_WAIT_MS = 50;

/** Splits a chunked body; undefined while it is not whole. */
function readChunks(text) {
  let body = "";
  let index = 0;
  for (;;) {
    const end = text.indexOf("\r\n", index);
    if (end < 0) return undefined;
    const size = parseInt(text.slice(index, end), 16);
    const next = end + 2 + size + 2;
    if (text.length < next) return undefined;
    if (size === 0) return { body, length: next };
    body += text.slice(end + 2, end + 2 + size);
    index = next;
  }
}

/** Reads an answer; undefined while it is not whole. */
function readAnswer(text) {
  const end = text.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [line, ...lines] = text.slice(0, end).split("\r\n");
  const headers = Object.fromEntries(lines.map((each) => {
    const colon = each.indexOf(":");
    return [each.slice(0, colon).toLowerCase(), each.slice(colon + 1).trim()];
  }));
  const status = Number(line.split(" ")[1]);
  const rest = text.slice(end + 4);
  if (headers["transfer-encoding"] === "chunked") {
    const chunks = readChunks(rest);
    if (chunks === undefined) return undefined;
    return {
      status,
      headers,
      body: chunks.body,
      length: end + 4 + chunks.length,
    };
  }
  const size = Number(headers["content-length"] ?? 0);
  if (rest.length < size) return undefined;
  return {
    status,
    headers,
    body: rest.slice(0, size),
    length: end + 4 + size,
  };
}

/** A caller's connection to a router. */
export class Caller {
  /** How the connection ended; undefined while it is open. */
  end;
  #socket;
  #pending = Buffer.alloc(0);
  #error;

  constructor({ port }) {
    const socket = connect(port, LOOPBACK);
    this.#socket = socket;
    socket.on(
      "data",
      (chunk) => this.#pending = Buffer.concat([this.#pending, chunk]),
    );
    socket.on("error", ({ code }) => this.#error = code);
    socket.on("close", () => this.end = this.#error ?? "closed");
  }

  /** Whether any byte of an answer is there that was not read. */
  get hasBytes() {
    return this.#pending.length > 0;
  }

  /** Writes a whole request at once. */
  send({ id, method = "GET", path, body = "", deadlineMs, headers = {} }) {
    const fields = {
      "Host": HOST,
      "X-Attempt-Id": id,
      "X-Deadline-Ms": deadlineMs,
      ...headers,
      ...(body !== "" && { "Content-Length": Buffer.byteLength(body) }),
    };
    const lines = Object.entries(fields)
      .map(([name, value]) => `${name}: ${value}\r\n`);
    this.#socket.write(
      `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`,
    );
  }

  /** Resolves with the next whole answer; undefined if none comes. */
  async receive({ timeoutMs }) {
    const end = performance.now() + timeoutMs;
    for (;;) {
      const answer = readAnswer(this.#pending.toString("latin1"));
      if (answer !== undefined) {
        this.#pending = this.#pending.subarray(answer.length);
        return answer;
      }
      const leftMs = end - performance.now();
      if (this.end !== undefined || leftMs <= 0) return undefined;
      await new Promise((resolve) => {
        const timer = setTimeout(finish, Math.min(leftMs, MAX_WAIT_MS));
        const socket = this.#socket;
        function finish() {
          clearTimeout(timer);
          socket.off("data", finish);
          resolve();
        }
        socket.once("data", finish);
      });
    }
  }

  close() {
    this.#socket.destroy();
  }
}
