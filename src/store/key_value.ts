/**
 * Interface of the platform's key-value service.
 *
 * Every failure is typed, and a write whose answer was lost is told apart from
 * one that did not happen.
 */
import type { Result } from "ts-results";

/** Why a call to the platform failed. */
export type PlatformFailureKind =
  /** The call did not take effect. */
  | "unavailable"
  /** The call may have taken effect; the answer was lost. */
  | "unknown"
  /** The service answered that it won't. */
  | "refused";

/** A failed call to the platform. */
export class PlatformFailure extends Error {
  readonly kind: PlatformFailureKind;
  /** HTTP status of the answer, where there was one. */
  readonly status: number | undefined;

  constructor(
    kind: PlatformFailureKind,
    detail: string,
    { status }: { status?: number } = {},
  ) {
    super(detail);
    this.name = "PlatformFailure";
    this.kind = kind;
    this.status = status;
  }
}

/** A stored key. */
export interface Item {
  readonly key: string;
  readonly value: string;
  /** Revision of the key's last write. */
  readonly revision: number;
}

/** Outcome of a conditional write: done, or what stands there instead. */
export type ConditionalWrite =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Item | undefined };

/** What a list returns. */
export interface Listing {
  readonly items: readonly Item[];
  /** Store revision at which the list was read. */
  readonly revision: number;
}

/** Options of a list. */
export interface ListOptions {
  /** Start at this key instead of the first with the prefix. */
  from?: string;
  limit?: number;
}

/** A change that a watch saw. */
export type WatchEvent =
  | { readonly kind: "put"; readonly item: Item }
  | { readonly kind: "delete"; readonly key: string }
  /** The watch has ended; the holder opens a new one. */
  | { readonly kind: "closed"; readonly failure: PlatformFailure };

/** Options of a watch. */
export interface WatchOptions {
  /** First revision to report. */
  fromRevision?: number;
  /** Silence after which the watch counts as lost, in milliseconds. */
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
  /** Writes `key` if its last write has `revision`. */
  replace(
    key: string,
    value: string,
    options: { revision: number; lease?: string },
  ): Promise<Result<ConditionalWrite, PlatformFailure>>;
  /** Deletes `key` if its last write has `revision`. */
  remove(
    key: string,
    revision: number,
  ): Promise<Result<ConditionalWrite, PlatformFailure>>;
  /** Grants a lease of `ttlSeconds`; the value is the lease's id. */
  grantLease(ttlSeconds: number): Promise<Result<string, PlatformFailure>>;
  /** Renews a lease; the value is the new time to live, 0 if it had lapsed. */
  renewLease(lease: string): Promise<Result<number, PlatformFailure>>;
  revokeLease(lease: string): Promise<Result<void, PlatformFailure>>;
  watch(
    prefix: string,
    handler: (event: WatchEvent) => void,
    options?: WatchOptions,
  ): Watch;
  /** Closes every watch and connection. */
  close(): Promise<void>;
}
