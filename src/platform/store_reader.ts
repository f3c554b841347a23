/**
 * Reads the items of the metadata store page by page. Items that no router uses
 * are dropped as they arrive.
 */
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results/result";
import { StateRoom } from "../policy/state_room.ts";
import type {
  Instant,
  RoutingConfiguration,
  StoreChange,
} from "../routing/types.ts";
import type { HttpJsonClient } from "../store/http_json.ts";
import { OversizeError } from "../store/json_list_reader.ts";
import { PlatformFailure } from "../store/key_value.ts";
import type { RawItem } from "./documents.ts";
import {
  checkPrefix,
  getMaxValueLength,
  type ItemDecoder,
  READ_PREFIXES,
  toRawItem,
} from "./item_decoder.ts";
import { NUMBERS } from "./field_limits.ts";
import { asFields, FieldError, getFlag, getNumber } from "./fields.ts";
import { decodeStoreEra } from "./message_headers.ts";
import { KEYS, STORE_PATHS } from "./names.ts";

/** Position of the store when a read began. */
export interface StorePosition {
  /** Revision from which to poll for later changes. */
  readonly revision: number;
  /**
   * Number of times that the store has returned to an older copy of its state.
   * Revisions of different eras can't be compared.
   */
  readonly era: number;
}

/** Numbers of items that were read and are not used. */
export interface UnusedItems {
  /** Items that can't be decoded, or whose value is too long. */
  readonly invalid: number;
  /** Items that are not needed and for which there is no room. */
  readonly leftOut: number;
}

/** Decoded items, at least as recent as `revision`. */
export interface ItemRead extends StorePosition {
  readonly changes: readonly StoreChange[];
  readonly unused: UnusedItems;
}

/** The operators' configuration as the store held it. */
export interface ConfigurationRead extends StorePosition {
  /** Undefined if there is none, or none that can be decoded. */
  readonly configuration: RoutingConfiguration | undefined;
  /** Whether there is one that can't be decoded. */
  readonly isRejected: boolean;
  /** Time when the call was sent; the configuration is at least that recent. */
  readonly sentAt: Instant;
}

/** Options of reads of many items. */
export interface ReadOptions {
  /** Room for the items; a failed read has taken some of it. */
  readonly room?: StateRoom;
  /**
   * Receives the configuration before the other items of a store of several
   * pages, and again while they are read.
   */
  readonly onConfiguration?: (read: ConfigurationRead) => void;
}

/** Options of a `StoreReader`. */
export interface StoreReaderOptions {
  readonly http: HttpJsonClient;
  readonly decoder: ItemDecoder;
  readonly now: () => Instant;
}

/** One page of a range read without its items. */
interface Page extends StorePosition {
  readonly isTruncated: boolean;
  readonly lastKey: string | undefined;
}

/**
 * Pages of one read: a page holds hundreds of small items, or one of the largest.
 * Ends the read of a store whose pages have no end.
 */
const MAX_PAGES = 8_192;
/** Tries of a page after the first of a read. */
const MAX_PAGE_TRIES = 5;
/**
 * Mean pause before a page that failed is read again, in milliseconds. The pages
 * of many routers that read at the same time can exceed the store's rate of calls.
 */
const PAGE_RETRY_PAUSE_MS = 150;
/**
 * Time after which a read of many pages reads the configuration again, in
 * milliseconds: it stays confirmed within the bound on revoked keys.
 */
const CONFIGURATION_INTERVAL_MS = 1_000;

/** Items of one read. */
class ItemCollector {
  readonly changes: StoreChange[] = [];
  readonly #decoder: ItemDecoder;
  readonly #room: StateRoom;
  #invalid = 0;
  #leftOut = 0;
  #pages = 0;

  constructor(decoder: ItemDecoder, room: StateRoom) {
    this.#decoder = decoder;
    this.#room = room;
  }

