import { createHostListServer } from "../../testing/host_list_server.ts";
import { createKeyValueServer } from "../../testing/kv_server.ts";
import { createHttpHostList } from "./host_list.ts";

test("a change becomes visible after the lag", async () => {
  let now = 0;
  const server = await createHostListServer({
    hosts: ["h1", "h2"],
    lagMs: 100,
    now: () => now,
  });
  const list = createHttpHostList({ address: server.address });
  const before = (await list.read()).unwrap();
  expect(before).toEqual([
    { name: "h1", state: "live" },
    { name: "h2", state: "live" },
  ]);
  await fetch(`http://${server.address}/hosts/h1`, {
    method: "PUT",
    body: JSON.stringify({ state: "leaving" }),
  });
  await fetch(`http://${server.address}/hosts/h2`, { method: "DELETE" });
  now = 99;
  expect((await list.read()).unwrap()).toEqual(before);
  now = 100;
  expect((await list.read()).unwrap())
    .toEqual([{ name: "h1", state: "leaving" }]);
  await server.close();
  expect((await list.read()).val).toMatchObject({ kind: "unavailable" });
  await list.close();
});

test("a service without a host list fails with refused", async () => {
  const server = await createKeyValueServer();
  const list = createHttpHostList({ address: server.address });
  expect((await list.read()).val).toMatchObject({ kind: "refused" });
  await list.close();
  await server.close();
});
