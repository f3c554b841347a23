/**
 * A metadata store that returns to a copy of its state some seconds old.
 */
import { LocalIngress, sendCompleteResponse } from "./testing/local_ingress.ts";

const RESTORED = {
  message: "config: The store has returned to an older copy of its state.",
};
const REGISTRATION_KEY = "corianderflow/routers/router-1";

let fleet: LocalIngress;
let count = 0;

beforeEach(async () => {
  fleet = await new LocalIngress().start({ bounds: { graceS: 1 } });
  fleet.script((request) => sendCompleteResponse(request));
});

afterEach(async () => {
  await fleet.close();
});

function ask(fields: { key?: string } = {}) {
  return fleet.ask({ id: `id-${++count}`, ...fields });
}

async function untilTrue(isTrue: () => boolean): Promise<void> {
  for (let each = 0; each < 400; each++) {
    if (isTrue()) return;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error("the condition did not come true within 8 s");
}

/** Writes items until the store is past the revision that it had. */
function writeOthers(): void {
  for (let index = 0; index < 10; index++) {
    fleet.store.put(`status/${index}`, 1);
  }
}

test("a key that was revoked since the copy is not accepted again", async () => {
  fleet.store.saveCopy();
  fleet.putConfiguration({ keys: ["new"] });
  await fleet.untilLogged({ version: 2 });
  fleet.store.returnToCopy();
  await fleet.untilLogged(RESTORED);
  expect((await ask()).status).toBe(401);
  expect((await ask({ key: "new" })).status).toBe(200);
  // The operators write it again, at a revision that was given out before.
  fleet.putConfiguration({ keys: ["newer"] });
  await fleet.untilLogged({ version: 3 });
  expect((await ask({ key: "newer" })).status).toBe(200);
});

test("a change at a revision that was given out before is not missed", async () => {
  fleet.store.saveCopy();
  fleet.putConfiguration({ keys: ["new"] });
  await fleet.untilLogged({ version: 2 });
  fleet.store.returnToCopy();
  fleet.putConfiguration({ keys: ["newer"] });
  writeOthers();
  await fleet.untilLogged({ version: 3 });
  expect((await ask({ key: "newer" })).status).toBe(200);
});

test("an upstream that was leaving or gone since the copy gets no request", async () => {
  const [one, other] = fleet.upstreams;
  fleet.putUpstream(one!, { born: 1 });
  fleet.putUpstream(other!, { born: 1 });
  await untilTrue(() =>
    fleet.lines.filter(({ bornAt }) => bornAt === 1).length === 2
  );
  fleet.store.saveCopy();
  fleet.putUpstream(one!, { born: 1, state: "draining" });
  await fleet.untilLogged({ upstream: one!.id, state: "leaving" });
  fleet.store.returnToCopy();
  await fleet.untilLogged(RESTORED);
  await fleet.untilLogged({ routers: 1 });
  one!.arrived.length = 0;
  for (let each = 0; each < 20; each++) expect((await ask()).status).toBe(200);
  expect(one!.arrived).toEqual([]);
  fleet.store.remove(`servers/${one!.id}`);
  fleet.putUpstream(one!, { born: 2 });
  await fleet.untilLogged({ upstream: one!.id, bornAt: 2 });
  for (let each = 0; each < 20; each++) await ask();
  expect(one!.arrived.length).toBeGreaterThan(0);
});

test(
  "a failure domain stays out of service until the operators had time to write",
  async () => {
    const [one, other] = fleet.upstreams;
    fleet.putUpstream(other!, { zone: "west", slots: 5 });
    fleet.store.saveCopy();
    fleet.store.put("op/evacuate/west", {});
    await fleet.untilLogged({
      message: "config: A failure domain is out of service.",
    });
    fleet.store.returnToCopy();
    await fleet.untilLogged(RESTORED);
    other!.arrived.length = 0;
    for (let each = 0; each < 20; each++) {
      expect((await ask()).status).toBe(200);
    }
    expect(other!.arrived).toEqual([]);
    expect(one!.arrived.length).toBeGreaterThan(0);
    await fleet.untilLogged({
      message: "config: A failure domain is back in service.",
    });
  },
  15_000,
);

test("the router registers again at once", async () => {
  fleet.store.remove(REGISTRATION_KEY);
  fleet.store.saveCopy();
  fleet.store.returnToCopy();
  await fleet.untilLogged(RESTORED);
  await untilTrue(() => fleet.store.keys(REGISTRATION_KEY).length === 1);
});

test("two returns in a row are both seen", async () => {
  fleet.store.saveCopy();
  writeOthers();
  fleet.store.returnToCopy();
  await fleet.untilLogged({ ...RESTORED, era: 1 });
  writeOthers();
  fleet.store.returnToCopy();
  await fleet.untilLogged({ ...RESTORED, era: 2 });
  expect((await ask()).status).toBe(200);
});

// Guards against versions of software that the store has lost with the changes
// since its copy, so that a restart of all routers forgets them.
test("the versions of a service are written again", async () => {
  const key = "corianderflow/versions/svc";
  await untilTrue(() => fleet.store.keys(key).length > 0);
  fleet.store.remove(key);
  fleet.store.saveCopy();
  fleet.store.put(key, { versions: [{ version: "v1" }] });
  fleet.store.returnToCopy();
  await untilTrue(() => fleet.store.keys(key).length > 0);
});
