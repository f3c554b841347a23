/**
 * Preloaded into a router process (`node --require`), so that a test can cut the
 * links of this one process to some addresses. Loopback has no links of its own
 * that could be cut, and a relay can't tell its clients apart.
 *
 * The file that LINK_FAULTS names holds JSON: `targets`, a list of `ip:port`, and
 * `mode`: `refused` resets open connections and refuses new ones, `hung` lets
 * both hang, `new-refused` and `new-hung` leave open ones as they are.
 *
 * When Node has started and has read the program, which it runs next, the module
 * writes a file of this name with the suffix `.loaded`.
 */
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const Module = require("node:module");
const { Socket } = require("node:net");
const process = require("node:process");

/** Interval at which the file is read, in milliseconds. */
const READ_INTERVAL_MS = 20;
const NO_FAULTS = { mode: "none", targets: [] };

const file = process.env.LINK_FAULTS;
const openSockets = new Map();
let text = "";
let faults = NO_FAULTS;

function createError(code, message) {
  return Object.assign(new Error(`${message} ${code}`), { code });
}

function isCut(target) {
  return faults.targets.includes(target);
}

function silence(socket) {
  socket.isSilenced = true;
  socket._handle?.readStop();
  socket._write = () => {};
  socket._writev = () => {};
}

function reset(socket) {
  socket.destroy(createError("ECONNRESET", "read"));
}

function applyFaults() {
  for (const [socket, target] of openSockets) {
    if (socket.isSilenced && !isCut(target)) reset(socket);
    if (!isCut(target)) continue;
    if (faults.mode === "refused") reset(socket);
    if (faults.mode === "hung") silence(socket);
  }
}

function readFaults() {
  const latest = existsSync(file) ? readFileSync(file, "utf8") : "";
  if (latest === text) return;
  text = latest;
  faults = text === "" ? NO_FAULTS : JSON.parse(text);
  applyFaults();
}

const connect = Socket.prototype.connect;
Socket.prototype.connect = function (...args) {
  const options = Array.isArray(args[0]) ? args[0][0] : args[0];
  const target = `${options?.host}:${options?.port}`;
  if (isCut(target)) {
    if (faults.mode.endsWith("refused")) {
      const error = createError("ECONNREFUSED", `connect ${target}`);
      process.nextTick(() => this.destroy(error));
    }
    return this;
  }
  openSockets.set(this, target);
  this.once("close", () => openSockets.delete(this));
  return connect.apply(this, args);
};

readFaults();
setInterval(readFaults, READ_INTERVAL_MS).unref();

const compile = Module.prototype._compile;
Module.prototype._compile = function (...args) {
  Module.prototype._compile = compile;
  writeFileSync(`${file}.loaded`, String(process.pid));
  return compile.apply(this, args);
};
