/**
 * Collects the properties of a request that its work depends on.
 */
import type { RoutedService } from "../routing/types.ts";
import type { IngressExchange } from "./ingress_exchange.ts";
import type { RequestWork } from "./work_tracker.ts";

/** Returns what the work of a request to `service` depends on. */
export function createWorkRequest(
  { route, workspace, traits }: IngressExchange,
  service: RoutedService,
): RequestWork {
  const { promptParts, tokenCounts, lengthHint } = traits;
  return {
    service: service.name,
    route: route!.name,
    kind: route!.kind,
    workspace: workspace?.name ?? "",
    promptParts,
    tokenCounts,
    lengthHint,
  };
}
