/**
 * Interface of the platform's key-value service.
 *
 * Every failure has a kind, which distinguishes a write whose response was lost
 * from one that did not take effect.
 */
import type { Result } from "ts-results";

/** Why a call to the platform failed. */
export type PlatformFailureKind =
  /** The call did not take effect. */
  | "unavailable"
  /** The response was lost; the call may have taken effect. */
  | "unknown"
  /** The service rejected the call. */
  | "refused";

/** A failed call to the platform. */
export class PlatformFailure extends Error {
  readonly kind: PlatformFailureKind;
  /** HTTP status of the response; undefined if there was none. */
  readonly status: number | undefined;
  /** Whether the response was larger than the client reads. */
  readonly isTooLarge: boolean;

  constructor(
    kind: PlatformFailureKind,
    detail: string,
    { status, isTooLarge = false }: {
      status?: number;
      isTooLarge?: boolean;
    } = {},
  ) {
    super(detail);
    this.name = "PlatformFailure";
    this.kind = kind;
    this.status = status;
    this.isTooLarge = isTooLarge;
  }
}

/** A stored key and its value. */
export interface Item {
  readonly key: string;
  readonly value: string;
  /** Store revision of the key's last write. */
  readonly revision: number;
}

/** Outcome of a conditional write: its revision, or the key's current item. */
export type ConditionalWrite =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Item | undefined };

/** Items with a prefix, in the order of their keys. */
export interface Listing {
  readonly items: readonly Item[];
  /** Store revision at which the list was read. */
  readonly revision: number;
}

/** Options of {@link KeyValue.list}. */
export interface ListOptions {
  /** First key to return; by default the first one with the prefix. */
  from?: string;
  /** Maximum number of items; unlimited by default. */
  limit?: number;
}

/** An event that a watch reports. */
export type WatchEvent =
  | { readonly kind: "put"; readonly item: Item }
  | { readonly kind: "delete"; readonly key: string }
  /** The watch has ended; the caller must open a new one. */
  | { readonly kind: "closed"; readonly failure: PlatformFailure };

/** Options of {@link KeyValue.watch}. */
export interface WatchOptions {
  /** First revision to report; if omitted, only later changes are reported. */
  fromRevision?: number;
  /** Time without data after which the watch is closed, in milliseconds. */
  silenceMs?: number;
}

/** An open watch. */
export interface Watch {
  close(): void;
}

/** A compare-and-swap store with leases and watches. */
export interface KeyValue {
  get(key: string): Promise<Result<Item | undefined, PlatformFailure>>;
  list(
    prefix: string,
    options?: ListOptions,
  ): Promise<Result<Listing, PlatformFailure>>;
  /** Writes `key` if it does not exist. */
  create(
    key: string,
    value: string,
    options?: { lease?: string },
  ): Promise<Result<ConditionalWrite, PlatformFailure>>;
  /** Writes `key` if `revision` is the revision of its last write. */
  replace(
    key: string,
    value: string,
    options: { revision: number; lease?: string },
  ): Promise<Result<ConditionalWrite, PlatformFailure>>;
  /** Deletes `key` if `revision` is the revision of its last write. */
  remove(
    key: string,
    revision: number,
  ): Promise<Result<ConditionalWrite, PlatformFailure>>;
  /** Grants a lease of `ttlSeconds`; resolves to its ID. */
  grantLease(ttlSeconds: number): Promise<Result<string, PlatformFailure>>;
  /** Renews a lease; resolves to its new TTL in seconds, 0 if it expired. */
  renewLease(lease: string): Promise<Result<number, PlatformFailure>>;
  /** Revokes a lease and deletes its keys. */
  revokeLease(lease: string): Promise<Result<void, PlatformFailure>>;
  /** Reports changes to keys with `prefix`; a failure is a `closed` event. */
  watch(
    prefix: string,
    handler: (event: WatchEvent) => void,
    options?: WatchOptions,
  ): Watch;
  /** Closes every watch and connection. */
  close(): Promise<void>;
}
