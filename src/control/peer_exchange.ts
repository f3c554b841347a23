/**
 * Exchanges state with the other routers in datagrams, which may be lost.
 * Relays publish loads to each other. Other routers request from a relay the
 * loads of the fleet and the changes in the metadata store.
 */
import { Buffer } from "node:buffer";
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import {
  createJSONRPCNotification,
  createJSONRPCRequest,
  createJSONRPCSuccessResponse,
  type JSONRPCID,
} from "json-rpc-2.0";
import type { Log } from "../log.ts";
import type { LoadCounts, PeerLoads } from "../policy/peer_loads.ts";
import { PeerRotation } from "../policy/peer_rotation.ts";
import type { RelayPlan } from "../policy/relay_plan.ts";
import type { Instant, StoreUpdate } from "../routing/types.ts";
import { parseAddress } from "../transport/address.ts";
import {
  type AskMessage,
  type AskResponse,
  type FindingsReport,
  isEmptyReport,
  type LoadsMessage,
  parsePeerMessage,
  type PeerMessage,
} from "./peer_messages.ts";
import type { StreamMessage } from "./stream_messages.ts";

/** The part of the routing state that routers exchange. */
export interface SharedRoutingState {
  /** Addresses of the routers by name, this one included. */
  routers(): ReadonlyMap<string, string>;
  /**
   * Store revision up to which this router knows all changes; undefined before
   * the first.
   */
  readonly revision: number | undefined;
  /** Era of the store in which that revision is. */
  readonly era: number;
  /** Age of the configuration in milliseconds. */
  ageAt(now: Instant): number;
  /**
   * Changes in the store after revision `after` of `era`; undefined if they are
   * not known or too many for one message.
   */
  getStoreUpdate(after: number, era: number): StoreUpdate | undefined;
  /** Applies the response of `router` to a request sent at `sentAt`. */
  receiveStoreUpdate(
    update: StoreUpdate,
    from: { readonly sentAt: Instant; readonly router: string },
  ): void;
  /** Records that changes are missing here that a relay could not send. */
  recordMissedChanges(): void;
}

/** Where a message goes. */
export interface ReportReceiver {
  /** Undefined for a message that goes to several relays. */
  readonly router: string | undefined;
  /** Whether it is a router that asks this one, not a relay. */
  readonly isFollower: boolean;
}

/** What a router learns from requests and other routers have to act on. */
export interface SharedFindings {
  /** Returns what other routers may not know. */
  createReport(receiver: ReportReceiver): FindingsReport;
  /** Merges what another router knows. */
  receiveReport(
    report: FindingsReport,
    from: { readonly router: string },
  ): void;
}

/** Options of `createPeerExchange`. */
export interface PeerExchangeOptions {
  readonly self: string;
  /** `ip:port` to listen on. */
  readonly address: string;
  /** Reads the steady clock and the wall clock. */
  readonly now: () => Instant;
  readonly log: Log;
  readonly plan: RelayPlan;
  readonly keeper: SharedRoutingState;
  readonly getOwnLoads: () => LoadCounts;
  /** Returns the upstreams that this router can't connect to. */
  readonly getUnreachable?: () => readonly string[];
  readonly peerLoads: PeerLoads;
  /** What the routers have learned about upstreams from requests. */
  readonly findings?: SharedFindings;
  /** Called with each message about streams. */
  readonly onStreamMessage?: (message: StreamMessage) => void;
  /** Interval of the requests to a relay, in milliseconds. */
  readonly askMs: number;
  /**
   * Age of the configuration above which a relay, too, sends requests to
   * another relay, in milliseconds.
   */
  readonly staleMs: number;
  /** Interval at which a relay publishes its loads, in milliseconds. */
  readonly publishMs?: number;
  /** Maximum number of relays to which loads are published at a time. */
  readonly fanOut?: number;
}

/** The exchange of state with the other routers. */
export interface PeerExchange {
  /**
   * Binds the socket and starts. Rejects if the address can't be bound; `open`
   * can then be called again, and messages are lost until then.
   */
  open(): Promise<void>;
  /** Sends a JSON-RPC message to a router of the fleet; it may be lost. */
  send(message: object, router: string): void;
  close(): void;
}

interface PendingRequest {
  readonly relay: string;
  readonly sentAt: Instant;
}

/** One tenth of the duration of most requests. */
const PUBLISH_INTERVAL_MS = 200;
/** Covers all other routers in a fleet of up to nine. */
const FAN_OUT = 8;
/** A response to an older request is too old to be of use. */
const MAX_PENDING_REQUESTS = 4;

const NO_FINDINGS: SharedFindings = {
  createReport: () => ({}),
  receiveReport: () => {},
};

class DatagramPeerExchange implements PeerExchange {
  readonly #options: Required<PeerExchangeOptions>;
  readonly #socket: Socket;
  readonly #rotation: PeerRotation;
  readonly #pendingRequests = new Map<JSONRPCID, PendingRequest>();
  #timer: NodeJS.Timeout | undefined;
  // Starting at the wall-clock time keeps the sequence rising over restarts.
  #sequence = Date.now();
  #invalidCount = 0;
  #isBound = false;
  #isClosed = false;
  #relay: string | undefined;
  #joinedRelays = "";

