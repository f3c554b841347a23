/** Tests of the state of a router's links. */
import {
  getDownCheckInterval,
  LinkState,
  MAX_LINK_REPORT_AGE_MS,
} from "./link_state.ts";

const SERVICE = "engine";

function createDownState(): LinkState {
  const state = new LinkState("router-1");
  state.recordCheck(SERVICE, { checked: 3, isReached: false });
  return state;
}

// Guards against taking one upstream that has ended for a loss of the links.
test("links are down only if no upstream can be reached", () => {
  const state = new LinkState("router-1");
  expect(state.recordCheck(SERVICE, { checked: 3, isReached: true })).toBe(
    "none",
  );
  expect(state.isDown(SERVICE)).toBe(false);
  expect(state.recordCheck(SERVICE, { checked: 3, isReached: false })).toBe(
    "down",
  );
  expect(state.isDown(SERVICE)).toBe(true);
  expect(state.isDown("plain")).toBe(false);
});

// Guards against a service with one upstream, whose end nothing is compared with.
test("a check of no upstream proves nothing", () => {
  const state = new LinkState("router-1");
  expect(state.recordCheck(SERVICE, { checked: 0, isReached: false })).toBe(
    "none",
  );
  expect(state.isDown(SERVICE)).toBe(false);
});

// Guards against links that change between up and down while packets are lost.
test("links are up after two checks in a row reach an upstream", () => {
  const state = createDownState();
  const reached = { checked: 3, isReached: true };
  expect(state.recordCheck(SERVICE, reached)).toBe("none");
  expect(state.recordCheck(SERVICE, { checked: 3, isReached: false })).toBe(
    "none",
  );
  expect(state.recordCheck(SERVICE, reached)).toBe("none");
  expect(state.isDown(SERVICE)).toBe(true);
  expect(state.recordCheck(SERVICE, reached)).toBe("up");
  expect(state.isDown(SERVICE)).toBe(false);
});

// Guards against checks under load, when single upstreams are slow to answer.
test("a service is silent if none of its upstreams sends data", () => {
  const state = new LinkState("router-1");
  expect(state.isSilent(SERVICE, 0)).toBe(true);
  state.recordData(SERVICE, 1_000);
  expect(state.isSilent(SERVICE, 1_100)).toBe(false);
  expect(state.isSilent(SERVICE, 1_400)).toBe(true);
  expect(state.hasRecentData(SERVICE, 1_400)).toBe(true);
  expect(state.hasRecentData(SERVICE, 2_100)).toBe(false);
});

// Guards against requests that are forwarded to a router that is cut off too,
// and to none for long after its links are back.
test("reports reach routers through others and expire", () => {
  const relay = new LinkState("router-2");
  const other = new LinkState("router-3");
  relay.receiveReports(createDownState().createReports(0), 10);
  other.receiveReports(relay.createReports(210), 220);
  expect(other.isDownAt("router-1", SERVICE, 220)).toBe(true);
  expect(other.isDownAt("router-1", "plain", 220)).toBe(false);
  expect(other.isDownAt("router-2", SERVICE, 220)).toBe(false);
  const expiredAt = 220 + MAX_LINK_REPORT_AGE_MS;
  expect(other.isDownAt("router-1", SERVICE, expiredAt)).toBe(false);
  expect(other.createReports(expiredAt)).toEqual([]);
});

// Guards against routers that keep a report alive by telling it to each other.
test("a report that is passed to and fro expires", () => {
  const one = new LinkState("router-2");
  const other = new LinkState("router-3");
  one.receiveReports(createDownState().createReports(0), 0);
  for (let now = 100; now <= 4_000; now += 200) {
    other.receiveReports(one.createReports(now), now + 5);
    one.receiveReports(other.createReports(now + 100), now + 105);
  }
  expect(one.isDownAt("router-1", SERVICE, 4_000)).toBe(false);
});

test("a router ignores what others say of itself", () => {
  const state = new LinkState("router-1");
  state.receiveReports([{ router: "router-1", service: SERVICE, ageMs: 0 }], 0);
  expect(state.createReports(0)).toEqual([]);
});

// Guards against a herd of checks at upstreams that start again while the whole
// fleet counts its links to them as down.
test("the checks of a large fleet are spread", () => {
  expect(getDownCheckInterval(6)).toBe(300);
  expect(getDownCheckInterval(200)).toBe(1_000);
  const state = createDownState();
  expect(state.getCheckedCount(SERVICE)).toBe(1);
  expect(state.getCheckedCount("plain")).toBe(3);
});
