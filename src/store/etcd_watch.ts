/**
 * One watch over etcd's JSON gateway: a streamed response of JSON lines.
 *
 * A connection can stop delivering data without an error, so the watch requests
 * progress notifications and closes if it receives nothing for `silenceMs`. The
 * server's progress interval must be well below that.
 */
import type { Buffer } from "node:buffer";
import { Value } from "@sinclair/typebox/value";
import { ByteCollector } from "../transport/byte_collector.ts";
import {
  decodeBase64,
  encodePrefixEnd,
  encodeRangeStart,
  parseInt64,
  toItem,
  type WatchLine,
  WatchLineSchema,
} from "./etcd_messages.ts";
import type { HttpJsonClient } from "./http_json.ts";
import { PlatformFailure, type Watch, type WatchEvent } from "./key_value.ts";

/** Options of a watch. */
export interface EtcdWatchOptions {
  http: HttpJsonClient;
  prefix: string;
  handler: (event: WatchEvent) => void;
  /** First revision to report; if omitted, only later changes are reported. */
  fromRevision?: number;
  /** Time without data after which the watch closes, in milliseconds. */
  silenceMs: number;
}

/** As for other answers of a store. */
const MAX_LINE_BYTES = 16_777_216;
const LINE_FEED = 0x0a;

function parseLine(line: string): WatchLine {
  const parsed: unknown = JSON.parse(line);
  if (Value.Check(WatchLineSchema, parsed)) return parsed;
  throw new PlatformFailure(
    "unavailable",
    `malformed watch response: ${line.slice(0, 200)}`,
  );
}

/**
 * An etcd watch. If the stream fails or ends, the handler receives exactly one
 * `closed` event; after {@link EtcdWatch.close} it receives no event.
 */
export class EtcdWatch implements Watch {
  readonly #options: EtcdWatchOptions;
  readonly #abortController = new AbortController();
  readonly #partialLine = new ByteCollector();
  #silenceTimer: NodeJS.Timeout | undefined;
  #ended = false;

  constructor(options: EtcdWatchOptions) {
    this.#options = options;
  }

  /** Starts to open the stream and returns without waiting for it. */
  open(): void {
    this.#resetSilenceTimer();
    void this.#run().catch((error: unknown) => {
      const failure = error instanceof PlatformFailure
        ? error
        : new PlatformFailure("unavailable", `watch failed: ${error}`);
      this.#closeWithFailure(failure);
    });
  }

  /** Closes the watch without a `closed` event. */
  close(): void {
    this.#ended = true;
    clearTimeout(this.#silenceTimer);
    this.#abortController.abort();
  }

  async #run(): Promise<void> {
    const { http, prefix, fromRevision } = this.#options;
    const response = await http.stream("/v3/watch", {
      signal: this.#abortController.signal,
      body: {
        "create_request": {
          key: encodeRangeStart(prefix),
          "range_end": encodePrefixEnd(prefix),
          "progress_notify": true,
          ...(fromRevision !== undefined && {
            "start_revision": String(fromRevision),
          }),
        },
      },
    });
    if (response.err) throw response.val;
    for await (const chunk of response.val) {
      if (this.#ended) return;
      this.#resetSilenceTimer();
      this.#handleChunk(chunk);
    }
    throw new PlatformFailure("unavailable", "the service closed the watch");
  }

  #handleChunk(chunk: Buffer): void {
    const linesEnd = chunk.lastIndexOf(LINE_FEED) + 1;
    if (this.#partialLine.length + chunk.length > MAX_LINE_BYTES) {
      throw new PlatformFailure(
        "unavailable",
        "watch response line is too long",
      );
    }
    this.#partialLine.push(chunk.subarray(0, linesEnd));
    const lines = linesEnd > 0 ? this.#partialLine.take().toString() : "";
    this.#partialLine.push(chunk.subarray(linesEnd));
    for (const line of lines.split("\n")) {
      if (line !== "") this.#handleLine(parseLine(line));
    }
  }

  #handleLine({ result }: WatchLine): void {
    if (result.canceled) {
      const oldest = parseInt64(result.compact_revision);
      throw new PlatformFailure(
        "refused",
        `watch canceled; oldest available revision is ${oldest}`,
      );
    }
    for (const { type, kv } of result.events ?? []) {
      if (this.#ended) return;
      this.#options.handler(
        type === "DELETE"
          ? { kind: "delete", key: decodeBase64(kv.key) }
          : { kind: "put", item: toItem(kv) },
      );
    }
  }

  #resetSilenceTimer(): void {
    clearTimeout(this.#silenceTimer);
    const { silenceMs } = this.#options;
    this.#silenceTimer = setTimeout(() => {
      this.#closeWithFailure(
        new PlatformFailure(
          "unavailable",
          `watch received no data for ${silenceMs} ms`,
        ),
      );
    }, silenceMs);
  }

  #closeWithFailure(failure: PlatformFailure): void {
    if (this.#ended) return;
    this.close();
    this.#options.handler({ kind: "closed", failure });
  }
}
