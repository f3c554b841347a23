/**
 * Controller of the configuration: follows the log in the key-value service by
 * a watch, and by peers where that service can't be reached.
 *
 * The version only rises. Peers name theirs in each heartbeat; a router that is
 * behind asks the peer for its configuration.
 */
import { Buffer } from "node:buffer";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../config/configuration.ts";
import {
  decodeConfiguration,
  encodeConfiguration,
} from "../config/configuration_codec.ts";
import { LOG_PREFIX } from "../config/configuration_log.ts";
import type { ConfigurationStore } from "../config/configuration_store.ts";
import type { Log } from "../log.ts";
import * as Debug from "../debug.ts";
import type { KeyValue, Watch, WatchEvent } from "../store/key_value.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { Clock, ConfigurationView } from "./views.ts";

/** Asks a peer for its configuration; undefined if it does not answer. */
export type PeerReader = (
  peer: string,
  after: number,
) => Promise<string | undefined>;

/** Options of the controller. */
export interface ConfigurationOptions {
  readonly keyValue: KeyValue;
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: TaskSystem;
  readonly readFromPeer: PeerReader;
  /** Interval of the reads that back the watch up, in milliseconds. */
  readonly pollMs?: number;
  /** Interval of the attempts to open a lost watch, in milliseconds. */
  readonly retryMs?: number;
  /** `previous` is the configuration that was in force until now. */
  onChange(configuration: Configuration, previous: Configuration): void;
}

/** What a peer says of its configuration in a heartbeat. */
export interface PeerWord {
  readonly version: number;
  /** Version of the entry that set its routers. */
  readonly routersVersion: number;
  /** For how long that set has been in force, milliseconds. */
  readonly routersInForceMs: number;
}

/** Follows the configuration. */
export interface ConfigurationController extends ConfigurationView {
  open(): void;
  /** Notes the version that a peer named in a heartbeat. */
  notePeer(peer: string, word: PeerWord): void;
  /** Renders the configuration for a peer at version `after`. */
  renderFor(after: number): string | undefined;
  close(): void;
}

type Message =
  | { readonly kind: "read" }
  | { readonly kind: "tick" }
  | { readonly kind: "watch"; readonly event: WatchEvent }
  | {
    readonly kind: "peer";
    readonly peer: string;
    readonly version: number;
  };

const POLL_MS = 10_000;
const RETRY_MS = 1_000;

/** Whether sets of routers between two configurations were not seen. */
export function hasRoutersGap(
  configuration: Configuration,
  previous: Configuration,
): boolean {
  const { routersVersion, routersReplaced } = configuration;
  if (previous.routersVersion === 0) return false;
  if (routersVersion === previous.routersVersion) return false;
  return routersReplaced !== previous.routersVersion;
}

/** Creates the controller; `open` starts it. */
export function createConfigurationController(
  options: ConfigurationOptions,
): ConfigurationController {
  return new WatchedConfiguration(options);
}

class WatchedConfiguration implements ConfigurationController {
  readonly #options: ConfigurationOptions;
  readonly #task: Task<Message>;
  #configuration: Configuration = EMPTY_CONFIGURATION;
  #confirmedAt = -Infinity;
  /** Since when the set of routers has been in force at some router. */
  #routersSince = Infinity;
  #readAt = -Infinity;
  #watch: Watch | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isReadDue = false;
  #isPlatformUp = true;

