/** Injects the faults of a schedule into a fleet. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Change, ServiceState } from "../src/config/configuration.ts";
import type { ChaosEvent, ChaosKind } from "../testing/chaos_schedule.ts";
import type { Fleet } from "../testing/fleet.ts";
import type { FleetLinks } from "../testing/fleet_links.ts";
import { waitFor } from "../testing/fleet_http.ts";
import type { RouterMember, UpstreamMember } from "../testing/fleet_member.ts";
import { Operator } from "../testing/fleet_operator.ts";
import type { KeyValueFaults } from "../testing/kv_server.ts";
import type { RelayFaults } from "../testing/relay.ts";
import type {
  AcceptedChange,
  FaultWindow,
  GracefulStop,
  UpstreamEvidence,
} from "./chaos_evidence.ts";

const KEY_VALUE_DELAY_MS = 800;
const LOST_RESPONSE_RATE = 0.3;
const COMMIT_TIMEOUT_MS = 60_000;
const COMMIT_POLL_MS = 500;

type LinkKind = Extract<ChaosKind, `${string}link-${string}`>;

interface LinkFault {
  readonly links: Exclude<keyof FleetLinks, "plan" | "close">;
  readonly faults: Partial<RelayFaults>;
}

const CUT = { cut: true };
const SILENCE = { silence: true };
const TO_TARGET = { cutOneWay: "to-target" } as const;
const TO_CLIENT = { cutOneWay: "to-client" } as const;

const LINK_FAULTS: Readonly<Record<LinkKind, LinkFault>> = {
  "link-silent": { links: "upstreams", faults: SILENCE },
  "link-cut": { links: "upstreams", faults: CUT },
  "link-cut-to-upstream": { links: "upstreams", faults: TO_TARGET },
  "link-cut-to-router": { links: "upstreams", faults: TO_CLIENT },
  "control-link-cut": { links: "control", faults: CUT },
  "control-link-cut-to-router": { links: "control", faults: TO_TARGET },
  "control-link-silent": { links: "control", faults: SILENCE },
  "forward-link-cut": { links: "forward", faults: CUT },
  "forward-link-cut-to-router": { links: "forward", faults: TO_TARGET },
  "forward-link-silent": { links: "forward", faults: SILENCE },
  "key-value-link-cut": { links: "keyValue", faults: CUT },
  "key-value-link-silent": { links: "keyValue", faults: SILENCE },
};

/** Starts a fault and, if the fault does not end by itself, ends it. */
interface FaultAction {
  begin(): Promise<void>;
  end?(): Promise<void>;
}

