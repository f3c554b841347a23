/**
 * Relays on the links of a fleet, so that a link can be cut, cut one way or
 * silenced: one from each router to the key-value service, one to each upstream,
 * and one to each of the two addresses at which a router is reached by its
 * peers. The relays to an upstream or a router are shared by all who connect.
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
  /** To the control addresses, by the router's name. */
  readonly control: ReadonlyMap<string, Relay>;
  /** To the addresses for forwarded requests, by the router's name. */
  readonly forward: ReadonlyMap<string, Relay>;
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
  const [control, forward] = await Promise.all(
    ["control", "forward"].map((key) =>
      openRelays(
        plan.routers.map(({ name, settings }) => [
          name,
          settings["listen"]![key]!,
        ]),
      )
    ),
  );
  const maps = {
    keyValue,
    upstreams,
    control: control!,
    forward: forward!,
  };
  const relays = Object.values(maps).flatMap((map) => [...map.values()]);
  return {
    plan: relinkPlan(plan, maps),
    ...maps,
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
  { keyValue, upstreams, control, forward }: Omit<FleetLinks, "plan" | "close">,
): FleetPlan {
  const controls = new Map(
    plan.routers.map(({ name }) => [name, control.get(name)!.address]),
  );
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
        listen: {
          "announce_control": controls.get(router.name)!,
          "announce_forward": forward.get(router.name)!.address,
        },
        platform: { "key_value": keyValue.get(router.name)!.address },
        fleet: {
          "seed_peers": [...controls]
            .filter(([name]) => name !== router.name)
            .map(([, address]) => address)
            .join(", "),
        },
      }),
    })),
  };
}
