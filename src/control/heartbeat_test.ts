import { parseHeartbeat, renderHeartbeat } from "./heartbeat.ts";

const HEARTBEAT = {
  sentAt: { incarnation: "1a", at: 1_234 },
  configurationStatus: {
    version: 7,
    routersVersion: 3,
    routersInForceMs: 90_000,
  },
  isLeaving: false,
  isReply: true,
  offers: [{
    pool: "assistant/0",
    offer: { echo: { incarnation: "2b", at: 900 }, lends: true },
  }],
  returns: [{ pool: "booking/0", stamp: { incarnation: "1a", at: 1_200 } }],
};

test("a heartbeat is unchanged after encoding and decoding", () => {
  const params = JSON.parse(JSON.stringify(renderHeartbeat(HEARTBEAT)));
  expect(parseHeartbeat("r2", params)).toEqual({ peer: "r2", ...HEARTBEAT });
  expect(params).toMatchSnapshot();
});

test("an infinite time in force is encoded as the maximum", () => {
  const configurationStatus = {
    ...HEARTBEAT.configurationStatus,
    routersInForceMs: Infinity,
  };
  const params = renderHeartbeat({ ...HEARTBEAT, configurationStatus });
  expect(parseHeartbeat("r2", JSON.parse(JSON.stringify(params))))
    .toMatchObject({
      configurationStatus: { routersInForceMs: 1_000_000_000 },
    });
});

test.each([
  ["undefined", undefined],
  ["too few elements", ["1a", 1]],
  ["a time that is no number", ["1a", "x", 1, 1, 1, 0, 0, [], []]],
  ["loans that are no array", ["1a", 1, 1, 1, 1, 0, 0, "x", []]],
])("a heartbeat with invalid parameters is rejected: %s", (_name, params) => {
  expect(parseHeartbeat("r2", params)).toBeUndefined();
});
