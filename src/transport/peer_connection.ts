/**
 * Control connection between two routers: JSON-RPC 2.0 over newline-delimited
 * JSON.
 *
 * The connecting router starts the handshake; the listening router sends the
 * first proof. Only the methods of the handshake are served until each end has
 * verified the proof of the other.
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
  computeProof,
  createNonce,
  type HandshakeNonces,
  isSameProof,
} from "./handshake.ts";

/** Direction of control traffic from the view of this router. */
export type Direction = "in" | "out";

/** Handlers for the events and requests of peers. */
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

/** Options of a connection, for both the dialing and the listening end. */
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
/** Methods of the protocol that expect a response. */
export const CALL_METHODS = ["config.read"] as const;
/** Methods of the protocol that expect no response. */
export const NOTIFICATION_METHODS = ["hb", "chats"] as const;

interface HelloParams {
  readonly name: string;
  readonly nonce: string;
}

interface HelloResult {
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
  #isOpen = false;

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
    socket.on("close", () => this.#onClosed());
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
      if (!this.#isOpen) socket.destroy();
    }, timeoutMs);
    timer.unref();
  }

  /**
   * Performs the handshake as the connecting end; returns whether the
   * connection is open afterwards.
   */
  async authenticateAsClient(): Promise<boolean> {
    this.isDialed = true;
    const { name, key } = this.#options;
    const clientNonce = createNonce();
    const helloResult = await this.#rpc.request("hello", {
      name,
      nonce: clientNonce,
    }) as HelloResult;
    const nonces = { client: clientNonce, server: helloResult.nonce };
    const expected = computeProof(key, helloResult.name, nonces);
    if (!isSameProof(expected, helloResult.proof)) {
      this.#socket.destroy();
      return false;
    }
    await this.#rpc.request("prove", {
      proof: computeProof(key, name, nonces),
    });
    this.#onAuthenticated(helloResult.name);
    return this.#isOpen;
  }

  /** Serves the handshake as the listening end. */
  serveHandshake(): void {
    let hello: HelloParams | undefined;
    let nonces: HandshakeNonces | undefined;
    const { name, key } = this.#options;
    this.#rpc.addMethod("hello", (params: HelloParams): HelloResult => {
      hello = params;
      nonces = { client: params.nonce, server: createNonce() };
      return {
        name,
        nonce: nonces.server,
        proof: computeProof(key, name, nonces),
      };
    });
    this.#rpc.addMethod("prove", (params: { proof: string }): boolean => {
      const isProofValid = hello !== undefined && nonces !== undefined &&
        isSameProof(computeProof(key, hello.name, nonces), params.proof);
      if (!isProofValid) {
        this.#socket.destroy();
        return false;
      }
      // The response must be sent before any other frame.
      setImmediate(() => this.#onAuthenticated(hello!.name));
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

  #onAuthenticated(peer: string): void {
    if (this.#socket.destroyed || this.#isOpen) return;
    this.peer = peer;
    this.#isOpen = true;
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

  #onClosed(): void {
    this.#rpc.rejectAllPendingRequests("the control connection was closed");
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#options.handlers.onClose(this);
  }
}

/** A connection attempt to a peer; `close` destroys its socket. */
export interface PeerDial {
  close(): void;
}

/**
 * Whether `address` (`ip:port`) refuses connections because nothing listens on
 * it; false for any other result, including no response before a timeout.
 */
export function isConnectionRefused(address: string): Promise<boolean> {
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

/**
 * Connects to the peer at `address` (`ip:port`). Calls `onOpen` after the
 * handshake, or `onFailed` if the connection closes before it is complete.
 */
export function dialPeer(
  address: string,
  options: PeerOptions & { onFailed(): void },
): PeerDial {
  const socket = connect(parseAddress(address));
  const peer = new SocketPeer(socket, options);
  let isAuthenticated = false;
  socket.once("connect", () => {
    peer.authenticateAsClient()
      .then((isOpen) => {
        isAuthenticated = isOpen;
      })
      .catch(() => socket.destroy());
  });
  socket.once("close", () => {
    if (!isAuthenticated) options.onFailed();
  });
  return { close: () => socket.destroy() };
}

/**
 * Accepts connections of peers on `address` (`ip:port`). Resolves when it is
 * bound and rejects if it can't be. `onError` receives what fails later.
 */
export function listenForPeers(
  address: string,
  options: PeerOptions & { onError(cause: Error): void },
): Promise<Server> {
  const server = createServer((socket) => {
    new SocketPeer(socket, options).serveHandshake();
  });
  return bindServer(server, address, options);
}
