/**
 * Decides what began a stream that this router doesn't know, from what other
 * routers and the metadata store say.
 *
 * Load pattern: a router is cut off or stands still for some seconds while
 * upstreams of another software version join, and callers resume streams there
 * that began at these. Its view of the upstreams may be outdated, and so may be
 * those of the routers that it asks. A view counts only if the store has
 * confirmed it since the question arrived: a stream that began before is of a
 * version that was in the store before. The answers of the routers that are told
 * of streams count as a second, separate proof.
 */
import { MAX_WATCH_LAG_MS } from "./confirmation.ts";
import type { VersionFinding } from "./version_history.ts";

/** What a router that doesn't know the stream has answered. */
export interface InquiryAnswer {
  /** Only version that its service had in the span, as that router sees it. */
  readonly soleVersion?: string;
  readonly hasSeveralVersions?: boolean;
  /**
   * Time since the store confirmed that router's view, in milliseconds; absent
   * in the answers of older builds, which prove nothing.
   */
  readonly viewAgeMs?: number;
}

/** What is known of a stream. */
export interface InquiryState {
  /** Routers that were asked. */
  readonly askedCount: number;
  /** Answers without the stream. */
  readonly answers: readonly InquiryAnswer[];
  /** Whether the time for answers has passed. */
  readonly isDue: boolean;
  /**
   * Whether this router's view holds all that was in the store when the
   * question arrived.
   */
  readonly view: "pending" | "confirmed" | "unconfirmed";
  /** Versions of the service in a span of milliseconds that ends now. */
  readonly findVersions: (spanMs: number) => VersionFinding;
  /**
   * Time before the question arrived in which the stream may have begun, in
   * milliseconds.
   */
  readonly spanMs: number;
  /** Time since the question arrived, in milliseconds. */
  readonly elapsedMs: number;
}

/** Why a stream stays unknown. */
export type UnknownReason =
  | "several-versions"
  | "view-unconfirmed"
  | "too-few-answers"
  | "versions-unknown";

/** The state of a decision. */
export type InquiryDecision =
  | { readonly kind: "pending" }
  /** Any stream of the service has this version. */
  | { readonly kind: "sole-version"; readonly version: string }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

const PENDING: InquiryDecision = { kind: "pending" };

/** Decides on a stream that no router has named so far. */
export function decideInquiry(state: InquiryState): InquiryDecision {
  const { askedCount, answers, isDue, view } = state;
  const areAllIn = isDue || answers.length >= askedCount;
  function refuse(reason: UnknownReason): InquiryDecision {
    // A router that has not answered yet may know the stream.
    return areAllIn ? { kind: "unknown", reason } : PENDING;
  }
  // The span ended when the question arrived.
  const own = state.findVersions(state.spanMs + state.elapsedMs);
  if (hasSeveralVersions(own, answers)) return refuse("several-versions");
  if (view === "unconfirmed") return refuse("view-unconfirmed");
  if (answers.length < Math.ceil(askedCount / 2)) {
    return refuse("too-few-answers");
  }
  if (view === "pending") return PENDING;
  if (own.kind === "sole") {
    return { kind: "sole-version", version: own.version };
  }
  const version = findCoveredVersion(state);
  return version === undefined
    ? refuse("versions-unknown")
    : { kind: "sole-version", version };
}

function hasSeveralVersions(
  own: VersionFinding,
  answers: readonly InquiryAnswer[],
): boolean {
  if (own.kind === "several") return true;
  const versions = new Set(answers.map(({ soleVersion }) => soleVersion));
  versions.delete(undefined);
  if (own.kind === "sole") versions.add(own.version);
  return versions.size > 1 ||
    answers.some((answer) => answer.hasSeveralVersions === true);
}

/**
 * Finds a version that another router has seen as the only one, until a time
 * from which on this router has seen no other.
 */
function findCoveredVersion(
  { answers, findVersions, elapsedMs }: InquiryState,
): string | undefined {
  for (const { soleVersion, viewAgeMs } of answers) {
    if (soleVersion === undefined || viewAgeMs === undefined) continue;
    const own = findVersions(elapsedMs + viewAgeMs + MAX_WATCH_LAG_MS);
    if (own.kind === "sole" && own.version === soleVersion) return soleVersion;
  }
  return undefined;
}
