/**
 * Controller of the control connections: dials peers, exchanges heartbeats and
 * keeps the membership.
 */
import type { Server } from "node:net";
import type { Log } from "../log.ts";
import type { Router } from "../types.ts";
import { createMembership, type Membership } from "../policy/membership.ts";
import {
  dialPeer,
  type Direction,
  isRefused,
  listenForPeers,
  type PeerConnection,
  type PeerDial,
} from "../transport/peer_connection.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { PeerWord } from "./configuration_controller.ts";
import {
  type Heartbeat,
  parseHeartbeat,
  type PoolOffer,
  type PoolReturn,
  renderHeartbeat,
} from "./heartbeat.ts";
import type { Clock, LivenessView } from "./views.ts";

/** What the peers controller needs of the rest of the daemon. */
export interface PeersHooks {
  /** Collects the offers to each of `peers`, in the same order. */
  collectOffers(
    peers: readonly string[],
  ): Promise<readonly (readonly PoolOffer[])[]>;
  onHeartbeat(heartbeat: Heartbeat): void;
  /** Takes changes of a pool's directory. */
  onChats(params: unknown): void;
  onRequest(method: string, params: unknown): Promise<unknown>;
  onBytes(direction: Direction, bytes: number): void;
  /** What to say of the configuration in force here. */
  getWord(): PeerWord;
}

/** Options of the peers controller. */
export interface PeersOptions {
  readonly self: Router;
  /** `ip:port` to listen on; peers may know another one. */
  readonly listenAddress: string;
  readonly incarnation: string;
  readonly key: string;
  /** Control addresses to dial before a configuration names the routers. */
  readonly seedPeers: readonly string[];
  readonly heartbeatMs: number;
  readonly livenessMs: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: TaskSystem;
  readonly hooks: PeersHooks;
}

/** State of a peer as operators see it. */
export interface PeerStatus {
  readonly name: string;
  readonly live: boolean;
  readonly version: number;
}

/** Owner of the control connections. */
export interface PeersController extends LivenessView {
  /** Starts to listen and to dial. */
  open(): Promise<void>;
  /** Sets the routers to keep connections with. */
  setRouters(routers: readonly Router[]): void;
  /** Tells every peer that this router stops and which loans it gives up. */
  announceLeaving(returns: readonly PoolReturn[]): void;
  /** Sends a notification to a peer, if it is connected. */
  notify(peer: string, method: string, params: unknown): void;
  request(
    peer: string,
    call: { method: string; params: unknown; timeoutMs: number },
  ): Promise<unknown>;
  connectedPeers(): readonly string[];
  /** Time since a peer was heard, milliseconds; infinite before the first. */
  silenceOf(peer: string): number;
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
  heardAt: number;
  version: number;
}

