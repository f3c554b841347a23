/**
 * Tells the other routers how many requests this one has at each upstream, and
 * hears the same from them, in datagrams that may be lost.
 *
 * A message is a JSON-RPC notification `loads`.
 */
import { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import type { Log } from "../log.ts";
import type { LoadCounts, PeerLoads } from "../policy/peer_loads.ts";
import { PeerRotation } from "../policy/peer_rotation.ts";
import { parseAddress } from "../transport/address.ts";

/** Options of the exchange. */
export interface LoadExchangeOptions {
  readonly self: string;
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly clock: () => number;
  readonly log: Log;
  /** Addresses of the routers by name, this one included. */
  readonly getRouters: () => ReadonlyMap<string, string>;
  readonly getOwnLoads: () => LoadCounts;
  readonly peerLoads: PeerLoads;
  readonly intervalMs?: number;
  readonly fanOut?: number;
}

/** A running exchange. */
export interface LoadExchange {
  open(): Promise<void>;
  close(): void;
}

interface LoadsMessage {
  readonly router: string;
  /** Grows with each message of a router, also over its restarts. */
  readonly sequence: number;
  readonly counts: LoadCounts;
}

/** A tenth of the time that most requests take, in milliseconds. */
const INTERVAL_MS = 200;
/** Peers told each time: a fleet of nine and below is told whole. */
const FAN_OUT = 8;
/** Above any service of the two-year size that one router sends to at a time. */
const MAX_UPSTREAMS = 1_000;

function isLoadCounts(value: unknown): value is LoadCounts {
  if (typeof value !== "object" || value === null) return false;
  const counts = Object.values(value);
  return counts.length <= MAX_UPSTREAMS &&
    counts.every((each) => Number.isInteger(each) && each >= 0);
}

function parseMessage(bytes: Buffer): LoadsMessage | undefined {
  try {
    const { method, params } = JSON.parse(bytes.toString("utf8"));
    const { router, sequence, counts } = params;
    if (method !== "loads" || typeof router !== "string") return undefined;
    if (!Number.isFinite(sequence) || !isLoadCounts(counts)) return undefined;
    return { router, sequence, counts };
  } catch {
    // Anything may come to an open port; the caller counts it.
    return undefined;
  }
}

class DatagramLoadExchange implements LoadExchange {
  readonly #options: Required<LoadExchangeOptions>;
  readonly #socket: Socket;
  readonly #rotation: PeerRotation;
  #timer: NodeJS.Timeout | undefined;
  #sequence = Date.now();
  #unreadable = 0;

  constructor(options: Required<LoadExchangeOptions>) {
    this.#options = options;
    this.#rotation = new PeerRotation(options);
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes) => this.#hear(bytes));
    this.#socket.on("error", (cause) => {
      options.log.warn("The exchange of loads failed.", {
        cause: cause.message,
      });
    });
  }

  open(): Promise<void> {
    const { address, intervalMs } = this.#options;
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        this.#timer = setInterval(() => this.#tell(), intervalMs);
        resolve();
      });
    });
  }

  close(): void {
    clearInterval(this.#timer);
    this.#socket.close();
  }

  #tell(): void {
    const { self, getRouters, getOwnLoads } = this.#options;
    const routers = getRouters();
    const peers = [...routers.keys()].filter((name) => name !== self);
    if (peers.length === 0) return;
    // A sequence from the time of day grows over a restart.
    this.#sequence++;
    const message = Buffer.from(JSON.stringify({
      jsonrpc: "2.0",
      method: "loads",
      params: {
        router: self,
        sequence: this.#sequence,
        counts: getOwnLoads(),
      },
    }));
    for (const peer of this.#rotation.next(peers)) {
      const { host, port } = parseAddress(routers.get(peer)!);
      this.#socket.send(message, port, host);
    }
  }

  #hear(bytes: Buffer): void {
    const { peerLoads, clock, log, self, getRouters } = this.#options;
    const message = parseMessage(bytes);
    if (message === undefined) {
      this.#unreadable++;
      log.warn("A message of loads can't be read.", {
        count: this.#unreadable,
      });
      return;
    }
    if (message.router === self || !getRouters().has(message.router)) return;
    peerLoads.take(message.router, message, clock());
  }
}

/** Creates the exchange; `open` starts it. */
export function createLoadExchange(
  options: LoadExchangeOptions,
): LoadExchange {
  return new DatagramLoadExchange({
    intervalMs: INTERVAL_MS,
    fanOut: FAN_OUT,
    ...options,
  });
}
