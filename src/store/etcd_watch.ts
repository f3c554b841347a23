/**
 * One watch over etcd's JSON gateway: a streamed answer of JSON lines.
 *
 * A connection can go silent without an error, so the watch asks for progress
 * notices and ends itself when nothing came for `silenceMs`. The server's
 * interval of progress notices must be well below that.
 */
import { StringDecoder } from "node:string_decoder";
import { Value } from "@sinclair/typebox/value";
import {
  decode,
  encodePrefixEnd,
  encodeRangeStart,
  toItem,
  toNumber,
  type WatchLine,
  WatchLineSchema,
} from "./etcd_messages.ts";
import type { HttpJson } from "./http_json.ts";
import { PlatformFailure, type Watch, type WatchEvent } from "./key_value.ts";

/** Options of a watch. */
export interface EtcdWatchOptions {
  http: HttpJson;
  prefix: string;
  handler: (event: WatchEvent) => void;
  /** First revision to report; absent for changes from now on. */
  fromRevision?: number;
  silenceMs: number;
}

const MAX_LINE_CHARACTERS = 67_108_864;

function parseLine(line: string): WatchLine {
  const parsed: unknown = JSON.parse(line);
  if (Value.Check(WatchLineSchema, parsed)) return parsed;
  throw new PlatformFailure(
    "unavailable",
    `bad watch line: ${line.slice(0, 200)}`,
  );
}

/** A watch that reports its end once, unless its holder closed it. */
export class EtcdWatch implements Watch {
  readonly #options: EtcdWatchOptions;
  readonly #abort = new AbortController();
  readonly #decoder = new StringDecoder("utf8");
  #silence: NodeJS.Timeout | undefined;
  #partial = "";
  #ended = false;

  constructor(options: EtcdWatchOptions) {
    this.#options = options;
  }

  /** Opens the stream; returns at once. */
  open(): void {
    this.#armSilence();
    void this.#run().catch((error: unknown) => {
      const failure = error instanceof PlatformFailure
        ? error
        : new PlatformFailure("unavailable", `watch broke: ${error}`);
      this.#end(failure);
    });
  }

  /** Ends the watch without a `closed` event. */
  close(): void {
    this.#ended = true;
    clearTimeout(this.#silence);
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    const { http, prefix, fromRevision } = this.#options;
    const opened = await http.stream("/v3/watch", {
      signal: this.#abort.signal,
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
    if (opened.err) throw opened.val;
    for await (const chunk of opened.val) {
      if (this.#ended) return;
      this.#armSilence();
      this.#read(this.#decoder.write(chunk));
    }
    throw new PlatformFailure("unavailable", "the service ended the watch");
  }

  #read(text: string): void {
    const lines = (this.#partial + text).split("\n");
    this.#partial = lines.pop()!;
    if (this.#partial.length > MAX_LINE_CHARACTERS) {
      throw new PlatformFailure("unavailable", "watch line is too long");
    }
    for (const line of lines) {
      if (line !== "") this.#handleLine(parseLine(line));
    }
  }

  #handleLine({ result }: WatchLine): void {
    if (result.canceled) {
      const oldest = toNumber(result.compact_revision);
      throw new PlatformFailure("refused", `canceled; oldest is ${oldest}`);
    }
    for (const { type, kv } of result.events ?? []) {
      if (this.#ended) return;
      this.#options.handler(
        type === "DELETE"
          ? { kind: "delete", key: decode(kv.key) }
          : { kind: "put", item: toItem(kv) },
      );
    }
  }

  #armSilence(): void {
    clearTimeout(this.#silence);
    const { silenceMs } = this.#options;
    this.#silence = setTimeout(() => {
      this.#end(
        new PlatformFailure("unavailable", `silent for ${silenceMs} ms`),
      );
    }, silenceMs);
  }

  #end(failure: PlatformFailure): void {
    if (this.#ended) return;
    this.close();
    this.#options.handler({ kind: "closed", failure });
  }
}
