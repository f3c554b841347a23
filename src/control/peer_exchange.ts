/**
 * Speaks with the other routers, in datagrams that may be lost: relays tell
 * each other loads, and the others ask a relay for the loads of the fleet and
 * for what has changed in the metadata store.
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
import type { LoadCounts, LoadSum, PeerLoads } from "../policy/peer_loads.ts";
import { PeerRotation } from "../policy/peer_rotation.ts";
import type { RelayPlan } from "../policy/relay_plan.ts";
import type { Instant, StoreWord } from "../routing/types.ts";
import { parseAddress } from "../transport/address.ts";
import {
  type Answer,
  type AskMessage,
  type LoadsMessage,
  parsePeerMessage,
} from "./peer_messages.ts";

/** The routing state, as far as routers tell it to each other. */
export interface WordKeeper {
  /** Addresses of the routers by name, this one included. */
  routers(): ReadonlyMap<string, string>;
  /** Revision of the store that is known here; undefined before the first. */
  readonly revision: number | undefined;
  /** Age of the configuration in milliseconds. */
  ageAt(now: Instant): number;
  /** What has happened since a revision; undefined where that isn't known. */
  getWord(after: number): StoreWord | undefined;
  /** Takes what `router` answered to a question that was sent at `sentAt`. */
  takeWord(
    word: StoreWord,
    from: { readonly sentAt: Instant; readonly router: string },
  ): void;
  /** Notes that a relay could not tell what has happened. */
  noteBehind(): void;
}

/** Options of the exchange. */
export interface PeerExchangeOptions {
  readonly self: string;
  /** `ip:port` to listen on. */
  readonly address: string;
  /** Reads both clocks. */
  readonly now: () => Instant;
  readonly log: Log;
  readonly plan: RelayPlan;
  readonly keeper: WordKeeper;
  readonly getOwnLoads: () => LoadCounts;
  readonly peerLoads: PeerLoads;
  /** Interval at which a relay is asked, in milliseconds. */
  readonly askMs: number;
  /** Age from which also a relay asks another, in milliseconds. */
  readonly staleMs: number;
  readonly tellMs?: number;
  readonly fanOut?: number;
}

/** A running exchange. */
export interface PeerExchange {
  open(): Promise<void>;
  close(): void;
}

interface Question {
  readonly relay: string;
  readonly sentAt: Instant;
}

/** A tenth of the time that most requests take, in milliseconds. */
const TELL_MS = 200;
/** Relays told each time: a fleet of nine and below is told whole. */
const FAN_OUT = 8;
/** Questions whose answers are still taken; later ones are too old to help. */
const MOST_QUESTIONS = 4;

class DatagramPeerExchange implements PeerExchange {
  readonly #options: Required<PeerExchangeOptions>;
  readonly #socket: Socket;
  readonly #rotation: PeerRotation;
  readonly #questions = new Map<JSONRPCID, Question>();
  #timer: NodeJS.Timeout | undefined;
  // A sequence from the time of day grows over a restart.
  #sequence = Date.now();
  #unreadable = 0;
  #relay: string | undefined;
  #relays = "";

