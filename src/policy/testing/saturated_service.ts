/**
 * Plays callers, routers with admission control and the upstreams of one plain
 * service in virtual time, without a network. Upstreams run six requests, queue
 * 24 by priority and reject the rest; routers know the loads of the others 0.2
 * to 0.8 s late.
 */
import { Admission, type AdmissionRequest } from "../admission.ts";
import { limitDemand } from "../demand_meter.ts";
import { PeerDemand } from "../peer_demand.ts";

/** Requests of one workspace. */
export interface Traffic {
  readonly workspace: string;
  readonly priority: number;
  readonly perSecond: number;
  /** Factor on the rate from `burstAtMs` on. */
  readonly burst?: number;
}

/** What became of the requests of one workspace from `burstAtMs` on. */
export interface Tally {
  requests: number;
  served: number;
  inTime: number;
  refusals: Record<string, number>;
  retryAfterMs: number[];
  heldMs: number[];
}

export interface PlayOptions {
  readonly traffic: readonly Traffic[];
  readonly upstreams: number;
  readonly burstAtMs?: number;
  readonly endMs?: number;
  /** Retries of a refused request, at once; by default one, as it is told. */
  readonly hastyRetries?: number;
  readonly hasAdmission?: boolean;
  readonly hasMessages?: boolean;
  readonly random: () => number;
}

const ROUTERS = 75;
const SLOTS = 6;
const QUEUE = 24;
const [MIN_MS, MAX_MS] = [30, 90];
const REPORT_MS = 300;
export const OBJECTIVE_MS = 200;
export const DEADLINE_MS = 1_000;

interface Call extends AdmissionRequest {
  readonly router: number;
  readonly arrivedAt: number;
  readonly tries: number;
  readonly traffic: Traffic;
}

