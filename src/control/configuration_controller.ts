/**
 * Configuration controller: watches the configuration log in the key-value
 * service, and reads the configuration from peers while that service is
 * unreachable.
 *
 * The version never decreases. Each heartbeat carries the sender's version; a
 * router with an older version requests the configuration from the sender.
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

/**
 * Requests the configuration of `peer` if it is newer than version `after`.
 * Returns its encoded text, or undefined if the peer has nothing newer or does
 * not answer.
 */
export type RequestFromPeer = (
  peer: string,
  after: number,
) => Promise<string | undefined>;

/** Options of `createConfigurationController`. */
export interface ConfigurationOptions {
  readonly keyValue: KeyValue;
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tasks: TaskSystem;
  readonly requestFromPeer: RequestFromPeer;
  /** Interval of the reads that complement the watch, in milliseconds. */
  readonly pollMs?: number;
  /** Interval of the attempts to reopen a closed watch, in milliseconds. */
  readonly retryMs?: number;
  /** Called after `configuration` has replaced `previous`. */
  onChange(configuration: Configuration, previous: Configuration): void;
}

/** State of a router's configuration, as sent in its heartbeats. */
export interface ConfigurationStatus {
  readonly version: number;
  /** Version of the entry that set the configured routers. */
  readonly routersVersion: number;
  /** Time for which that set has been in force, in milliseconds. */
  readonly routersInForceMs: number;
}

/** Keeps this router's configuration up to date. */
export interface ConfigurationController extends ConfigurationView {
  /** Starts the reads and the watch. */
  open(): void;
  /** Records what `peer` sent; requests its configuration if that is newer. */
  recordPeerStatus(peer: string, status: ConfigurationStatus): void;
  /**
   * Encodes the configuration for a peer at version `after`. Returns undefined
   * if the peer is up to date.
   */
  encodeNewerThan(after: number): string | undefined;
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

const POLL_INTERVAL_MS = 10_000;
const RETRY_INTERVAL_MS = 1_000;

/**
 * Whether this router has missed a set of routers between `previous` and
 * `configuration`.
 */
export function hasRoutersGap(
  configuration: Configuration,
  previous: Configuration,
): boolean {
  const { routersVersion, routersReplaced } = configuration;
  if (previous.routersVersion === 0) return false;
  if (routersVersion === previous.routersVersion) return false;
  return routersReplaced !== previous.routersVersion;
}

/** Creates a configuration controller. Call `open` to start it. */
export function createConfigurationController(
  options: ConfigurationOptions,
): ConfigurationController {
  return new KeyValueConfigurationController(options);
}

class KeyValueConfigurationController implements ConfigurationController {
  readonly #options: ConfigurationOptions;
  readonly #task: Task<Message>;
  #configuration: Configuration = EMPTY_CONFIGURATION;
  #confirmedAt = -Infinity;
  /**
   * Monotonic time at which the set of routers came into force at the first
   * router known to use it, in milliseconds.
   */
  #routersInForceSince = Infinity;
  #readAt = -Infinity;
  #watch: Watch | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isReadScheduled = false;
  #isStoreReadable = true;

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
    const { retryMs = RETRY_INTERVAL_MS } = this.#options;
    this.#task.send({ kind: "tick" });
    this.#timer = setInterval(
      () => this.#task.send({ kind: "tick" }),
      retryMs,
    );
  }

  routersInForceMs(): number {
    return this.#options.clock() - this.#routersInForceSince;
  }

  recordPeerStatus(peer: string, status: ConfigurationStatus): void {
    const { version } = status;
    this.#recordPeerRouters(status);
    if (version > this.#configuration.version) {
      this.#task.send({ kind: "peer", peer, version });
      return;
    }
    // A peer without a newer version confirms the version in force here.
    this.#confirmedAt = this.#options.clock();
  }

  encodeNewerThan(after: number): string | undefined {
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
        this.#isReadScheduled = false;
        await this.#read();
        break;
      case "watch":
        this.#handleWatchEvent(message.event);
        break;
      case "peer":
        await this.#readFromPeer(message.peer, message.version);
        break;
    }
  }

  async #tick(): Promise<void> {
    const { clock, pollMs = POLL_INTERVAL_MS } = this.#options;
    const isDue = clock() - this.#readAt >= pollMs;
    if (this.#watch === undefined || isDue) await this.#read();
  }

  async #read(): Promise<void> {
    const { store, clock, log } = this.#options;
    const startedAt = clock();
    const reading = await store.read(this.#configuration);
    if (reading.err) {
      if (this.#isStoreReadable) {
        log.warn("Reading the configuration failed.", {
          failure: JSON.stringify(reading.val),
        });
      }
      this.#isStoreReadable = false;
      return;
    }
    if (!this.#isStoreReadable) {
      log.info("Reading the configuration succeeds again.");
    }
    this.#isStoreReadable = true;
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
    // Catches an entry that was committed between the read and the watch.
    this.#scheduleRead();
  }

  #scheduleRead(): void {
    if (this.#isReadScheduled) return;
    this.#isReadScheduled = true;
    this.#task.send({ kind: "read" });
  }

  #handleWatchEvent(event: WatchEvent): void {
    if (event.kind !== "closed") {
      this.#scheduleRead();
      return;
    }
    this.#options.log.warn("The configuration watch closed.", {
      cause: event.failure.message,
    });
    this.#watch = undefined;
  }

  async #readFromPeer(peer: string, version: number): Promise<void> {
    const { version: known } = this.#configuration;
    if (version <= known) return;
    const text = await this.#options.requestFromPeer(peer, known);
    if (text === undefined) return;
    const configuration = decodeConfiguration(text);
    if (configuration.err) {
      this.#options.log.error("A peer sent an invalid configuration.", {
        peer,
        bytes: Buffer.byteLength(text),
      });
      return;
    }
    this.#confirmedAt = this.#options.clock();
    this.#adopt(configuration.val, peer);
  }

  #recordOwnRouters({ routersVersion, routersReplaced }: Configuration): void {
    if (routersVersion === this.#configuration.routersVersion) return;
    // No router can have admitted requests under a set older than the first.
    const isFirst = routersReplaced === 0;
    this.#routersInForceSince = isFirst ? -Infinity : this.#options.clock();
  }

  /**
   * Counts the time for which a peer has had the same set in force, so that
   * the hold-down does not start over on this router.
   */
  #recordPeerRouters(
    { routersVersion, routersInForceMs }: ConfigurationStatus,
  ): void {
    if (routersVersion !== this.#configuration.routersVersion) return;
    const since = this.#options.clock() - routersInForceMs;
    this.#routersInForceSince = Math.min(this.#routersInForceSince, since);
  }

  #adopt(configuration: Configuration, source: string): void {
    const previous = this.#configuration;
    if (configuration.version <= previous.version) return;
    this.#recordOwnRouters(configuration);
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
