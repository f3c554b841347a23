/**
 * Relays between the processes of a fleet, so that tests can cut a link in one or
 * both directions or silence it. There is one relay from each router to the
 * key-value service, one to each upstream, and one to each of the two addresses
 * at which peers reach a router. All clients of an upstream or a router share its
 * relay.
 */
import type { Upstream } from "../src/config/manifest.ts";
import { type FleetPlan, mergeSettings } from "./fleet_plan.ts";
import { createRelay, type Relay } from "./relay.ts";

/** The relays of a fleet. */
export interface FleetLinks {
  /** The plan with the relays' addresses in place of their targets'. */
  readonly plan: FleetPlan;
  /** Relays to the key-value service, by the router's name. */
  readonly keyValue: ReadonlyMap<string, Relay>;
  /** Relays to the upstreams, by the upstream's name. */
  readonly upstreams: ReadonlyMap<string, Relay>;
  /** Relays to the control addresses, by the router's name. */
  readonly control: ReadonlyMap<string, Relay>;
  /** Relays to the addresses for forwarded requests, by the router's name. */
  readonly forward: ReadonlyMap<string, Relay>;
  close(): Promise<void>;
}

/** Opens the relays of a plan. */
export async function openLinks(plan: FleetPlan): Promise<FleetLinks> {
  const keyValue = await openRelays(
    plan.routers.map(({ name }) => [name, plan.platform.keyValue]),
  );
  const allUpstreams = plan.manifest.services.flatMap(({ upstreams }) =>
    upstreams
  );
  const upstreams = await openRelays(
    allUpstreams.map(({ name, address }) => [name, address]),
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
  const relayMaps = {
    keyValue,
    upstreams,
    control: control!,
    forward: forward!,
  };
  const relays = Object.values(relayMaps).flatMap((map) => [...map.values()]);
  return {
    plan: createRelayedPlan(plan, relayMaps),
    ...relayMaps,
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

function createRelayedPlan(
  plan: FleetPlan,
  { keyValue, upstreams, control, forward }: Omit<FleetLinks, "plan" | "close">,
): FleetPlan {
  const controlAddresses = new Map(
    plan.routers.map(({ name }) => [name, control.get(name)!.address]),
  );
  const withRelayAddress = (upstream: Upstream) => ({
    ...upstream,
    address: upstreams.get(upstream.name)!.address,
  });
  return {
    ...plan,
    usesDeploymentSettings: false,
    manifest: {
      ...plan.manifest,
      services: plan.manifest.services.map((service) => ({
        ...service,
        upstreams: service.upstreams.map(withRelayAddress),
      })),
    },
    routers: plan.routers.map((router) => ({
      ...router,
      settings: mergeSettings(router.settings, {
        listen: {
          "announce_control": controlAddresses.get(router.name)!,
          "announce_forward": forward.get(router.name)!.address,
        },
        platform: { "key_value": keyValue.get(router.name)!.address },
        fleet: {
          "seed_peers": [...controlAddresses]
            .filter(([name]) => name !== router.name)
            .map(([, address]) => address)
            .join(", "),
        },
      }),
    })),
  };
}
