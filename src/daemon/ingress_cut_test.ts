/**
 * Streams that callers resume at another router as upstreams of another software
 * version join.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { IngressSettings } from "../config/ingress_settings.ts";
import {
  beginStream,
  endStream,
  LocalIngress,
  type ReceivedRequest,
  sendEvent,
} from "./testing/local_ingress.ts";

const STREAMS = 8;
const EVENTS = 3;
/** Exceeds the pause between two polls, after which a new router is known. */
const KNOWN_AFTER_MS = 1_000;

let fleet: LocalIngress;

beforeEach(async () => {
  fleet = await new LocalIngress().start({
    upstreams: 2,
    bounds: { graceS: 1 },
  });
  await fleet.addRouter({ name: "router-2" });
  await fleet.untilLogged({ version: "v1", isWritten: true });
});

afterEach(async () => {
  await fleet.close();
});

function sendRest(request: ReceivedRequest): void {
  const from = Number(request.headers["last-event-id"] ?? 0);
  beginStream(request);
  for (let id = from + 1; id <= EVENTS; id++) sendEvent(request, id);
  endStream(request);
}

/** Adds upstreams of v2, to which the first router sends streams. */
async function addOtherVersion(): Promise<void> {
  for (const id of ["up-2", "up-3"]) {
    const upstream = await fleet.addUpstream(id);
    upstream.script = sendRest;
    fleet.putUpstream(upstream, { version: "v2", born: 7 });
    await fleet.untilLogged({ upstream: id, router: "router-1", bornAt: 7 });
  }
}

async function beginStreams(
  prefix: string,
  router: IngressSettings,
): Promise<void> {
  fleet.script(sendRest);
  for (let each = 0; each < STREAMS; each++) {
    await fleet.ask({ id: `${prefix}-${each}`, path: "/chat/x", router });
  }
}

function resume(id: string, router: IngressSettings) {
  return fleet.ask({
    id: `${id}-again`,
    path: "/chat/x",
    headers: { "last-event-id": "1", "resumes": id },
    router,
  });
}

/** Versions of the upstreams that took part in a stream, once for each try. */
function listVersions(id: string): string[] {
  return fleet.upstreams.flatMap((upstream, index) =>
    upstream.arrived.filter((each) => each.id.startsWith(id))
      .map(() => index < 2 ? "v1" : "v2")
  );
}

function countMixed(prefix: string): number {
  return Array.from({ length: STREAMS }, (_, each) => `${prefix}-${each}`)
    .filter((id) => new Set(listVersions(id)).size > 1).length;
}

// Guards against streams that only the router which ended knew, since their
// service had one version when they began (LOST).
test("streams of a router that ended go on after another version has joined", async () => {
  const ended = await fleet.addRouter({ name: "router-4" });
  await sleep(KNOWN_AFTER_MS);
  await beginStreams("first", ended);
  await fleet.removeRouter("router-4");
  await addOtherVersion();
  for (let each = 0; each < STREAMS; each++) {
    const answer = await resume(`first-${each}`, fleet.settings);
    expect(answer.status).toBe(200);
  }
  expect(countMixed("first")).toBe(0);
});