  get unused(): UnusedItems {
    return { invalid: this.#invalid, leftOut: this.#leftOut };
  }

  /** Counts a page; throws `OversizeError`. */
  addPage(): void {
    if (++this.#pages > MAX_PAGES) {
      throw new OversizeError(`the store has more than ${MAX_PAGES} pages`);
    }
  }

  /** Decodes an item and keeps what is of use; throws `OversizeError`. */
  addItem(raw: RawItem): void {
    const { changes, isValid } = this.#decoder.decode(raw);
    if (!isValid) this.#invalid++;
    for (const change of changes) {
      // What a read lacks is gone.
      if (!change.kind.endsWith("-gone")) this.#addChange(change);
    }
  }

  #addChange(change: StoreChange): void {
    const finding = this.#room.hold(change);
    if (finding === "exceeded") {
      throw new OversizeError(
        `there is no room for all of kind ${change.kind}`,
      );
    }
    if (finding === "held") this.changes.push(change);
    else this.#leftOut++;
  }
}

/**
 * Checks that the last key of a page is later than that of the page before, by
 * UTF-16 units or by bytes; the pages would not end otherwise.
 */
function checkRise(key: string, after: string | undefined): void {
  const hasRisen = after === undefined || key > after ||
    Buffer.compare(Buffer.from(key), Buffer.from(after)) > 0;
  if (!hasRisen) throw new FieldError("last key of a page", "a later one");
}

function toFailure(cause: unknown): PlatformFailure {
  const detail = `malformed response of the metadata store: ${String(cause)}`;
  return new PlatformFailure("unavailable", detail, {
    isTooLarge: cause instanceof OversizeError,
  });
}

/** Reads ranges of the store. */
export class StoreReader {
  readonly #options: StoreReaderOptions;

  constructor(options: StoreReaderOptions) {
    this.#options = options;
  }

