/**
 * Peers controller: owns the control connections. It dials peers, exchanges
 * heartbeats with them and keeps the membership.
 */
import type { Server } from "node:net";
import type { Log } from "../log.ts";
import type { Router } from "../types.ts";
import { createMembership, type Membership } from "../policy/membership.ts";
import {
  dialPeer,
  type Direction,
  isConnectionRefused,
  listenForPeers,
  type PeerConnection,
  type PeerDial,
} from "../transport/peer_connection.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { ConfigurationStatus } from "./configuration_controller.ts";
import {
  type Heartbeat,
  parseHeartbeat,
  type PoolOffer,
  type PoolReturn,
  renderHeartbeat,
} from "./heartbeat.ts";
import type { Clock, LivenessView } from "./views.ts";

/** Calls of the peers controller into the rest of the daemon. */
export interface PeersHooks {
  /** Collects the loans offered to each of `peers`, in the order of `peers`. */
  collectOffers(
    peers: readonly string[],
  ): Promise<readonly (readonly PoolOffer[])[]>;
  onHeartbeat(heartbeat: Heartbeat): void;
  /** Receives the parameters of a `chats` notification: directory changes. */
  onChats(params: unknown): void;
  /** Serves a request of a peer. Returns the result to send. */
  onRequest(method: string, params: unknown): Promise<unknown>;
  /** Called with the number of bytes that were received or sent. */
  onBytes(direction: Direction, bytes: number): void;
  /** State of this router's configuration, to send in heartbeats. */
  getConfigurationStatus(): ConfigurationStatus;
}

/** Options of `createPeersController`. */
export interface PeersOptions {
  readonly self: Router;
  /** `ip:port` to listen on. Peers may dial a different address. */
  readonly listenAddress: string;
  /** Unique id of this process. */
  readonly incarnation: string;
  /** Shared secret of the fleet. */
  readonly key: string;
  /** Control addresses to dial until a configuration lists the routers. */
  readonly seedPeers: readonly string[];
  /** Interval of the heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Silence after which a peer is not live, in milliseconds. */
  readonly livenessMs: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: TaskSystem;
  readonly hooks: PeersHooks;
}

/** State of a peer in the status for operators. */
export interface PeerStatus {
  readonly name: string;
  readonly live: boolean;
  /** Configuration version in the peer's last heartbeat; 0 before the first. */
  readonly version: number;
}

/** Owns the control connections. */
export interface PeersController extends LivenessView {
  /** Starts to listen and to dial. Rejects if it can't listen. */
  open(): Promise<void>;
  /** Sets the routers to stay connected to. */
  setRouters(routers: readonly Router[]): void;
  /**
   * Announces to all peers that this router is stopping and that it gives up
   * the loans in `returns`.
   */
  announceLeaving(returns: readonly PoolReturn[]): void;
  /** Sends a notification to a peer if it is connected. */
  notify(peer: string, method: string, params: unknown): void;
  /**
   * Sends a request to a peer and returns its answer, or undefined if the peer
   * is not connected. Rejects if the peer does not answer in time.
   */
  request(
    peer: string,
    call: { method: string; params: unknown; timeoutMs: number },
  ): Promise<unknown>;
  connectedPeers(): readonly string[];
  /**
   * Time since the last heartbeat of a peer, or since it connected, in
   * milliseconds; infinite if it has never connected.
   */
  getSilenceMs(peer: string): number;
  status(): readonly PeerStatus[];
  close(): void;
}

type Message =
  | { readonly kind: "tick" }
  | { readonly kind: "open"; readonly connection: PeerConnection }
  | { readonly kind: "close"; readonly connection: PeerConnection }
  | { readonly kind: "dial-failed"; readonly address: string }
  | { readonly kind: "gone"; readonly peer: string }
  | { readonly kind: "routers"; readonly routers: readonly Router[] }
  | {
    readonly kind: "heartbeat";
    readonly connection: PeerConnection;
    readonly params: unknown;
  };

interface PeerState {
  connection: PeerConnection | undefined;
  lastReceivedAt: number;
  version: number;
}

/** Creates a peers controller. Call `open` to start it. */
export function createPeersController(options: PeersOptions): PeersController {
  return new SocketPeersController(options);
}

