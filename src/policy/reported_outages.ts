/**
 * Decides which upstreams to avoid because other routers can't connect to them.
 *
 * Load pattern: an upstream goes dark, so that connections to it neither open
 * nor fail. In a large fleet each router sees about one request a second for
 * it, and each would lose its first ones to a timeout before it knows. Routers
 * therefore report the upstreams that they can't connect to with their loads,
 * and avoid one that several others have reported.
 */

/** What one router knows of the upstreams of one service. */
export interface ReportedOutagesInput {
  /** Upstreams of the service that may receive requests. */
  readonly upstreams: readonly string[];
  /** Number of other routers that can't connect to it, by upstream. */
  readonly reports: ReadonlyMap<string, number>;
  /** Whether the upstream has answered this router a short time ago. */
  readonly hasAnswered: (upstream: string) => boolean;
}

/** A single router may have lost its own network. */
const MIN_REPORTS = 2;
/**
 * If more than this fraction of a service is reported, the reporters are taken
 * to be cut off rather than the upstreams.
 */
const MAX_FRACTION = 0.5;

/** Returns the upstreams that this router should avoid. */
export function findReportedOutages(
  { upstreams, reports, hasAnswered }: ReportedOutagesInput,
): Set<string> {
  const reported = upstreams.filter((upstream) =>
    (reports.get(upstream) ?? 0) >= MIN_REPORTS
  );
  if (reported.length > upstreams.length * MAX_FRACTION) return new Set();
  return new Set(reported.filter((upstream) => !hasAnswered(upstream)));
}
