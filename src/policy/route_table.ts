/**
 * Looks up the route and the workspace of a request and picks its service.
 */
import type {
  KeyedWorkspace,
  RoutedService,
  RoutingConfiguration,
  ServiceRoute,
} from "../routing/types.ts";
import type { Hash } from "./rendezvous.ts";

const HASH_RANGE = 2 ** 32;

/** Lookup tables of one version of the configuration. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;
  /** Routes by host, longest prefix first. */
  readonly #routes = new Map<string, ServiceRoute[]>();
  readonly #services: ReadonlyMap<string, RoutedService>;
  readonly #workspaces = new Map<string, KeyedWorkspace>();

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#routes.get(route.host) ?? [];
      routes.push(route);
      this.#routes.set(route.host, routes);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.keys) this.#workspaces.set(key, workspace);
    }
  }

  /** Finds the route of `host` with the longest prefix of `path`. */
  findRoute(host: string, path: string): ServiceRoute | undefined {
    const name = host.toLowerCase();
    const routes = this.#routes.get(name) ??
      this.#routes.get(name.replace(/:\d+$/, ""));
    return routes?.find(({ prefix }) => path.startsWith(prefix));
  }

  findService(name: string): RoutedService | undefined {
    return this.#services.get(name);
  }

  /** Whether requests on `route` must carry a key. */
  isKeyRequired(route: ServiceRoute): boolean {
    return this.configuration.workspaces !== undefined && !route.isPublic;
  }

  findWorkspace(key: string): KeyedWorkspace | undefined {
    return this.#workspaces.get(key);
  }
}

/**
 * Picks the service for a request in proportion to the weights. Equal keys map
 * to the same service, so that requests reach the service that caches the parts
 * of their prompt.
 */
export function pickTarget(
  { targets, name }: ServiceRoute,
  key: string,
  { hash }: { hash: Hash },
): string {
  if (targets.length === 1) return targets[0]!.service;
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = hash(`${name}\u0000${key}`) / HASH_RANGE * total;
  for (const { service, weight } of targets) {
    point -= weight;
    if (point < 0) return service;
  }
  return targets.findLast(({ weight }) => weight > 0)?.service ??
    targets[0]!.service;
}

/** Service without cold start, for a target that the configuration lacks. */
export function createUnknownService(name: string): RoutedService {
  return {
    name,
    coldStartMs: 0,
    coldRequestsPerSecond: 0,
    isEngine: false,
  };
}