  constructor(options: Required<PeerExchangeOptions>) {
    this.#options = options;
    this.#rotation = new PeerRotation(options);
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes, from) => this.#hear(bytes, from));
    this.#socket.on("error", (cause) => {
      options.log.warn("The exchange with other routers failed.", {
        cause: cause.message,
      });
    });
  }

  open(): Promise<void> {
    const { host, port } = parseAddress(this.#options.address);
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        this.#schedule();
        resolve();
      });
    });
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(): void {
    const { plan, tellMs, askMs } = this.#options;
    this.#timer = setTimeout(() => {
      this.#schedule();
      this.#noteRelays();
      if (plan.isRelay) this.#tell();
      if (this.#isAsking()) this.#ask();
      else this.#questions.clear();
    }, plan.isRelay ? tellMs : askMs);
  }

  #noteRelays(): void {
    const { plan, peerLoads, log } = this.#options;
    const relays = plan.relays.join();
    if (relays === this.#relays) return;
    this.#relays = relays;
    peerLoads.clear();
    log.info("The relays have changed.", { isRelay: plan.isRelay, relays });
  }

  /** A relay asks only while the store does not answer it. */
  #isAsking(): boolean {
    const { plan, keeper, now, staleMs } = this.#options;
    return !plan.isRelay || keeper.ageAt(now()) > staleMs;
  }

  #tell(): void {
    const { plan } = this.#options;
    if (plan.relays.length === 0) return;
    const relays = new Set(plan.relays);
    const loads = this.#sumLoads((router) => !relays.has(router));
    const message = createJSONRPCNotification("loads", loads);
    const bytes = Buffer.from(JSON.stringify(message));
    for (const relay of this.#rotation.next(plan.relays)) {
      this.#send(bytes, relay);
    }
  }

  /** Own loads and those heard from routers whose name `isIncluded`. */
  #sumLoads(isIncluded: (router: string) => boolean): LoadsMessage {
    const { self, now, getOwnLoads, peerLoads } = this.#options;
    const heard = peerLoads.add(now().steady, isIncluded);
    const { counts, routers } = addOwn(heard, getOwnLoads());
    return { router: self, sequence: ++this.#sequence, counts, routers };
  }

  #ask(): void {
    const { self, now, plan, keeper, getOwnLoads } = this.#options;
    const instant = now();
    this.#noteMissed(instant.steady);
    const relay = plan.next(instant.steady);
    if (relay === undefined) return;
    this.#choose(relay);
    const ask: AskMessage = {
      router: self,
      sequence: ++this.#sequence,
      counts: getOwnLoads(),
      after: keeper.revision,
    };
    this.#questions.set(this.#sequence, { relay, sentAt: instant });
    const message = createJSONRPCRequest(this.#sequence, "ask", ask);
    this.#send(Buffer.from(JSON.stringify(message)), relay);
  }

  /** The last question has had a whole interval to be answered in. */
  #noteMissed(now: number): void {
    const last = [...this.#questions].at(-1)?.[1];
    if (last !== undefined) this.#options.plan.noteMissed(last.relay, now);
    for (const id of this.#questions.keys()) {
      if (this.#questions.size < MOST_QUESTIONS) break;
      this.#questions.delete(id);
    }
  }

  #choose(relay: string): void {
    const { plan, peerLoads, log, keeper, now } = this.#options;
    if (relay === this.#relay) return;
    // What it told holds for the fleet and would count twice.
    if (!plan.isRelay && this.#relay !== undefined) {
      peerLoads.forget(this.#relay);
    }
    const ageMs = Math.round(keeper.ageAt(now()));
    log.info("Another relay is asked.", { relay, before: this.#relay, ageMs });
    this.#relay = relay;
  }

  #hear(bytes: Buffer, from: RemoteInfo): void {
    const { log, self, keeper, now, peerLoads } = this.#options;
    const message = parsePeerMessage(bytes);
    if (message === undefined) {
      this.#unreadable++;
      log.warn("A message of a router can't be read.", {
        count: this.#unreadable,
        from: from.address,
      });
      return;
    }
    if (message.kind === "answer") {
      this.#hearAnswer(message.id, message.answer);
      return;
    }
    const loads = message.kind === "ask" ? message.ask : message.loads;
    const { router } = loads;
    if (router === self || !keeper.routers().has(router)) return;
    peerLoads.take(router, loads, now().steady);
    if (message.kind === "ask") this.#answer(message.id, message.ask);
  }

  #answer(id: JSONRPCID, { router, after }: AskMessage): void {
    const { keeper } = this.#options;
    const answer: Answer = {
      loads: this.#sumLoads((name) => name !== router),
      word: after === undefined ? undefined : keeper.getWord(after),
    };
    const message = createJSONRPCSuccessResponse(id, answer);
    this.#send(Buffer.from(JSON.stringify(message)), router);
  }

  #hearAnswer(id: JSONRPCID, { loads, word }: Answer): void {
    const { plan, keeper, peerLoads, now } = this.#options;
    const question = this.#questions.get(id);
    if (question === undefined || question.relay !== loads.router) return;
    // Answers to older questions say nothing new.
    for (const older of [...this.#questions.keys()]) {
      this.#questions.delete(older);
      if (older === id) break;
    }
    const { steady } = now();
    if (!plan.isRelay) peerLoads.take(loads.router, loads, steady);
    const { relay, sentAt } = question;
    if (word === undefined) {
      plan.noteMissed(relay, steady);
      keeper.noteBehind();
      return;
    }
    const ageMs = word.isStoreLost ? Infinity : word.ageMs;
    plan.noteAnswer(relay, { ageMs, now: steady });
    keeper.takeWord(word, { sentAt, router: relay });
  }

  #send(bytes: Buffer, router: string): void {
    const address = this.#options.keeper.routers().get(router);
    if (address === undefined) return;
    const { host, port } = parseAddress(address);
    this.#socket.send(bytes, port, host);
  }
}

function addOwn({ counts, routers }: LoadSum, own: LoadCounts): LoadSum {
  const sum: Record<string, number> = { ...counts };
  for (const [upstream, count] of Object.entries(own)) {
    sum[upstream] = (sum[upstream] ?? 0) + count;
  }
  return { counts: sum, routers: routers + 1 };
}

/** Creates the exchange; `open` starts it. */
export function createPeerExchange(
  options: PeerExchangeOptions,
): PeerExchange {
  return new DatagramPeerExchange({
    tellMs: TELL_MS,
    fanOut: FAN_OUT,
    ...options,
  });
}
