/**
 * Failures of `cflow` commands. Each has a kind, an exit code and a message
 * that says what the operator can do.
 */
import type { Change, Entry } from "../config/configuration.ts";
import type { CommitFailure } from "../config/configuration_commit.ts";
import type { ReadFailure } from "../config/configuration_reader.ts";
import { formatRefusal } from "../config/configuration_rebase.ts";

/** Kinds of failure, as written in JSON output. */
export type FailureKind =
  /** Nothing was changed: the change was refused or conflicts with another. */
  | "refused"
  /** The command line or a file is invalid; nothing was changed. */
  | "bad-input"
  /** The platform or the routers can't be reached; nothing was changed. */
  | "platform-unreachable"
  /** It is unknown whether the change is committed or in force. */
  | "outcome-unknown";

const EXIT_CODES: Readonly<Record<FailureKind, number>> = {
  "refused": 1,
  "bad-input": 2,
  "platform-unreachable": 3,
  "outcome-unknown": 4,
};

/** Fields that a failure adds to JSON output. */
export type FailureData = Readonly<Record<string, unknown>>;

/** Options of a failure. */
export interface CommandFailureOptions {
  /** Lines of text printed below the message. */
  readonly details?: readonly string[];
  readonly data?: FailureData;
}

/** Error of a command that failed for a known reason. */
export class CommandFailure extends Error {
  readonly kind: FailureKind;
  readonly details: readonly string[];
  readonly data: FailureData;

  constructor(
    kind: FailureKind,
    message: string,
    { details = [], data = {} }: CommandFailureOptions = {},
  ) {
    super(message);
    this.name = "CommandFailure";
    this.kind = kind;
    this.details = details;
    this.data = data;
  }

  /** Exit code of the process for this kind of failure. */
  get exitCode(): number {
    return EXIT_CODES[this.kind];
  }
}

/** Formats a change as a short text without keys of workspaces. */
export function formatChange(change: Change): string {
  switch (change.kind) {
    case "manifest":
      return `manifest with ${change.manifest.services.length} service(s)`;
    case "routers":
      return `routers ${change.routers.map(({ name }) => name).join(", ")}`;
    case "failure-domain":
      return `failure domain ${change.name} ${change.state}`;
    case "host":
      return `host ${change.name} ${change.state}`;
  }
}

/** Formats a log entry as one line. */
export function formatEntry({ version, id, author, at, change }: Entry) {
  const time = new Date(at).toISOString();
  return `${version}  ${time}  ${author}  ${formatChange(change)}  ${id}`;
}

/** Converts a failed read of the store into a failure of the command. */
export function toReadFailure(failure: ReadFailure): CommandFailure {
  if (failure.kind === "platform") {
    const message = "The key-value service is not available: " +
      `${failure.failure.message}. Nothing was changed; try again.`;
    return new CommandFailure("platform-unreachable", message);
  }
  const message =
    `The stored configuration can't be read at key ${failure.key}: ` +
    `${failure.detail}. Nothing was changed. A newer cflow may be needed.`;
  return new CommandFailure("refused", message);
}

/** Converts a failed commit into a failure of the command. */
export function toCommitFailure(failure: CommitFailure): CommandFailure {
  switch (failure.kind) {
    case "unavailable":
      return toReadFailure(failure.failure);
    case "conflict":
      return toConflictFailure(failure);
    case "refused":
      return new CommandFailure(
        "refused",
        `Nothing was changed. ${formatRefusal(failure.refusal)}`,
        { data: { refusal: failure.refusal } },
      );
    case "ahead":
      return new CommandFailure(
        "bad-input",
        `The newest version is ${failure.version}, below the one given. ` +
          "Nothing was changed. See the versions with: cflow history",
      );
    case "too-large":
      return new CommandFailure(
        "bad-input",
        `The change is ${failure.bytes} bytes; the limit is ${failure.limit}. ` +
          "Nothing was changed. Make the manifest smaller.",
      );
    case "outcome-unknown":
      return new CommandFailure(
        "outcome-unknown",
        "The response of the key-value service was lost. The change is " +
          `committed if and only if "cflow history" lists version ` +
          `${failure.version} with id ${failure.id}. Check this before ` +
          "trying again.",
        { data: { version: failure.version, id: failure.id } },
      );
  }
}

function toConflictFailure(
  { winner, version }: Extract<CommitFailure, { kind: "conflict" }>,
): CommandFailure {
  const advice = "Nothing was changed. Look at the newest state with: " +
    "cflow manifest show, then try again.";
  if (winner === undefined) {
    const message = "The configuration has changed since the version given; " +
      `the newest version is ${version}. ${advice}`;
    return new CommandFailure("refused", message, { data: { version } });
  }
  const { id, author, at } = winner;
  const what = formatChange(winner.change);
  const message = `${author} came first with version ${winner.version}: ` +
    `${what}. ${advice}`;
  const data = {
    winner: { version: winner.version, id, author, at, what },
    version,
  };
  return new CommandFailure("refused", message, { data });
}