/** Creates a peers controller; `open` starts it. */
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
  #returns: readonly PoolReturn[] = [];
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
      this.#peerOptions(),
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
    this.#returns = returns;
    this.#isLeaving = true;
    this.#membership.leaving(this.#options.self.name);
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

  silenceOf(peer: string): number {
    const state = this.#peers.get(peer);
    return state === undefined
      ? Infinity
      : this.#options.clock() - state.heardAt;
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

  #peerOptions() {
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
        this.#dropSilent();
        this.#dialMissing();
        await this.#sendHeartbeats(this.connectedPeers());
        break;
      case "open":
        await this.#opened(message.connection);
        break;
      case "close":
        this.#closed(message.connection);
        break;
      case "dial-failed":
        this.#dials.delete(message.address);
        break;
      case "gone":
        this.#options.log.warn("A peer's process is gone.", {
          peer: message.peer,
        });
        this.#membership.lost(message.peer);
        break;
      case "routers":
        this.#routers = message.routers;
        this.#dialMissing();
        break;
      case "heartbeat":
        await this.#heard(message.connection, message.params);
        break;
    }
  }

  async #opened(connection: PeerConnection): Promise<void> {
    const { log, clock, self } = this.#options;
    if (connection.peer === self.name) {
      connection.close();
      return;
    }
    const peer = this.#peers.get(connection.peer);
    if (peer !== undefined && this.#isSurplus(peer, connection)) {
      connection.close();
      return;
    }
    peer?.connection?.close();
    this.#peers.set(connection.peer, {
      connection,
      heardAt: clock(),
      version: peer?.version ?? 0,
    });
    log.info("Connected to a peer.", { peer: connection.peer });
    await this.#sendHeartbeats([connection.peer]);
  }

  /**
   * Of two connections that a pair has opened at once both ends keep the one
   * that the lesser name dialled. A new connection replaces a silent one.
   */
  #isSurplus(peer: PeerState, connection: PeerConnection): boolean {
    const { clock, self, heartbeatMs } = this.#options;
    const isFresh = clock() - peer.heardAt <= heartbeatMs;
    if (peer.connection === undefined || !isFresh) return false;
    const isSelfLesser = self.name < connection.peer;
    const isPreferred = connection.isDialed === isSelfLesser;
    return !isPreferred && peer.connection.isDialed === isSelfLesser;
  }

  #closed(connection: PeerConnection): void {
    const peer = this.#peers.get(connection.peer);
    if (peer?.connection === connection) {
      peer.connection = undefined;
      this.#options.log.warn("Lost the connection to a peer.", {
        peer: connection.peer,
      });
      this.#probe(connection.peer);
    }
    this.#forgetDials();
  }

  /** A refused connection tells a process that is gone from a cut one. */
  #probe(peer: string): void {
    const address = this.#routers.find(({ name }) => name === peer)
      ?.controlAddress;
    if (address === undefined) return;
    void isRefused(address).then((isGone) => {
      if (isGone && !this.#isClosed) this.#task.send({ kind: "gone", peer });
    });
  }

  #forgetDials(): void {
    for (const [address, router] of this.#dialTargets()) {
      const peer = router === undefined ? undefined : this.#peers.get(router);
      if (peer?.connection === undefined) this.#dials.delete(address);
    }
  }

  #dropSilent(): void {
    const { clock, livenessMs, log } = this.#options;
    const now = clock();
    for (const [name, peer] of this.#peers) {
      const silenceMs = now - peer.heardAt;
      if (peer.connection === undefined || silenceMs <= livenessMs) continue;
      log.warn("A peer's connection is silent.", { peer: name, silenceMs });
      peer.connection.close();
    }
  }

  /** Addresses to dial, each with its router's name where it is known. */
  #dialTargets(): Map<string, string | undefined> {
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
    for (const [address, router] of this.#dialTargets()) {
      if (this.#dials.has(address)) continue;
      // One end of each pair dials, so that the pair holds one connection.
      if (router !== undefined && router < self.name) continue;
      if (router !== undefined && this.#peers.get(router)?.connection) continue;
      this.#dial(address);
    }
  }

  #dial(address: string): void {
    const dial = dialPeer(address, {
      ...this.#peerOptions(),
      onFailed: () => {
        if (!this.#isClosed) this.#task.send({ kind: "dial-failed", address });
      },
    });
    this.#dials.set(address, dial);
  }

  /** Answers a borrower at once, so that its loan is as fresh as can be. */
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
      word: hooks.getWord(),
      isLeaving: this.#isLeaving,
      isReply,
      offers,
      returns: this.#returns,
    });
    connection.notify("hb", params);
  }

  async #heard(connection: PeerConnection, params: unknown): Promise<void> {
    const heartbeat = parseHeartbeat(connection.peer, params);
    const peer = this.#peers.get(connection.peer);
    if (heartbeat === undefined || peer === undefined) return;
    const now = this.#options.clock();
    const { incarnation } = heartbeat.sentAt;
    peer.heardAt = now;
    peer.version = heartbeat.word.version;
    this.#membership.heard(connection.peer, now, { incarnation });
    if (heartbeat.isLeaving) {
      this.#membership.leaving(connection.peer, { incarnation });
    }
    this.#options.hooks.onHeartbeat(heartbeat);
    if (!heartbeat.isReply) await this.#renewLoans(connection);
  }
}
