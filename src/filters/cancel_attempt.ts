/**
 * Asks an upstream to cancel an attempt that is no longer needed.
 */
import type { HttpClient } from "../transport/http_client.ts";

const CANCEL_TIMEOUT_MS = 1_000;

/**
 * Sends a cancellation without waiting for it. Failures are ignored, so the
 * upstream may go on with the attempt.
 */
export function cancelAttempt(
  client: HttpClient,
  { attemptId, address }: { attemptId: string; address: string },
): void {
  void client.send({
    address,
    method: "DELETE",
    path: `/v1/attempts/${attemptId}`,
    headers: {},
    body: undefined,
    firstByteTimeoutMs: CANCEL_TIMEOUT_MS,
    betweenBytesTimeoutMs: CANCEL_TIMEOUT_MS,
    signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    isFresh: true,
  }).then((sent) => sent.ok ? sent.val.body.dump() : undefined)
    .catch(() => undefined);
}
