/**
 * Maps command ids to the commands of `cflow`. A colon in an id stands for the
 * space between two words of the command line.
 */
import type { Command } from "@oclif/core";
import { Explain, History, Status } from "./commands/inspection.ts";
import { Failures, Trace } from "./commands/logs.ts";
import {
  ManifestApply,
  ManifestCheck,
  ManifestDiff,
  ManifestSchema,
  ManifestShow,
} from "./commands/manifest.ts";
import {
  FailureDomainBringBack,
  FailureDomainTakeOut,
  HostBringBack,
  HostTakeOut,
} from "./commands/service_state.ts";

/** All commands by id. `main.ts` gives this table to oclif by its name. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  "manifest:check": ManifestCheck,
  "manifest:diff": ManifestDiff,
  "manifest:apply": ManifestApply,
  "manifest:show": ManifestShow,
  "manifest:schema": ManifestSchema,
  "failure-domain:take-out": FailureDomainTakeOut,
  "failure-domain:bring-back": FailureDomainBringBack,
  "host:take-out": HostTakeOut,
  "host:bring-back": HostBringBack,
  "status": Status,
  "explain": Explain,
  "history": History,
  "trace": Trace,
  "failures": Failures,
};
