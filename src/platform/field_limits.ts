/**
 * What a field that comes from outside may hold: in items of the metadata store,
 * in upstreams' reports and headers, and in messages of other routers.
 *
 * Any program may write there. A value beyond these limits does not come from an
 * upstream or a router, and would act on timers, sums, headers and messages that
 * others depend on. What operators configure is brought within them instead; see
 * `checked_configuration.ts`.
 */

/** Range of a number; both ends belong to it. */
export interface NumberLimit {
  readonly min: number;
  readonly max: number;
  readonly isInteger: boolean;
}

/** Length and characters of a text, in UTF-16 units. */
export interface TextLimit {
  readonly minLength: number;
  readonly maxLength: number;
  readonly pattern: RegExp;
  /** Completes "is not" in error messages. */
  readonly expected: string;
}

/** Longest delay of a timer in Node.js, in milliseconds; a longer one is 1. */
const MAX_TIMER_MS = 2_147_483_647;
/** End of the year 9999, in milliseconds of the Unix time. */
const MAX_TIME_MS = 253_402_300_799_999;
/** The platform bounds keys, and thus the names in them, to 200 bytes. */
const MAX_NAME_LENGTH = 200;
/** Leaves room for the prefix of the keys below which services have records. */
const MAX_SERVICE_LENGTH = 150;
/** Longest header value that is set, in bytes. */
const MAX_HEADER_VALUE_LENGTH = 4_096;

function integer(max: number, min = 0): NumberLimit {
  return { min, max, isInteger: true };
}

function decimal(max: number): NumberLimit {
  return { min: 0, max, isInteger: false };
}

/** Limits of numbers by what they measure. */
export const NUMBERS = {
  /** Revisions, eras, versions of configurations, counters of writers. */
  counter: integer(Number.MAX_SAFE_INTEGER),
  /** Requests that run at the same time at one upstream, or wait there. */
  requests: integer(1_000_000),
  /** Routers of a fleet; the users' largest has hundreds. */
  routers: integer(100_000, 1),
  /** Tokens of a prompt or a response; the longest prompts have a million. */
  tokens: integer(100_000_000),
  /** Work in flight at an upstream, in milliseconds. */
  workMs: integer(MAX_TIMER_MS),
  /** Durations, in milliseconds. */
  durationMs: decimal(MAX_TIMER_MS),
  /** Duration of a cold start and what remains of it, in milliseconds. */
  coldMs: decimal(MAX_TIMER_MS),
  /**
   * Durations that operators configure, in milliseconds: six days. The sums and
   * multiples of them that requests wait for fit a timer.
   */
  configuredMs: decimal(MAX_TIMER_MS / 4),
  /** Wall-clock times, in milliseconds. */
  timeMs: decimal(MAX_TIME_MS),
  /** Start times of processes, which the platform states as whole numbers. */
  startMs: integer(MAX_TIME_MS),
  /** How long work takes at an upstream now; 100 is as usual. */
  paceFigure: decimal(1_000_000),
  /** Requests or rejections a second. */
  rate: decimal(1_000_000_000),
  /** Relative shares of targets. */
  weight: decimal(1_000_000_000),
  /** Bandwidth of a link, in Mbit/s. */
  linkMbps: decimal(1_000_000_000),
  /** Sizes, in bytes. */
  bytes: integer(Number.MAX_SAFE_INTEGER),
  /** Upstreams that a request may be sent to; 0 counts as 1. */
  attempts: integer(1_000_000),
  /** Ranks of priorities, 0 first. */
  priority: integer(1_000_000),
} as const satisfies Record<string, NumberLimit>;

/** Longest name of a host in the domain name system (RFC 1035). */
const MAX_HOST_LENGTH = 253;
/**
 * Text without control characters. Such text may be logged, and sent as part of
 * a message.
 */
