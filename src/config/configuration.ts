/**
 * The configuration: a total order of entries and the state they fold into.
 *
 * Entry n is the key `config/log/<n, 12 digits>` of the platform's key-value
 * service and is committed by create-if-absent.
 */
import type { Router } from "../types.ts";
import type { Manifest } from "./manifest.ts";

/** Whether work may be placed in a failure domain or on a host. */
export type ServiceState = "in" | "out";

/** What an entry changes. */
export type Change =
  | { readonly kind: "manifest"; readonly manifest: Manifest }
  | {
    readonly kind: "failure-domain";
    readonly name: string;
    readonly state: ServiceState;
  }
  | {
    readonly kind: "host";
    readonly name: string;
    readonly state: ServiceState;
  }
  | { readonly kind: "routers"; readonly routers: readonly Router[] };

/** One committed change. */
export interface Entry {
  /** Position in the total order; the first entry is 1. */
  readonly version: number;
  /** Unique id by which the author recognises a commit with a lost answer. */
  readonly id: string;
  readonly author: string;
  /** Wall-clock time of the commit, milliseconds since the epoch. */
  readonly at: number;
  readonly change: Change;
}

/** What the entries 1 to `version` amount to. */
export interface Configuration {
  /** Version of the newest entry folded in; 0 before the first. */
  readonly version: number;
  readonly manifest: Manifest | undefined;
  readonly failureDomainsOut: readonly string[];
  readonly hostsOut: readonly string[];
  readonly routers: readonly Router[];
  /** Version of the entry that set `routers`; 0 before the first. */
  readonly routersVersion: number;
  /** Version of the entry that `routers` replaced; 0 where there was none. */
  readonly routersReplaced: number;
}

/** The configuration before the first entry. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  manifest: undefined,
  failureDomainsOut: [],
  hostsOut: [],
  routers: [],
  routersVersion: 0,
  routersReplaced: 0,
};
