/**
 * A TCP relay between two ends, with faults.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { listen } from "./kv_http.ts";
import { Pipe } from "./relay_pipe.ts";

/** Where bytes go. */
export type Direction = "to-target" | "to-client";

/** Faults of a relay. */
export interface RelayFaults {
  /** Reset every connection and refuse new ones. */
  cut: boolean;
  /** Drop the bytes of one direction without a word. */
  cutOneWay: Direction | "none";
  /** Silence the connections that are open now for good; new ones work. */
  silence: boolean;
  /** Delay of each chunk, in milliseconds. */
  delayMs: number;
}

/** Bytes passed on and connections taken since the start. */
export interface RelayStats {
  connections: number;
  bytesToTarget: number;
  bytesToClient: number;
}

/** Options of a relay. */
export interface RelayOptions {
  /** `ip:port` of the far end. */
  target: string;
  port?: number;
}

/** A running relay. */
export interface Relay {
  /** `ip:port`. */
  readonly address: string;
  setFaults(faults: Partial<RelayFaults>): Promise<RelayFaults>;
  getStats(): RelayStats;
  /** Leads new connections to another far end, `ip:port`. */
  setTarget(target: string): void;
  close(): Promise<void>;
}

/** The two sockets and the two pipes of a relayed connection. */
interface Link {
  readonly client: Socket;
  readonly target: Socket;
  readonly pipes: readonly Pipe[];
}

class TcpRelay implements Relay {
  address = "";
  #server: Server | undefined;
  #port: number;
  #faults: RelayFaults = {
    cut: false,
    cutOneWay: "none",
    silence: false,
    delayMs: 0,
  };
  #stats: RelayStats = { connections: 0, bytesToTarget: 0, bytesToClient: 0 };
  #links = new Set<Link>();
  #target = { host: "", port: 0 };

  constructor({ target, port = 0 }: RelayOptions) {
    this.setTarget(target);
    this.#port = port;
  }

  setTarget(target: string): void {
    const [host = "", port] = target.split(":");
    this.#target = { host, port: Number(port) };
  }

  async open(): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, (client) => {
      this.#accept(client);
    });
    this.#server = server;
    this.address = await listen(server, this.#port);
    this.#port = Number(this.address.split(":")[1]);
  }

  async setFaults(faults: Partial<RelayFaults>): Promise<RelayFaults> {
    this.#faults = { ...this.#faults, ...faults, silence: false };
    if (faults.silence) this.#silence();
    if (this.#faults.cut) await this.close();
    else if (this.#server === undefined) await this.open();
    return this.#faults;
  }

  getStats(): RelayStats {
    return { ...this.#stats };
  }

  async close(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    const closed = new Promise<void>((resolve) => {
      if (server === undefined) resolve();
      else server.close(() => resolve());
    });
    for (const link of this.#links) this.#reset(link);
    await closed;
  }

  #accept(client: Socket): void {
    this.#stats.connections++;
    const target = connect({ ...this.#target, allowHalfOpen: true });
    const link = {
      client,
      target,
      pipes: [
        this.#createPipe("to-target", client, { sink: target }),
        this.#createPipe("to-client", target, { sink: client }),
      ],
    };
    this.#links.add(link);
    for (const socket of [client, target]) {
      socket.setNoDelay(true);
      socket.on("error", () => this.#handleClose(link, socket));
      socket.on("close", () => this.#handleClose(link, socket));
    }
  }

  #createPipe(
    direction: Direction,
    source: Socket,
    { sink }: { sink: Socket },
  ): Pipe {
    const counter = direction === "to-target"
      ? "bytesToTarget"
      : "bytesToClient";
    return new Pipe({
      source,
      sink,
      isCut: () => this.#faults.cutOneWay === direction,
      getDelayMs: () => this.#faults.delayMs,
      onBytes: (count) => this.#stats[counter] += count,
    });
  }

  #silence(): void {
    for (const { pipes } of this.#links) {
      for (const pipe of pipes) pipe.silence();
    }
  }

  /** Passes the end of one socket on, unless the other must not learn of it. */
  #handleClose(link: Link, closed: Socket): void {
    const other = closed === link.client ? link.target : link.client;
    const [toTarget, toClient] = link.pipes;
    const pipe = closed === link.client ? toTarget! : toClient!;
    if (other.destroyed) {
      this.#reset(link);
      return;
    }
    if (pipe.isDropping) return;
    if (closed.errored) this.#reset(link);
  }

  #reset(link: Link): void {
    this.#links.delete(link);
    for (const pipe of link.pipes) pipe.stop();
    for (const socket of [link.client, link.target]) {
      if (!socket.destroyed) socket.resetAndDestroy();
    }
  }
}

/** Starts a relay on loopback. */
export async function createRelay(options: RelayOptions): Promise<Relay> {
  const relay = new TcpRelay(options);
  await relay.open();
  return relay;
}