// deno-lint-ignore no-control-regex
const PLAIN_TEXT = /^[^\u0000-\u001f\u007f-\u009f]*$/;
/** Printable ASCII without spaces at its ends, as a header field carries it. */
const HEADER_TEXT = /^[!-~](?:[ -~]*[!-~])?$/;
/** The same with letters of Latin-1, which a header field carries as well. */
const LATIN1_HEADER_TEXT =
  /^[!-~\u00a1-\u00ff](?:[ -~\u00a0-\u00ff]*[!-~\u00a1-\u00ff])?$/;
/** Any bytes that a header field carries, without spaces at the ends. */
const HEADER_BYTES =
  /^[!-~\u0080-\u00ff](?:[ -~\u0080-\u00ff]*[!-~\u0080-\u00ff])?$/;
/** Limits of texts by what they name. */
export const TEXTS = {
  /** Explanations for people. */
  reason: {
    minLength: 0,
    maxLength: 500,
    pattern: PLAIN_TEXT,
    expected: "a text of at most 500 characters without control characters",
  },
  /** Services, in the form that routers use. */
  service: {
    minLength: 1,
    maxLength: MAX_SERVICE_LENGTH,
    pattern: HEADER_TEXT,
    expected: "a name of 1 to 150 printable ASCII characters",
  },
  /** Values of headers, in Latin-1 characters that stand for bytes. */
  headerValue: {
    minLength: 1,
    maxLength: MAX_HEADER_VALUE_LENGTH,
    pattern: HEADER_BYTES,
    expected: "a header value of 1 to 4096 bytes",
  },
  /** Ids of upstreams, services and software versions. */
  headerName: {
    minLength: 1,
    maxLength: MAX_NAME_LENGTH,
    pattern: HEADER_TEXT,
    expected: "a name of 1 to 200 printable ASCII characters",
  },
  /** Names of workspaces, which the operators choose. */
  workspace: {
    minLength: 1,
    maxLength: MAX_NAME_LENGTH,
    pattern: LATIN1_HEADER_TEXT,
    expected: "a name of 1 to 200 printable Latin-1 characters",
  },
  /** Names of the domain name system. */
  host: {
    minLength: 1,
    maxLength: MAX_HOST_LENGTH,
    pattern: PLAIN_TEXT,
    expected: "a host of 1 to 253 characters without control characters",
  },
  /** Names that stay in the routers: of routers, domains and routes. */
  name: {
    minLength: 1,
    maxLength: MAX_NAME_LENGTH,
    pattern: PLAIN_TEXT,
    expected: "a name of 1 to 200 characters without control characters",
  },
  /** Names that are only compared, such as those of items that are gone. */
  anyName: {
    minLength: 0,
    maxLength: MAX_NAME_LENGTH,
    pattern: /^/,
    expected: "a name of at most 200 characters",
  },
  /** Prefixes of paths and API keys, which a request's head has to hold. */
  requestPart: {
    minLength: 1,
    maxLength: 8_192,
    pattern: PLAIN_TEXT,
    expected: "1 to 8192 characters without control characters",
  },
} as const satisfies Record<string, TextLimit>;

/** Deepest nesting of a document; those that are known have five levels. */
export const MAX_DEPTH = 32;
/** Length of the entry of an upstream or a router, or a record, in bytes. */
export const MAX_ENTRY_BYTES = 65_536;
/** Length of a configuration, in bytes; 8 times the largest value of a store. */
export const MAX_CONFIGURATION_BYTES = 8_388_608;

/** Whether `value` is a number within `limit`. */
export function isNumberWithin(
  value: unknown,
  { min, max, isInteger }: NumberLimit,
): value is number {
  return typeof value === "number" && value >= min && value <= max &&
    (!isInteger || Number.isInteger(value));
}

/** Whether `value` is a text within `limit`. */
export function isTextWithin(
  value: unknown,
  { minLength, maxLength, pattern }: TextLimit,
): value is string {
  return typeof value === "string" && value.length >= minLength &&
    value.length <= maxLength && pattern.test(value);
}
