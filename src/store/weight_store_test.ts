import { createWeightStoreServer } from "../../testing/weight_store_server.ts";
import { createHttpWeightStore } from "./weight_store.ts";

test("fetches over the limit are refused until the limit allows more", async () => {
  let now = 0;
  const server = await createWeightStoreServer({
    fetchesPerMinute: 2,
    now: () => now,
  });
  const store = createHttpWeightStore({ address: server.address });
  expect((await store.getFetchRateLimit()).unwrap()).toEqual({
    fetchesPerMinute: 2,
  });
  const first = (await store.getWeightsMetadata("glaze/7b", "v1")).unwrap();
  expect(first).toEqual({
    digest: expect.stringMatching(/^sha256:[0-9a-f]{64}$/),
    sizeBytes: 1_000_000,
    bytesPerSecond: 10_000_000,
  });
  const second = (await store.getWeightsMetadata("glaze/7b", "v2")).unwrap();
  expect(second.digest).not.toBe(first.digest);
  expect((await store.getWeightsMetadata("glaze/7b", "v1")).val)
    .toMatchObject({ kind: "refused" });
  now = 30_000;
  expect((await store.getWeightsMetadata("glaze/7b", "v1")).unwrap()).toEqual(
    first,
  );
  expect(server.getStats()).toEqual({ fetches: 3, refused: 1 });
  await store.close();
  await server.close();
});