export function playSaturatedService(options: PlayOptions) {
  const { traffic, upstreams, random, hastyRetries } = options;
  const { burstAtMs = 20_000, endMs = 30_000 } = options;
  const { hasAdmission = true, hasMessages = true } = options;
  const events: { at: number; run: () => void }[][] = [];
  let now = 0;
  const later = (ms: number, run: () => void) => {
    const at = now + Math.max(0, ms);
    (events[Math.floor(at)] ??= []).push({ at, run });
  };
  const peers = Array.from({ length: ROUTERS }, () => new PeerDemand());
  const routers = peers.map((each) =>
    new Admission({ peers: each, countOthers: () => ROUTERS - 1, random })
  );
  const own = routers.map(() => 0);
  const history: number[] = [];
  const servers = Array.from(
    { length: upstreams },
    () => ({ running: 0, queue: [] as { call: Call; start: () => void }[] }),
  );
  const tallies = new Map<string, Tally>();
  let [idleMs, rejected, idleRefusals, id] = [0, 0, 0, 0];

  function getTally({ traffic: { workspace } }: Call): Tally {
    const tally = tallies.get(workspace) ?? {
      requests: 0,
      served: 0,
      inTime: 0,
      refusals: {},
      retryAfterMs: [],
      heldMs: [],
    };
    tallies.set(workspace, tally);
    return tally;
  }
  const counts = ({ deadlineAt }: Call) =>
    deadlineAt >= burstAtMs + DEADLINE_MS;
  const inFlight = () =>
    servers.reduce((sum, each) => sum + each.running + each.queue.length, 0);
  function getLoad(router: number) {
    const ageMs = 200 + 600 * router / ROUTERS;
    const slots = upstreams * SLOTS;
    const load = history[Math.floor((now - ageMs) / 10)] ?? 0;
    const free = Math.max(0, slots - load);
    return {
      slots,
      load,
      own: own[router]!,
      free,
      isFleetKnown: hasMessages,
      routers: ROUTERS,
    };
  }
  const moment = (router: number) => ({ load: getLoad(router), now });

  function refuse(call: Call, code: string, retryAfterMs: number): void {
    if (inFlight() < upstreams * SLOTS / 2) idleRefusals++;
    if (counts(call)) {
      const { refusals, retryAfterMs: delays } = getTally(call);
      refusals[code] = (refusals[code] ?? 0) + 1;
      if (code !== "rejected") delays.push(retryAfterMs);
    }
    if (call.tries > (hastyRetries ?? 1)) return;
    const waitMs = hastyRetries === undefined ? retryAfterMs : 1;
    later(
      waitMs,
      () => arrive({ ...call, tries: call.tries + 1, id: `${id++}` }),
    );
  }
  function send(call: Call): void {
    const server = servers[Math.floor(random() * servers.length)]!;
    const sentAt = now;
    const { load, slots } = getLoad(call.router);
    const fill = load / slots;
    if (server.running === SLOTS && server.queue.length === QUEUE) {
      rejected++;
      routers[call.router]!.recordRejected("svc", now);
      refuse(call, "rejected", 250);
      return;
    }
    own[call.router]!++;
    const start = () => {
      server.running++;
      later(MIN_MS + (MAX_MS - MIN_MS) * random(), () => {
        server.running--;
        server.queue.sort((a, b) =>
          a.call.priority - b.call.priority ||
          a.call.arrivedAt - b.call.arrivedAt
        );
        server.queue.shift()?.start();
        own[call.router]!--;
        routers[call.router]!.recordServed("svc", {
          route: call.route,
          ms: now - sentAt,
          fill,
          at: now,
        });
        for (
          const id of routers[call.router]!.takeReady("svc", {
            ...moment(call.router),
            hasEnded: true,
          })
        ) release(id);
        if (!counts(call) || now > call.deadlineAt) return;
        const tally = getTally(call);
        tally.served++;
        if (now - call.arrivedAt <= OBJECTIVE_MS) tally.inTime++;
      });
    };
    if (server.running < SLOTS) start();
    else server.queue.push({ call, start });
  }
  const held = new Map<string, { call: Call; since: number }>();
  function release(id: string): void {
    const { call, since } = held.get(id)!;
    held.delete(id);
    if (counts(call)) getTally(call).heldMs.push(now - since);
    send(call);
  }
  function arrive(call: Call): void {
    if (call.tries === 1 && counts(call)) getTally(call).requests++;
    if (!hasAdmission) return send(call);
    const router = routers[call.router]!;
    const decision = router.decide(call, moment(call.router));
    if (decision.kind === "send") return send(call);
    if (decision.kind === "refuse") {
      return refuse(call, decision.code, decision.retryAfterMs);
    }
    held.set(call.id, { call, since: now });
    later(decision.until - now, () => {
      if (!held.has(call.id)) return;
      const { since } = held.get(call.id)!;
      const end = router.endHold(call, moment(call.router));
      if (end.kind === "send") return release(call.id);
      held.delete(call.id);
      if (counts(call)) getTally(call).heldMs.push(now - since);
      if (end.kind === "refuse") refuse(call, end.code, end.retryAfterMs);
    });
  }
  function arriveNext(each: Traffic): void {
    const rate = each.perSecond * (now >= burstAtMs ? each.burst ?? 1 : 1);
    later(-Math.log(1 - random()) / rate * 1_000, () => {
      arriveNext(each);
      const { workspace, priority } = each;
      arrive({
        id: `${id++}`,
        service: "svc",
        route: `route-${priority}`,
        priority,
        workspace,
        objectiveMs: OBJECTIVE_MS,
        deadlineAt: now + DEADLINE_MS,
        promptTokens: 0,
        router: Math.floor(random() * ROUTERS),
        arrivedAt: now,
        tries: 1,
        traffic: each,
      });
    });
  }
  function exchange(): void {
    later(REPORT_MS, exchange);
    const reports = routers.map((each) => each.createReport(now, () => false));
    const demand = limitDemand(reports.flatMap((each) => each.demand));
    const sequence = now;
    if (!hasMessages) return;
    later(500, () => {
      for (const each of peers) {
        each.record("relay", { demand, demandRouters: 74, sequence, now });
      }
    });
  }
  for (const each of traffic) arriveNext(each);
  exchange();
  for (let ms = 0; ms < endMs; ms++) {
    now = ms;
    if (ms % 10 === 0) history.push(inFlight());
    while ((events[ms]?.length ?? 0) > 0) {
      const [next] = events[ms]!.sort((a, b) => a.at - b.at).splice(0, 1);
      now = next!.at;
      next!.run();
    }
    if (ms < burstAtMs + 1_000) continue;
    const busy = servers.reduce((sum, { running }) => sum + running, 0);
    idleMs += 1 - busy / (upstreams * SLOTS);
  }
  const idle = idleMs / (endMs - burstAtMs - 1_000);
  return { tallies, idle, rejected, idleRefusals };
}