/** Injects faults and collects the data that the verdict needs about them. */
export class FaultInjector {
  readonly windows: FaultWindow[] = [];
  readonly stops: GracefulStop[] = [];
  readonly accepted: AcceptedChange[] = [];
  readonly conflictingCommits: string[] = [];
  /** Records of upstreams, read before each kill and at the end of a run. */
  readonly records: UpstreamEvidence[] = [];
  readonly #fleet: Fleet;
  readonly #operators: readonly Operator[];
  /** Settles when the latest fault at a target has ended, by target. */
  readonly #lastFaultByTarget = new Map<string, Promise<void>>();

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    const { address } = fleet.keyValue;
    this.#operators = ["first", "second"].map((author) =>
      new Operator({ author, address })
    );
  }

  /**
   * Runs a schedule to its end; calls `onEvent` at the scheduled start of each
   * fault.
   */
  async run(
    schedule: readonly ChaosEvent[],
    onEvent: (event: ChaosEvent) => void = () => {},
  ): Promise<void> {
    await Promise.all(schedule.map(async (event) => {
      await sleep(event.atMs);
      onEvent(event);
      await this.#performAfterPrevious(event);
    }));
  }

  /** Injects a fault once the previous fault at its target has ended. */
  #performAfterPrevious(event: ChaosEvent): Promise<void> {
    const previous = this.#lastFaultByTarget.get(event.target) ??
      Promise.resolve();
    const performed = previous.then(() => this.#perform(event));
    this.#lastFaultByTarget.set(event.target, performed);
    return performed;
  }

  /** Reads the record of an upstream and adds it to `records`. */
  async recordUpstream(member: UpstreamMember): Promise<void> {
    const record = await member.getRecord();
    const { coldLimit } = member.upstream;
    this.records.push({ upstream: member.name, coldLimit, record });
  }

  /** Closes the connections of the operators. */
  async close(): Promise<void> {
    await Promise.all(this.#operators.map((operator) => operator.close()));
  }

  async #perform(
    { kind, target, durationMs }: ChaosEvent,
  ): Promise<void> {
    const { begin, end } = this.#createAction(kind, target);
    const startedAt = Date.now();
    await begin();
    const activeAt = Date.now();
    await sleep(durationMs);
    const endingAt = Date.now();
    await end?.();
    // A target that is taken out is out from the commit until its return
    // starts. Any other fault may have an effect from the start of its
    // injection until it has been removed.
    const isTakenOut = kind === "failure-domain-out" || kind === "host-leaving";
    this.windows.push({
      kind,
      target,
      fromMs: isTakenOut ? activeAt : startedAt,
      toMs: isTakenOut ? endingAt : Date.now(),
    });
  }

  #createAction(kind: ChaosKind, target: string): FaultAction {
    switch (kind) {
      case "router-killed":
      case "router-stopped":
      case "router-paused":
        return this.#createRouterAction(kind, this.#findRouter(target));
      case "engine-killed":
      case "engine-cold":
      case "engine-leaving":
      case "upstream-silent":
        return this.#createUpstreamAction(kind, this.#findUpstream(target));
      case "link-silent":
      case "link-cut":
      case "link-cut-to-upstream":
      case "link-cut-to-router":
      case "control-link-cut":
      case "control-link-cut-to-router":
      case "control-link-silent":
      case "forward-link-cut":
      case "forward-link-cut-to-router":
      case "forward-link-silent":
      case "key-value-link-cut":
      case "key-value-link-silent":
        return this.#createLinkAction(kind, target);
      case "key-value-down":
        return this.#createKeyValueAction({ down: true }, { down: false });
      case "key-value-slow":
        return this.#createKeyValueAction(
          { delayMs: KEY_VALUE_DELAY_MS },
          { delayMs: 0 },
        );
      case "key-value-loses-answers":
        return this.#createKeyValueAction(
          { loseAnswerRate: LOST_RESPONSE_RATE },
          { loseAnswerRate: 0 },
        );
      case "watches-silent":
        return this.#createKeyValueAction({ silentWatches: true }, undefined);
      case "prompt-crashes":
      case "request-crashes":
      case "store-restored":
      case "foreign-items":
      case "router-links-refused":
      case "router-links-hung":
      case "router-links-new-refused":
      case "upstreams-brittle":
      case "engine-upgraded":
      case "answers-reset":
      case "answers-paused":
      case "log-reader-closed":
      case "log-reader-stalled":
      case "port-taken-at-start":
      case "signals-at-start":
      case "signals-in-series":
      case "settings-incomplete-at-start":
      case "settings-incomplete-at-reload":
      case "answers-endless":
      case "bodies-endless":
      case "answers-unread":
        throw new RangeError(`${kind}: this fleet has no metadata store`);
      case "operators-race":
        return {
          begin: () => this.#commitConflictingChanges(target),
          end: () => this.#setFailureDomain(target, "in"),
        };
      case "failure-domain-out":
        return {
          begin: () => this.#setFailureDomain(target, "out"),
          end: () => this.#setFailureDomain(target, "in"),
        };
      case "host-leaving":
        return {
          begin: () => this.#fleet.setHostState(target, "leaving"),
          end: () => this.#fleet.setHostState(target, "live"),
        };
    }
  }

  #createRouterAction(
    kind: "router-killed" | "router-stopped" | "router-paused",
    router: RouterMember,
  ): FaultAction {
    if (kind === "router-paused") {
      return {
        begin: () => Promise.resolve(router.pause()),
        end: () => Promise.resolve(router.resume()),
      };
    }
    const end = () => router.start();
    if (kind === "router-killed") return { begin: () => router.kill(), end };
    return { begin: () => this.#stopRouter(router), end };
  }

  async #stopRouter(router: RouterMember): Promise<void> {
    const exitCode = await router.stop();
    this.stops.push({ router: router.name, exitCode });
  }

  #createUpstreamAction(
    kind:
      | "engine-killed"
      | "engine-cold"
      | "engine-leaving"
      | "upstream-silent",
    member: UpstreamMember,
  ): FaultAction {
    switch (kind) {
      case "engine-killed":
        return {
          begin: async () => {
            await this.recordUpstream(member);
            await member.kill();
          },
          end: () => member.start(),
        };
      case "engine-cold":
        return { begin: () => member.control({ cold: true }) };
      case "upstream-silent":
        return { begin: () => member.control({ silent: true }) };
      case "engine-leaving":
        return {
          begin: () => this.#setLeaving(member, true),
          end: () => this.#setLeaving(member, false),
        };
    }
  }

  /**
   * Sets whether an engine is leaving. Errors are ignored: an engine that was
   * killed meanwhile is no longer leaving.
   */
  async #setLeaving(member: UpstreamMember, leaving: boolean): Promise<void> {
    await member.control({ leaving }).catch(() => {});
  }

  #createKeyValueAction(
    begin: Partial<KeyValueFaults>,
    end: Partial<KeyValueFaults> | undefined,
  ): FaultAction {
    return {
      begin: () => this.#fleet.setKeyValueFaults(begin),
      end: () => this.#fleet.setKeyValueFaults(end ?? {}),
    };
  }

  async #setFailureDomain(name: string, state: ServiceState): Promise<void> {
    const change: Change = { kind: "failure-domain", name, state };
    await waitFor(`${name} ${state}`, async () => {
      await this.#commit(this.#operators[0]!, { author: "first", change });
      return true;
    }, { timeoutMs: COMMIT_TIMEOUT_MS, pollMs: COMMIT_POLL_MS });
  }

  async #commit(
    operator: Operator,
    { author, change, basedOn }: {
      author: string;
      change: Change;
      basedOn?: number;
    },
  ): Promise<void> {
    const version = await operator.commit(change, basedOn);
    this.accepted.push({ version, author, change });
  }

  /** Commits conflicting changes of two operators, based on one version. */
  async #commitConflictingChanges(name: string): Promise<void> {
    const [first, second] = this.#operators;
    let basedOn: number;
    try {
      basedOn = await first!.getVersion();
    } catch {
      return;
    }
    const takeOut: Change = { kind: "failure-domain", name, state: "out" };
    const bringBack: Change = { kind: "failure-domain", name, state: "in" };
    const results = await Promise.allSettled([
      this.#commit(first!, { author: "first", change: takeOut, basedOn }),
      this.#commit(second!, { author: "second", change: bringBack, basedOn }),
    ]);
    const committed = results.filter(({ status }) => status === "fulfilled");
    if (committed.length > 1) {
      this.conflictingCommits.push(`${name} after ${basedOn}`);
    }
  }

  #findRouter(name: string): RouterMember {
    return this.#fleet.routers.find((router) => router.name === name)!;
  }

  #findUpstream(name: string): UpstreamMember {
    return this.#fleet.upstreams.find((upstream) => upstream.name === name)!;
  }

  #createLinkAction(kind: LinkKind, target: string): FaultAction {
    const { links: name, faults } = LINK_FAULTS[kind];
    const relay = this.#fleet.links![name].get(target)!;
    const noFaults = { cut: false, cutOneWay: "none" } as const;
    return {
      begin: async () => void await relay.setFaults(faults),
      end: async () => void await relay.setFaults(noFaults),
    };
  }
}
