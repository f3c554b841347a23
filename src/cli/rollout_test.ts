import { Err, Ok } from "ts-results/result";
import type { RouterStatus } from "../types_status.ts";
import type { RouterClient } from "./router_client.ts";
import { waitForRollout } from "./rollout.ts";

/**
 * Creates a client whose routers return the given versions one after another
 * and then repeat the last; undefined stands for an unreachable router.
 */
function createClient(answers: Record<string, (number | undefined)[]>) {
  const asked: string[] = [];
  const client: Pick<RouterClient, "getStatus"> = {
    getStatus(address) {
      const versions = answers[address]!;
      const version = versions.length > 1 ? versions.shift() : versions[0];
      asked.push(address);
      if (version !== undefined) {
        const status = { name: `name-${address}`, version } as RouterStatus;
        return Promise.resolve(Ok(status));
      }
      const failure = { kind: "unreachable", address, detail: "gone" } as const;
      return Promise.resolve(Err(failure));
    },
  };
  const routers = Object.keys(answers);
  return { client: client as RouterClient, asked, routers, intervalMs: 0 };
}

test("the wait ends once every router that answers has the version", async () => {
  const { asked, ...options } = createClient({
    a: [5],
    b: [undefined, 3, 4, 4, 6],
    c: [undefined],
  });
  expect(await waitForRollout({ ...options, version: 5 })).toEqual({
    version: 5,
    inForce: ["name-a", "name-b"],
    behind: [],
    unreachable: [{ kind: "unreachable", address: "c", detail: "gone" }],
  });
  expect(asked.filter((address) => address === "a")).toHaveLength(1);
  expect(asked.filter((address) => address === "b")).toHaveLength(5);
});

test("after the timeout the routers that are behind are listed", async () => {
  const { asked, ...options } = createClient({ a: [4], b: [5] });
  const limits = { timeoutMs: 1, intervalMs: 1 };
  expect(await waitForRollout({ ...options, ...limits, version: 5 }))
    .toMatchObject({
      inForce: ["name-b"],
      behind: [{ name: "name-a", version: 4 }],
    });
  expect(asked).toEqual(["a", "b"]);
});
