/**
 * Types of the configuration log and of the state that results from applying
 * its entries in order.
 *
 * Entry n is stored under the key `config/log/<n, 12 digits>` of the platform's
 * key-value service and is committed by create-if-absent.
 */
import type { Router } from "../types.ts";
import type { Manifest } from "./manifest.ts";

/** Whether work may be placed in a failure domain or on a host. */
export type ServiceState = "in" | "out";

/** The change that an entry makes to the configuration. */
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
  /** Position in the log; the first entry has version 1. */
  readonly version: number;
  /**
   * Unique id by which the author finds out whether a commit whose response was
   * lost took effect.
   */
  readonly id: string;
  readonly author: string;
  /** Wall-clock time of the commit, milliseconds since the epoch. */
  readonly at: number;
  readonly change: Change;
}

/** State that results from applying the entries 1 to `version`. */
export interface Configuration {
  /** Version of the newest applied entry; 0 before the first. */
  readonly version: number;
  readonly manifest: Manifest | undefined;
  readonly failureDomainsOut: readonly string[];
  readonly hostsOut: readonly string[];
  readonly routers: readonly Router[];
  /** Version of the entry that set `routers`; 0 before the first. */
  readonly routersVersion: number;
  /** Version of the entry whose routers `routers` replaced; 0 if none. */
  readonly routersReplaced: number;
}

/** The configuration before the first entry of the configuration log. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  manifest: undefined,
  failureDomainsOut: [],
  hostsOut: [],
  routers: [],
  routersVersion: 0,
  routersReplaced: 0,
};
