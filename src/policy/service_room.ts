/**
 * Decides whether a service has room for another request.
 *
 * Load pattern: some 75 routers send one or two requests a second each to a few
 * upstreams, and know the load of the others 0.2 to 0.8 s late, while a request
 * lasts 0.06 s. Loads of single upstreams are outdated by then; their sum over
 * the service is not, since it changes with the demand. Where it leaves a slot
 * free, a request is sent without further checks.
 */

/** Estimated load of the upstreams of a service that may take requests. */
export interface ServiceLoad {
  /** Requests that they process at the same time, divided by their pace. */
  readonly slots: number;
  /** Requests in flight, of all routers. */
  readonly load: number;
  /** Requests in flight, of this router. */
  readonly own: number;
  /** Sum of the slots that are free at each of them. */
  readonly free: number;
  /** Whether enough other routers have lately stated their loads. */
  readonly isFleetKnown: boolean;
  /** Number of routers, this one included. */
  readonly routers: number;
}

/** Room at a service. */
export interface ServiceRoom {
  readonly hasRoom: boolean;
  readonly slots: number;
  /** Free slots. */
  readonly free: number;
  /** Requests that wait at the upstreams. */
  readonly backlog: number;
  /** Load divided by slots. */
  readonly fill: number;
}

/**
 * Estimates the room of a service. Without the loads of other routers, this
 * router has its part of the slots, and at least one.
 */
export function estimateRoom(service: ServiceLoad): ServiceRoom {
  const { isFleetKnown, own, routers } = service;
  const slots = isFleetKnown
    ? service.slots
    : Math.max(1, service.slots / Math.max(1, routers));
  const load = isFleetKnown ? service.load : own;
  const free = isFleetKnown ? service.free : Math.max(0, slots - own);
  return {
    // Without upstreams there is nothing to wait for.
    hasRoom: free >= 1 || service.slots === 0,
    slots,
    free,
    backlog: Math.max(0, load - slots),
    fill: slots > 0 ? load / slots : 0,
  };
}
