/**
 * A control connection between two routers: JSON-RPC 2.0 over newline-delimited
 * JSON.
 *
 * The connecting router proves itself first. Nothing but the handshake is
 * served before both proofs were checked.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from "json-rpc-2.0";
import { bindServer, parseAddress } from "./address.ts";
import { readFrames, writeFrame } from "./frames.ts";
import {
  createNonce,
  type HandshakeNonces,
  isSameProof,
  proofOf,
} from "./handshake.ts";

/** Direction of control traffic as this router sees it. */
export type Direction = "in" | "out";

/** Serves the calls of a peer. */
export interface PeerHandlers {
  onOpen(peer: PeerConnection): void;
  onClose(peer: PeerConnection): void;
  onNotification(peer: PeerConnection, method: string, params: unknown): void;
  onRequest(
    peer: PeerConnection,
    method: string,
    params: unknown,
  ): Promise<unknown>;
  onBytes(direction: Direction, bytes: number): void;
}

/** Settings that both ends of a connection need. */
export interface PeerOptions {
  /** Name of this router. */
  name: string;
  /** Fleet key. */
  key: string;
  handlers: PeerHandlers;
  handshakeTimeoutMs?: number;
}

/** An authenticated connection to one peer. */
export interface PeerConnection {
  readonly peer: string;
  /** Whether this router opened the connection. */
  readonly isDialed: boolean;
  notify(method: string, params: unknown): void;
  request(method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  close(): void;
}

const HANDSHAKE_TIMEOUT_MS = 3_000;
/** Methods of the protocol that are calls; the others are notifications. */
export const CALL_METHODS = ["config.read"] as const;
/** Methods of the protocol that expect no answer. */
export const NOTIFICATION_METHODS = ["hb", "chats"] as const;

interface Hello {
  readonly name: string;
  readonly nonce: string;
}

interface Welcome {
  readonly name: string;
  readonly nonce: string;
  readonly proof: string;
}

class SocketPeer implements PeerConnection {
  peer = "";
  isDialed = false;
  readonly #socket: Socket;
  readonly #rpc: JSONRPCServerAndClient;
  readonly #options: PeerOptions;
  #open = false;

  constructor(socket: Socket, options: PeerOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({ errorListener: () => {} }),
      new JSONRPCClient((frame) => this.#send(frame)),
      { errorListener: () => {} },
    );
    socket.setNoDelay(true);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#closed());
    readFrames(socket, {
      onFrame: (frame, bytes) => {
        options.handlers.onBytes("in", bytes);
        this.#rpc.receiveAndSend(frame as never)
          .catch(() => socket.destroy());
      },
      onMalformed: () => socket.destroy(),
    });
    const timeoutMs = options.handshakeTimeoutMs ?? HANDSHAKE_TIMEOUT_MS;
    const timer = setTimeout(() => {
      if (!this.#open) socket.destroy();
    }, timeoutMs);
    timer.unref();
  }

  /**
   * Proves this router to the other end and checks its proof; returns whether
   * the connection is open then.
   */
  async proveAsClient(): Promise<boolean> {
    this.isDialed = true;
    const { name, key } = this.#options;
    const clientNonce = createNonce();
    const welcome = await this.#rpc.request("hello", {
      name,
      nonce: clientNonce,
    }) as Welcome;
    const nonces = { client: clientNonce, server: welcome.nonce };
    const expected = proofOf(key, welcome.name, nonces);
    if (!isSameProof(expected, welcome.proof)) {
      this.#socket.destroy();
      return false;
    }
    await this.#rpc.request("prove", { proof: proofOf(key, name, nonces) });
    this.#opened(welcome.name);
    return this.#open;
  }

  /** Waits for the other end to prove itself. */
  serveHandshake(): void {
    let hello: Hello | undefined;
    let nonces: HandshakeNonces | undefined;
    const { name, key } = this.#options;
    this.#rpc.addMethod("hello", (params: Hello): Welcome => {
      hello = params;
      nonces = { client: params.nonce, server: createNonce() };
      return { name, nonce: nonces.server, proof: proofOf(key, name, nonces) };
    });
    this.#rpc.addMethod("prove", (params: { proof: string }): boolean => {
      const isProved = hello !== undefined && nonces !== undefined &&
        isSameProof(proofOf(key, hello.name, nonces), params.proof);
      if (!isProved) {
        this.#socket.destroy();
        return false;
      }
      // The answer must leave before anything else does.
      setImmediate(() => this.#opened(hello!.name));
      return true;
    });
  }

  notify(method: string, params: unknown): void {
    if (this.#socket.destroyed) return;
    this.#rpc.notify(method, params as never);
  }

  async request(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    return await this.#rpc.timeout(timeoutMs).request(method, params as never);
  }

  close(): void {
    this.#socket.destroy();
  }

  #send(frame: unknown): Promise<void> {
    if (this.#socket.destroyed) return Promise.resolve();
    const bytes = writeFrame(this.#socket, frame);
    this.#options.handlers.onBytes("out", bytes);
    return Promise.resolve();
  }

  #opened(peer: string): void {
    if (this.#socket.destroyed || this.#open) return;
    this.peer = peer;
    this.#open = true;
    const { handlers } = this.#options;
    for (const method of NOTIFICATION_METHODS) {
      this.#rpc.addMethod(method, (params: unknown) => {
        handlers.onNotification(this, method, params);
      });
    }
    for (const method of CALL_METHODS) {
      this.#rpc.addMethod(
        method,
        (params: unknown) => handlers.onRequest(this, method, params),
      );
    }
    handlers.onOpen(this);
  }

  #closed(): void {
    this.#rpc.rejectAllPendingRequests("the connection has closed");
    if (!this.#open) return;
    this.#open = false;
    this.#options.handlers.onClose(this);
  }
}

/** An attempt to reach a peer; `close` gives it up. */
export interface PeerDial {
  close(): void;
}

/** Tells whether nothing listens at `address` any more. */
export function isRefused(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({
      ...parseAddress(address),
      timeout: HANDSHAKE_TIMEOUT_MS,
    });
    socket.once("connect", () => socket.destroy());
    socket.once("timeout", () => socket.destroy());
    socket.once("error", (error: NodeJS.ErrnoException) => {
      resolve(error.code === "ECONNREFUSED");
    });
    socket.once("close", () => resolve(false));
  });
}

/** Connects to a peer; the handlers learn of the outcome. */
export function dialPeer(
  address: string,
  options: PeerOptions & { onFailed(): void },
): PeerDial {
  const socket = connect(parseAddress(address));
  const peer = new SocketPeer(socket, options);
  let proved = false;
  socket.once("connect", () => {
    peer.proveAsClient()
      .then((isOpen) => {
        proved = isOpen;
      })
      .catch(() => socket.destroy());
  });
  socket.once("close", () => {
    if (!proved) options.onFailed();
  });
  return { close: () => socket.destroy() };
}

/** Listens for peers at `address`; resolves once it is bound. */
export function listenForPeers(
  address: string,
  options: PeerOptions,
): Promise<Server> {
  const server = createServer((socket) => {
    new SocketPeer(socket, options).serveHandshake();
  });
  return bindServer(server, address);
}