class SocketPeersController implements PeersController {
  readonly #options: PeersOptions;
  readonly #membership: Membership;
  readonly #task: Task<Message>;
  readonly #peers = new Map<string, PeerState>();
  readonly #dials = new Map<string, PeerDial>();
  #routers: readonly Router[] = [];
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isLeaving = false;
  #returnedLoans: readonly PoolReturn[] = [];
  #isClosed = false;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.#membership = createMembership({
      self: options.self.name,
      livenessMs: options.livenessMs,
    });
    this.#task = options.tasks.spawn<Message>("peers", {
      handle: (message) => this.#handle(message),
      onFailure: (cause) => {
        options.log.error("A message failed.", { cause: String(cause) });
      },
    });
  }

  async open(): Promise<void> {
    const { listenAddress, heartbeatMs } = this.#options;
    this.#server = await listenForPeers(
      listenAddress,
      {
        ...this.#createPeerOptions(),
        onError: (cause) =>
          this.#options.log.warn("The control server failed.", {
            cause: cause.message,
          }),
      },
    );
    this.#timer = setInterval(
      () => this.#task.send({ kind: "tick" }),
      heartbeatMs,
    );
    this.#task.send({ kind: "tick" });
  }

  setRouters(routers: readonly Router[]): void {
    this.#task.send({ kind: "routers", routers });
  }

  isLive(router: string): boolean {
    return this.#membership.isLive(router, this.#options.clock());
  }

  isLeaving(): boolean {
    return this.#isLeaving;
  }

  announceLeaving(returns: readonly PoolReturn[]): void {
    this.#returnedLoans = returns;
    this.#isLeaving = true;
    this.#membership.recordLeaving(this.#options.self.name);
    this.#task.send({ kind: "tick" });
  }

  notify(peer: string, method: string, params: unknown): void {
    this.#peers.get(peer)?.connection?.notify(method, params);
  }

  async request(
    peer: string,
    call: { method: string; params: unknown; timeoutMs: number },
  ): Promise<unknown> {
    const connection = this.#peers.get(peer)?.connection;
    if (connection === undefined) return undefined;
    return await connection.request(call.method, call.params, call.timeoutMs);
  }

  connectedPeers(): readonly string[] {
    return [...this.#peers]
      .filter(([, peer]) => peer.connection !== undefined)
      .map(([name]) => name);
  }

  getSilenceMs(peer: string): number {
    const state = this.#peers.get(peer);
    return state === undefined
      ? Infinity
      : this.#options.clock() - state.lastReceivedAt;
  }

  status(): readonly PeerStatus[] {
    return [...this.#peers].map(([name, peer]) => ({
      name,
      live: this.isLive(name),
      version: peer.version,
    }));
  }

  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#server?.close();
    for (const dial of this.#dials.values()) dial.close();
    for (const peer of this.#peers.values()) peer.connection?.close();
    this.#task.stop();
  }

  #createPeerOptions() {
    const { self, key, hooks } = this.#options;
    const send = (message: Message): void => {
      if (!this.#isClosed) this.#task.send(message);
    };
    return {
      name: self.name,
      key,
      handlers: {
        onOpen: (connection: PeerConnection) =>
          send({ kind: "open", connection }),
        onClose: (connection: PeerConnection) =>
          send({ kind: "close", connection }),
        onNotification: (
          connection: PeerConnection,
          method: string,
          params: unknown,
        ) => {
          if (method === "hb") send({ kind: "heartbeat", connection, params });
          if (method === "chats") hooks.onChats(params);
        },
        onRequest: (_: PeerConnection, method: string, params: unknown) =>
          hooks.onRequest(method, params),
        onBytes: hooks.onBytes,
      },
    };
  }

  async #handle(message: Message): Promise<void> {
    switch (message.kind) {
      case "tick":
        this.#closeSilentConnections();
        this.#dialMissing();
        await this.#sendHeartbeats(this.connectedPeers());
        break;
      case "open":
        await this.#handleOpen(message.connection);
        break;
      case "close":
        this.#handleClose(message.connection);
        break;
      case "dial-failed":
        this.#dials.delete(message.address);
        break;
      case "gone":
        this.#options.log.warn("A peer refuses connections.", {
          peer: message.peer,
        });
        this.#membership.recordProcessExit(message.peer);
        break;
      case "routers":
        this.#routers = message.routers;
        this.#dialMissing();
        break;
      case "heartbeat":
        await this.#receiveHeartbeat(message.connection, message.params);
        break;
    }
  }

  async #handleOpen(connection: PeerConnection): Promise<void> {
    const { log, clock, self } = this.#options;
    if (connection.peer === self.name) {
      connection.close();
      return;
    }
    const peer = this.#peers.get(connection.peer);
    if (peer !== undefined && this.#isDuplicate(peer, connection)) {
      connection.close();
      return;
    }
    peer?.connection?.close();
    this.#peers.set(connection.peer, {
      connection,
      lastReceivedAt: clock(),
      version: peer?.version ?? 0,
    });
    log.info("Connected to a peer.", { peer: connection.peer });
    await this.#sendHeartbeats([connection.peer]);
  }

  /**
   * Whether `connection` duplicates an active one and is to be closed. If two
   * routers dial each other at the same time, both ends keep the connection
   * dialed by the router with the lesser name. A new connection replaces a
   * silent one.
   */
  #isDuplicate(peer: PeerState, connection: PeerConnection): boolean {
    const { clock, self, heartbeatMs } = this.#options;
    const isFresh = clock() - peer.lastReceivedAt <= heartbeatMs;
    if (peer.connection === undefined || !isFresh) return false;
    const isSelfLesser = self.name < connection.peer;
    const isPreferred = connection.isDialed === isSelfLesser;
    return !isPreferred && peer.connection.isDialed === isSelfLesser;
  }

  #handleClose(connection: PeerConnection): void {
    const peer = this.#peers.get(connection.peer);
    if (peer?.connection === connection) {
      peer.connection = undefined;
      this.#options.log.warn("Lost the connection to a peer.", {
        peer: connection.peer,
      });
      this.#probe(connection.peer);
    }
    this.#removeUnconnectedDials();
  }

  /**
   * Checks whether the process of `peer` has exited: its host then refuses
   * connections, whereas a network failure makes them time out.
   */
  #probe(peer: string): void {
    const address = this.#routers.find(({ name }) => name === peer)
      ?.controlAddress;
    if (address === undefined) return;
    void isConnectionRefused(address).then((isConnectionRefused) => {
      if (isConnectionRefused && !this.#isClosed) {
        this.#task.send({ kind: "gone", peer });
      }
    });
  }

  #removeUnconnectedDials(): void {
    for (const [address, router] of this.#getDialTargets()) {
      const peer = router === undefined ? undefined : this.#peers.get(router);
      if (peer?.connection === undefined) this.#dials.delete(address);
    }
  }

  #closeSilentConnections(): void {
    const { clock, livenessMs, log } = this.#options;
    const now = clock();
    for (const [name, peer] of this.#peers) {
      const silenceMs = now - peer.lastReceivedAt;
      if (peer.connection === undefined || silenceMs <= livenessMs) continue;
      log.warn("Closing a silent connection to a peer.", {
        peer: name,
        silenceMs,
      });
      peer.connection.close();
    }
  }

  /**
   * Addresses to dial, each with the router's name. The names of seed peers are
   * not known.
   */
  #getDialTargets(): Map<string, string | undefined> {
    const { self, seedPeers } = this.#options;
    const targets = new Map<string, string | undefined>();
    for (const router of this.#routers) {
      if (router.name === self.name) continue;
      targets.set(router.controlAddress, router.name);
    }
    if (this.#routers.length > 0) return targets;
    for (const address of seedPeers) {
      if (address !== self.controlAddress) targets.set(address, undefined);
    }
    return targets;
  }

  #dialMissing(): void {
    const { self } = this.#options;
    for (const [address, router] of this.#getDialTargets()) {
      if (this.#dials.has(address)) continue;
      // Only the lesser name of a pair dials, so the pair has one connection.
      if (router !== undefined && router < self.name) continue;
      if (router !== undefined && this.#peers.get(router)?.connection) continue;
      this.#dial(address);
    }
  }

  #dial(address: string): void {
    const dial = dialPeer(address, {
      ...this.#createPeerOptions(),
      onFailed: () => {
        if (!this.#isClosed) this.#task.send({ kind: "dial-failed", address });
      },
    });
    this.#dials.set(address, dial);
  }

  /**
   * Answers the heartbeat of a borrower immediately: a loan runs from the
   * sending time of that heartbeat, so a delay would shorten it.
   */
  async #renewLoans(connection: PeerConnection): Promise<void> {
    const { hooks } = this.#options;
    const [offers = []] = await hooks.collectOffers([connection.peer]);
    if (offers.length === 0) return;
    this.#sendHeartbeat(connection, { offers, isReply: true });
  }

  async #sendHeartbeats(peers: readonly string[]): Promise<void> {
    const offers = await this.#options.hooks.collectOffers(peers);
    peers.forEach((name, index) => {
      const connection = this.#peers.get(name)?.connection;
      if (connection === undefined) return;
      this.#sendHeartbeat(connection, { offers: offers[index]! });
    });
  }

  #sendHeartbeat(
    connection: PeerConnection,
    { offers, isReply = false }: {
      offers: readonly PoolOffer[];
      isReply?: boolean;
    },
  ): void {
    const { hooks, incarnation, clock } = this.#options;
    const params = renderHeartbeat({
      sentAt: { incarnation, at: clock() },
      configurationStatus: hooks.getConfigurationStatus(),
      isLeaving: this.#isLeaving,
      isReply,
      offers,
      returns: this.#returnedLoans,
    });
    connection.notify("hb", params);
  }

  async #receiveHeartbeat(
    connection: PeerConnection,
    params: unknown,
  ): Promise<void> {
    const heartbeat = parseHeartbeat(connection.peer, params);
    const peer = this.#peers.get(connection.peer);
    if (heartbeat === undefined || peer === undefined) return;
    const now = this.#options.clock();
    const { incarnation } = heartbeat.sentAt;
    peer.lastReceivedAt = now;
    peer.version = heartbeat.configurationStatus.version;
    this.#membership.recordMessage(connection.peer, now, { incarnation });
    if (heartbeat.isLeaving) {
      this.#membership.recordLeaving(connection.peer, { incarnation });
    }
    this.#options.hooks.onHeartbeat(heartbeat);
    if (!heartbeat.isReply) await this.#renewLoans(connection);
  }
}
