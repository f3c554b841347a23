/**
 * Decides whether a router reports that it is ready for new connections.
 */

/** State that determines readiness. */
export interface ReadinessInput {
  readonly isStopping: boolean;
  /** Whether callers can connect. */
  readonly isListening: boolean;
  readonly hasConfiguration: boolean;
  /** Whether the configuration is recent enough to check keys against it. */
  readonly isConfirmed: boolean;
}

/** Reason why a router is not ready. */
export type UnreadyReason =
  | "stopping"
  | "not-listening"
  | "no-configuration"
  | "unconfirmed";

/** Returns why the router is not ready; undefined if it is ready. */
export function findUnreadyReason(
  { isStopping, isListening, hasConfiguration, isConfirmed }: ReadinessInput,
): UnreadyReason | undefined {
  if (isStopping) return "stopping";
  if (!isListening) return "not-listening";
  if (!hasConfiguration) return "no-configuration";
  if (!isConfirmed) return "unconfirmed";
  return undefined;
}
