/**
 * Finds the services to which admission control applies: those that requests of
 * several priorities or workspaces share.
 */
import type { RoutingConfiguration } from "../routing/types.ts";

interface Users {
  readonly priorities: Set<number>;
  readonly workspaces: Set<string>;
}

/** Returns the names of the services that are shared. */
export function findSharedServices(
  { routes, workspaces }: RoutingConfiguration,
): ReadonlySet<string> {
  const users = new Map<string, Users>();
  for (const { targets, priority, isPublic } of routes) {
    const keyed = isPublic ? [] : workspaces ?? [];
    for (const { service, weight } of targets) {
      if (weight <= 0) continue;
      const each = users.get(service) ??
        { priorities: new Set(), workspaces: new Set() };
      users.set(service, each);
      if (keyed.length === 0) each.priorities.add(priority);
      for (const workspace of keyed) {
        each.priorities.add(workspace.priority ?? priority);
        each.workspaces.add(workspace.name);
      }
    }
  }
  const shared = [...users].filter(([, each]) =>
    each.priorities.size > 1 || each.workspaces.size > 1
  );
  return new Set(shared.map(([service]) => service));
}