  constructor(options: Required<PeerExchangeOptions>) {
    this.#options = options;
    this.#rotation = new PeerRotation(options);
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes, from) => this.#receive(bytes, from));
    this.#socket.on("error", (cause) => {
      // Who opens the exchange learns of the failure before that.
      if (!this.#isBound) return;
      options.log.warn("The peer socket failed.", {
        cause: cause.message,
      });
    });
  }

  open(): Promise<void> {
    const { host, port } = parseAddress(this.#options.address);
    return new Promise((resolve, reject) => {
      const socket = this.#socket;
      const onListening = () => {
        socket.off("error", onBindError);
        this.#isBound = true;
        if (!this.#isClosed) this.#schedule();
        resolve();
      };
      function onBindError(cause: Error): void {
        socket.off("listening", onListening);
        reject(cause);
      }
      socket.once("error", onBindError);
      socket.once("listening", onListening);
      socket.bind(port, host);
    });
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(): void {
    const { plan, publishMs, askMs } = this.#options;
    this.#timer = setTimeout(() => {
      this.#schedule();
      this.#updateRelays();
      if (plan.isRelay) this.#publishLoads();
      if (this.#isRequestNeeded()) this.#requestUpdate();
      else this.#pendingRequests.clear();
    }, plan.isRelay ? publishMs : askMs);
  }

  #updateRelays(): void {
    const { plan, peerLoads, log } = this.#options;
    const relays = plan.relays.join();
    if (relays === this.#joinedRelays) return;
    this.#joinedRelays = relays;
    peerLoads.clear();
    log.info("The relays have changed.", { isRelay: plan.isRelay, relays });
  }

  /** A relay sends requests only while the store does not answer it. */
  #isRequestNeeded(): boolean {
    const { plan, keeper, now, staleMs } = this.#options;
    return !plan.isRelay || keeper.ageAt(now()) > staleMs;
  }

  #publishLoads(): void {
    const { plan } = this.#options;
    if (plan.relays.length === 0) return;
    const relays = new Set(plan.relays);
    const loads = this.#sumLoads((router) => !relays.has(router), {
      router: undefined,
      isFollower: false,
    });
    const message = createJSONRPCNotification("loads", loads);
    const bytes = Buffer.from(JSON.stringify(message));
    for (const relay of this.#rotation.next(plan.relays)) {
      this.#send(bytes, relay);
    }
  }

  /**
   * Adds up this router's loads and those received from the routers for which
   * `isIncluded` is true.
   */
  #sumLoads(
    isIncluded: (router: string) => boolean,
    receiver: ReportReceiver,
  ): LoadsMessage {
    const { self, now, getOwnLoads, getUnreachable, peerLoads } = this.#options;
    const received = peerLoads.sumLoads(now().steady, isIncluded);
    return {
      router: self,
      sequence: ++this.#sequence,
      counts: addCounts(received.counts, getOwnLoads()),
      routers: received.routers + 1,
      unreachable: addCounts(
        received.unreachable,
        countOnce(getUnreachable()),
      ),
      ...this.#createFindings(receiver),
    };
  }

  /** Returns the findings for a message, which lacks the field without any. */
  #createFindings(receiver: ReportReceiver): Pick<LoadsMessage, "findings"> {
    const findings = this.#options.findings.createReport(receiver);
    return isEmptyReport(findings) ? {} : { findings };
  }

  #requestUpdate(): void {
    const { self, now, plan, keeper, getOwnLoads, getUnreachable } =
      this.#options;
    const instant = now();
    this.#recordUnanswered(instant.steady);
    const relay = plan.next(instant.steady);
    if (relay === undefined) return;
    this.#setRelay(relay);
    const params: AskMessage = {
      router: self,
      sequence: ++this.#sequence,
      counts: getOwnLoads(),
      unreachable: countOnce(getUnreachable()),
      ...this.#createFindings({ router: relay, isFollower: false }),
      after: keeper.revision,
      era: keeper.era,
    };
    this.#pendingRequests.set(this.#sequence, { relay, sentAt: instant });
    const message = createJSONRPCRequest(this.#sequence, "ask", params);
    this.#send(Buffer.from(JSON.stringify(message)), relay);
  }

  /**
   * Counts the last request as unanswered if it is still pending: a response
   * was due within one interval. Drops the oldest requests.
   */
  #recordUnanswered(now: number): void {
    const last = [...this.#pendingRequests].at(-1)?.[1];
    if (last !== undefined) {
      this.#options.plan.recordMissedAnswer(last.relay, now);
    }
    for (const id of this.#pendingRequests.keys()) {
      if (this.#pendingRequests.size < MAX_PENDING_REQUESTS) break;
      this.#pendingRequests.delete(id);
    }
  }

  #setRelay(relay: string): void {
    const { plan, peerLoads, log, keeper, now } = this.#options;
    if (relay === this.#relay) return;
    // Its loads cover the whole fleet and would be counted twice.
    if (!plan.isRelay && this.#relay !== undefined) {
      peerLoads.forget(this.#relay);
    }
    const ageMs = Math.round(keeper.ageAt(now()));
    log.info("The relay for requests has changed.", {
      relay,
      before: this.#relay,
      ageMs,
    });
    this.#relay = relay;
  }

  #receive(bytes: Buffer, from: RemoteInfo): void {
    const { log, self, keeper, now, peerLoads, onStreamMessage } =
      this.#options;
    const message = parsePeerMessage(bytes);
    if (message === undefined) {
      this.#invalidCount++;
      log.warn("Received an invalid message.", {
        count: this.#invalidCount,
        from: from.address,
      });
      return;
    }
    if (message.kind === "answer") {
      this.#receiveResponse(message.id, message.answer);
      return;
    }
    const sender = getSender(message);
    if (sender === self || !keeper.routers().has(sender)) return;
    if (message.kind !== "ask" && message.kind !== "loads") {
      onStreamMessage(message);
      return;
    }
    const loads = message.kind === "ask" ? message.ask : message.loads;
    const { router } = loads;
    peerLoads.recordLoads(router, loads, now().steady);
    this.#receiveFindings(loads);
    if (message.kind === "ask") this.#respond(message.id, message.ask);
  }

  #respond(id: JSONRPCID, { router, after, era = 0 }: AskMessage): void {
    const { keeper } = this.#options;
    const response: AskResponse = {
      loads: this.#sumLoads((name) => name !== router, {
        router,
        isFollower: true,
      }),
      word: after === undefined ? undefined : keeper.getStoreUpdate(after, era),
    };
    const message = createJSONRPCSuccessResponse(id, response);
    this.#send(Buffer.from(JSON.stringify(message)), router);
  }

  #receiveResponse(id: JSONRPCID, { loads, word }: AskResponse): void {
    const { plan, keeper, peerLoads, now } = this.#options;
    const pending = this.#pendingRequests.get(id);
    if (pending === undefined || pending.relay !== loads.router) return;
    // Responses to earlier requests hold nothing newer.
    for (const older of [...this.#pendingRequests.keys()]) {
      this.#pendingRequests.delete(older);
      if (older === id) break;
    }
    const { steady } = now();
    if (!plan.isRelay) peerLoads.recordLoads(loads.router, loads, steady);
    this.#receiveFindings(loads);
    const { relay, sentAt } = pending;
    if (word === undefined) {
      plan.recordMissedAnswer(relay, steady);
      keeper.recordMissedChanges();
      return;
    }
    if ((word.era ?? 0) < keeper.era) {
      // The relay has not seen yet that the store returned to a copy.
      plan.recordMissedAnswer(relay, steady);
      return;
    }
    const ageMs = word.isStoreLost ? Infinity : word.ageMs;
    plan.recordAnswer(relay, { ageMs, now: steady });
    keeper.receiveStoreUpdate(word, { sentAt, router: relay });
  }

  #receiveFindings({ findings, router }: LoadsMessage): void {
    if (findings === undefined) return;
    this.#options.findings.receiveReport(findings, { router });
  }

  send(message: object, router: string): void {
    this.#send(Buffer.from(JSON.stringify(message)), router);
  }

  #send(bytes: Buffer, router: string): void {
    const address = this.#options.keeper.routers().get(router);
    // A send binds an unbound socket to a port that nobody knows. Streams can
    // begin until the last connection to a caller is closed.
    if (address === undefined || !this.#isBound || this.#isClosed) return;
    const { host, port } = parseAddress(address);
    this.#socket.send(bytes, port, host);
  }
}

