/**
 * When a router says that it is ready for new connections.
 */

/** What readiness depends on. */
export interface ReadinessInput {
  readonly isStopping: boolean;
  readonly hasConfiguration: boolean;
  /** Whether the configuration is recent enough to trust keys. */
  readonly isConfirmed: boolean;
}

/** Why a router is not ready. */
export type UnreadyReason = "stopping" | "no-configuration" | "unconfirmed";

/** Why the router is not ready; undefined if it is. */
export function findUnreadyReason(
  { isStopping, hasConfiguration, isConfirmed }: ReadinessInput,
): UnreadyReason | undefined {
  if (isStopping) return "stopping";
  if (!hasConfiguration) return "no-configuration";
  if (!isConfirmed) return "unconfirmed";
  return undefined;
}