  constructor(options: ConfigurationOptions) {
    this.#options = options;
    this.#task = options.tasks.spawn<Message>("configuration", {
      handle: (message) => this.#handle(message),
      onFailure: (cause) => {
        options.log.error("A message failed.", { cause: String(cause) });
      },
    });
  }

  current(): Configuration {
    return this.#configuration;
  }

  confirmedAt(): number {
    return this.#confirmedAt;
  }

  open(): void {
    const { retryMs = RETRY_MS } = this.#options;
    this.#task.send({ kind: "tick" });
    this.#timer = setInterval(
      () => this.#task.send({ kind: "tick" }),
      retryMs,
    );
  }

  routersInForceMs(): number {
    return this.#options.clock() - this.#routersSince;
  }

  notePeer(peer: string, word: PeerWord): void {
    const { version } = word;
    this.#noteRouters(word);
    if (version > this.#configuration.version) {
      this.#task.send({ kind: "peer", peer, version });
      return;
    }
    // A peer that knows nothing newer confirms what is in force here.
    this.#confirmedAt = this.#options.clock();
  }

  renderFor(after: number): string | undefined {
    if (this.#configuration.version <= after) return undefined;
    return encodeConfiguration(this.#configuration);
  }

  close(): void {
    clearInterval(this.#timer);
    this.#watch?.close();
    this.#task.stop();
  }

  async #handle(message: Message): Promise<void> {
    switch (message.kind) {
      case "tick":
        await this.#tick();
        break;
      case "read":
        this.#isReadDue = false;
        await this.#read();
        break;
      case "watch":
        this.#watched(message.event);
        break;
      case "peer":
        await this.#readFromPeer(message.peer, message.version);
        break;
    }
  }

  async #tick(): Promise<void> {
    const { clock, pollMs = POLL_MS } = this.#options;
    const isDue = clock() - this.#readAt >= pollMs;
    if (this.#watch === undefined || isDue) await this.#read();
  }

  async #read(): Promise<void> {
    const { store, clock, log } = this.#options;
    const startedAt = clock();
    const reading = await store.read(this.#configuration);
    if (reading.err) {
      if (this.#isPlatformUp) {
        log.warn("The key-value service can't be read.", {
          failure: JSON.stringify(reading.val),
        });
      }
      this.#isPlatformUp = false;
      return;
    }
    if (!this.#isPlatformUp) log.info("The key-value service answers again.");
    this.#isPlatformUp = true;
    this.#readAt = startedAt;
    this.#confirmedAt = startedAt;
    this.#adopt(reading.val, "key-value");
    if (this.#watch === undefined) this.#openWatch();
  }

  #openWatch(): void {
    const { keyValue } = this.#options;
    this.#watch = keyValue.watch(
      LOG_PREFIX,
      (event) => this.#task.send({ kind: "watch", event }),
    );
    // An entry between the read and the watch would be missed otherwise.
    this.#readSoon();
  }

  #readSoon(): void {
    if (this.#isReadDue) return;
    this.#isReadDue = true;
    this.#task.send({ kind: "read" });
  }

  #watched(event: WatchEvent): void {
    if (event.kind !== "closed") {
      this.#readSoon();
      return;
    }
    this.#options.log.warn("The watch on the configuration has ended.", {
      cause: event.failure.message,
    });
    this.#watch = undefined;
  }

  async #readFromPeer(peer: string, version: number): Promise<void> {
    const { version: known } = this.#configuration;
    if (version <= known) return;
    const text = await this.#options.readFromPeer(peer, known);
    if (text === undefined) return;
    const configuration = decodeConfiguration(text);
    if (configuration.err) {
      this.#options.log.error("A peer sent an unreadable configuration.", {
        peer,
        bytes: Buffer.byteLength(text),
      });
      return;
    }
    this.#confirmedAt = this.#options.clock();
    this.#adopt(configuration.val, peer);
  }

  #noteOwnRouters({ routersVersion, routersReplaced }: Configuration): void {
    if (routersVersion === this.#configuration.routersVersion) return;
    // Nobody can have admitted anything under a set before the first.
    const isFirst = routersReplaced === 0;
    this.#routersSince = isFirst ? -Infinity : this.#options.clock();
  }

  /** A set that a peer has had for long needs no new hold-down here. */
  #noteRouters({ routersVersion, routersInForceMs }: PeerWord): void {
    if (routersVersion !== this.#configuration.routersVersion) return;
    const since = this.#options.clock() - routersInForceMs;
    this.#routersSince = Math.min(this.#routersSince, since);
  }

  #adopt(configuration: Configuration, source: string): void {
    const previous = this.#configuration;
    if (configuration.version <= previous.version) return;
    this.#noteOwnRouters(configuration);
    this.#configuration = configuration;
    Debug.assert(
      this.#configuration.version > previous.version,
      "configuration-rises",
      () => `${this.#configuration.version} after ${previous.version}`,
    );
    this.#options.log.info("A configuration is in force.", {
      version: configuration.version,
      source,
    });
    this.#options.onChange(configuration, previous);
  }
}