/** Returns the name of the router that sent a message other than an answer. */
function getSender(
  message: Exclude<PeerMessage, { kind: "answer" }>,
): string {
  switch (message.kind) {
    case "ask":
      return message.ask.router;
    case "loads":
      return message.loads.router;
    case "streams":
      return message.message.router;
    case "find-stream":
      return message.question.router;
    case "stream-finding":
      return message.finding.router;
  }
}

function addCounts(counts: LoadCounts, others: LoadCounts): LoadCounts {
  const sum = new Map(Object.entries(counts));
  for (const [upstream, count] of Object.entries(others)) {
    sum.set(upstream, (sum.get(upstream) ?? 0) + count);
  }
  return Object.fromEntries(sum);
}

function countOnce(upstreams: readonly string[]): LoadCounts {
  return Object.fromEntries(upstreams.map((upstream) => [upstream, 1]));
}

/** Creates a peer exchange. Call `open` to start it. */
export function createPeerExchange(
  options: PeerExchangeOptions,
): PeerExchange {
  return new DatagramPeerExchange({
    getUnreachable: () => [],
    findings: NO_FINDINGS,
    onStreamMessage: () => {},
    publishMs: PUBLISH_INTERVAL_MS,
    fanOut: FAN_OUT,
    ...options,
  });
}