  /**
   * Reads all items that routers use. Fails with `isTooLarge` if there are more
   * than `room` has room for.
   */
  async readAll(
    { room = createDefaultRoom(), onConfiguration }: ReadOptions = {},
  ): Promise<Result<ItemRead, PlatformFailure>> {
    const { decoder } = this.#options;
    // Most stores are a single page, which needs no room of its own.
    const single = new ItemCollector(decoder, createDefaultRoom());
    const whole = await this.#readPage({ prefix: "" }, single);
    if (whole.err) return whole;
    const { isTruncated, ...position } = whole.val;
    if (!isTruncated) {
      for (const change of single.changes) room.hold(change);
      return Ok(toRead(position, single));
    }
    const first = await this.readConfiguration();
    if (first.err) return first;
    onConfiguration?.(first.val);
    const collector = new ItemCollector(decoder, room);
    const { configuration, sentAt, ...begin } = first.val;
    if (configuration !== undefined) {
      collector.changes.push({ kind: "configuration", configuration });
    }
    let configurationAt = sentAt.steady;
    for (const prefix of READ_PREFIXES) {
      const read = await this.#readPages(prefix, {
        collector,
        era: begin.era,
        onPage: async () => {
          const { steady } = this.#options.now();
          if (steady - configurationAt < CONFIGURATION_INTERVAL_MS) return;
          configurationAt = steady;
          const again = await this.readConfiguration();
          if (again.ok) onConfiguration?.(again.val);
        },
      });
      if (read.err) return read;
    }
    return Ok(toRead(begin, collector));
  }

  /** Reads the items below a prefix. */
  async readPrefix(
    prefix: string,
    { room = createDefaultRoom() }: Pick<ReadOptions, "room"> = {},
  ): Promise<Result<ItemRead, PlatformFailure>> {
    const collector = new ItemCollector(this.#options.decoder, room);
    const read = await this.#readPages(prefix, { collector });
    return read.map((position) => toRead(position, collector));
  }

  /** Reads the configuration alone. */
  async readConfiguration(): Promise<
    Result<ConfigurationRead, PlatformFailure>
  > {
    const sentAt = this.#options.now();
    const collector = new ItemCollector(
      this.#options.decoder,
      createDefaultRoom(),
    );
    // The key is the first below itself as a prefix.
    const prefix = KEYS.configuration;
    const read = await this.#readPage({ prefix }, collector);
    return read.map(({ revision, era }) => {
      const change = collector.changes.find(({ kind }) =>
        kind === "configuration"
      );
      const configuration = change?.kind === "configuration"
        ? change.configuration
        : undefined;
      const isRejected = collector.changes.some((each) =>
        each.kind === "unreadable" && each.isConfiguration === true
      );
      return { configuration, isRejected, revision, era, sentAt };
    });
  }

  /**
   * Reads the pages of a prefix, in `era` if it is given; returns the position at
   * the first. Later pages may be of later revisions: polling from that revision
   * delivers every change made between the pages.
   */
  async #readPages(
    prefix: string,
    { collector, era, onPage }: {
      collector: ItemCollector;
      era?: number;
      onPage?: () => Promise<void>;
    },
  ): Promise<Result<StorePosition, PlatformFailure>> {
    let first: StorePosition | undefined;
    let after: string | undefined;
    for (;;) {
      const read = first === undefined && era === undefined
        ? await this.#readPage({ prefix, after }, collector)
        : await this.#retryPage({ prefix, after }, collector);
      if (read.err) return read;
      const { revision, isTruncated, lastKey } = read.val;
      first ??= { revision, era: era ?? read.val.era };
      if (read.val.era !== first.era) {
        const detail = "the store returned to a copy while it was read";
        return Err(new PlatformFailure("unavailable", detail));
      }
      if (!isTruncated) return Ok(first);
      after = lastKey;
      await onPage?.();
    }
  }

  /**
   * Reads a page, again if the store refuses it: the pages before it were read
   * already. Without an answer the store counts as lost.
   */
  async #retryPage(
    range: { prefix: string; after?: string | undefined },
    collector: ItemCollector,
  ): Promise<Result<Page, PlatformFailure>> {
    for (let tries = 1;; tries++) {
      const read = await this.#readPage(range, collector);
      const isRefused = read.err && read.val.status !== undefined;
      if (!isRefused || tries >= MAX_PAGE_TRIES) return read;
      await sleep(PAGE_RETRY_PAUSE_MS * tries * (0.5 + Math.random()));
    }
  }

  async #readPage(
    { prefix, after }: { prefix: string; after?: string | undefined },
    collector: ItemCollector,
  ): Promise<Result<Page, PlatformFailure>> {
    const from = after === undefined
      ? ""
      : `&after=${encodeURIComponent(after)}`;
    const query = `prefix=${encodeURIComponent(prefix)}${from}`;
    let era = 0;
    let lastKey: string | undefined;
    const answer = await this.#options.http.readList(
      `${STORE_PATHS.range}?${query}`,
      {
        name: "items",
        getMaxStringBytes: getMaxValueLength,
        onHeaders: (headers) => era = decodeStoreEra(headers),
        onElement: (element, isShortened) => {
          const raw = toRawItem(element, isShortened);
          checkPrefix(raw, prefix);
          lastKey = raw.key;
          collector.addItem(raw);
        },
      },
    );
    if (answer.err) return answer;
    try {
      collector.addPage();
      if (answer.val.kind === "partial") throw new Error("it was not complete");
      const fields = asFields(answer.val.rest, "page");
      if (!Array.isArray(fields["items"])) {
        throw new FieldError("items", "an array");
      }
      const isTruncated = getFlag(fields, "truncated");
      const revision = getNumber(fields, "currentRev", NUMBERS.counter);
      if (isTruncated) checkRise(String(lastKey), after);
      return Ok({ era, revision, isTruncated, lastKey });
    } catch (cause) {
      return Err(toFailure(cause));
    }
  }
}

function createDefaultRoom(): StateRoom {
  return new StateRoom({ isNeeded: () => true });
}

function toRead(
  { revision, era }: StorePosition,
  { changes, unused }: ItemCollector,
): ItemRead {
  return { changes, unused, revision, era };
}
