/** A TCP relay with fault injection. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { listen } from "./stand_in_http.ts";
import { Pipe } from "./relay_pipe.ts";

/** Direction of bytes through a relay. */
export type Direction = "to-target" | "to-client";

/** Faults that a relay can inject. */
export interface RelayFaults {
  /** Resets all connections and refuses new ones. */
  cut: boolean;
  /** Silently drops the bytes of one direction. */
  cutOneWay: Direction | "none";
  /** Permanently silences the connections that are open now; new ones work. */
  silence: boolean;
  /** Delay of each chunk, in milliseconds. */
  delayMs: number;
}

/** Number of accepted connections and relayed bytes since the start. */
export interface RelayStats {
  connections: number;
  bytesToTarget: number;
  bytesToClient: number;
}

/** Options of a relay. */
export interface RelayOptions {
  /** `ip:port` to which connections are relayed. */
  target: string;
  /** Port to listen on; a free one by default. */
  port?: number;
}

/** A running relay. */
export interface Relay {
  /** `ip:port` that the relay listens on. */
  readonly address: string;
  setFaults(faults: Partial<RelayFaults>): Promise<RelayFaults>;
  getStats(): RelayStats;
  /** Whether bytes are kept from passing in a direction. */
  readonly isCut: boolean;
  /** Relays new connections to another target, `ip:port`. */
  setTarget(target: string): void;
  close(): Promise<void>;
}

/** The two sockets of a relayed connection and a pipe for each direction. */
interface RelayedConnection {
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
  #connections = new Set<RelayedConnection>();
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
    if (faults.silence) this.#silenceConnections();
    if (this.#faults.cut) await this.close();
    else if (this.#server === undefined) await this.open();
    return this.#faults;
  }

  get isCut(): boolean {
    return this.#faults.cut || this.#faults.cutOneWay !== "none";
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
    for (const connection of this.#connections) this.#reset(connection);
    await closed;
  }

  #accept(client: Socket): void {
    this.#stats.connections++;
    const target = connect({ ...this.#target, allowHalfOpen: true });
    const connection = {
      client,
      target,
      pipes: [
        this.#createPipe("to-target", client, { sink: target }),
        this.#createPipe("to-client", target, { sink: client }),
      ],
    };
    this.#connections.add(connection);
    for (const socket of [client, target]) {
      socket.setNoDelay(true);
      socket.on("error", () => this.#handleClose(connection, socket));
      socket.on("close", () => this.#handleClose(connection, socket));
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

  #silenceConnections(): void {
    for (const { pipes } of this.#connections) {
      for (const pipe of pipes) pipe.silence();
    }
  }

  /**
   * Resets the connection when both sockets have closed, or when one failed and
   * its pipe is not dropping data. A close that follows dropped data is not passed
   * on, because the other end must not learn of it.
   */
  #handleClose(connection: RelayedConnection, closed: Socket): void {
    const other = closed === connection.client
      ? connection.target
      : connection.client;
    const [toTarget, toClient] = connection.pipes;
    const pipe = closed === connection.client ? toTarget! : toClient!;
    if (other.destroyed) {
      this.#reset(connection);
      return;
    }
    if (pipe.isDropping) return;
    if (closed.errored) this.#reset(connection);
  }

  #reset(connection: RelayedConnection): void {
    this.#connections.delete(connection);
    for (const pipe of connection.pipes) pipe.stop();
    for (const socket of [connection.client, connection.target]) {
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
