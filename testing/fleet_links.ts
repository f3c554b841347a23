/**
 * Relays on the links of a fleet, so that a link can be cut, cut one way or
 * silenced: one from each router to the key-value service, and one to each
 * upstream, which all routers share.
 */
import type { Upstream } from "../src/config/manifest.ts";
import { type FleetPlan, mergeSettings } from "./fleet_plan.ts";
import { createRelay, type Relay } from "./relay.ts";

/** The relays of a fleet. */
export interface FleetLinks {
  /** The plan in which the routers find the relays. */
  readonly plan: FleetPlan;
  /** By the router's name. */
  readonly keyValue: ReadonlyMap<string, Relay>;
  /** By the upstream's name. */
  readonly upstreams: ReadonlyMap<string, Relay>;
  close(): Promise<void>;
}

/** Opens the relays for a plan. */
export async function openLinks(plan: FleetPlan): Promise<FleetLinks> {
  const keyValue = await openRelays(
    plan.routers.map(({ name }) => [name, plan.platform.keyValue]),
  );
  const all = plan.manifest.services.flatMap(({ upstreams }) => upstreams);
  const upstreams = await openRelays(
    all.map(({ name, address }) => [name, address]),
  );
  const relays = [...keyValue.values(), ...upstreams.values()];
  return {
    plan: relinkPlan(plan, { keyValue, upstreams }),
    keyValue,
    upstreams,
    async close() {
      await Promise.all(relays.map((relay) => relay.close()));
    },
  };
}

async function openRelays(
  targets: readonly (readonly [name: string, target: string])[],
): Promise<Map<string, Relay>> {
  const relays = new Map<string, Relay>();
  for (const [name, target] of targets) {
    relays.set(name, await createRelay({ target }));
  }
  return relays;
}

function relinkPlan(
  plan: FleetPlan,
  { keyValue, upstreams }: {
    keyValue: ReadonlyMap<string, Relay>;
    upstreams: ReadonlyMap<string, Relay>;
  },
): FleetPlan {
  const relink = (upstream: Upstream) => ({
    ...upstream,
    address: upstreams.get(upstream.name)!.address,
  });
  return {
    ...plan,
    isPublished: false,
    manifest: {
      ...plan.manifest,
      services: plan.manifest.services.map((service) => ({
        ...service,
        upstreams: service.upstreams.map(relink),
      })),
    },
    routers: plan.routers.map((router) => ({
      ...router,
      settings: mergeSettings(router.settings, {
        platform: { "key_value": keyValue.get(router.name)!.address },
      }),
    })),
  };
}
