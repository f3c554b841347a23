/** Versions of more services than one page of the store holds. */
import { MetadataStoreServer } from "../../testing/metadata_store.ts";
import { createMetadataStore } from "./metadata_store.ts";
import { KEYS } from "./names.ts";

const SERVICES = 700;

// Guards against a confirmed view that lacks a version since its service is on a
// later page, so that another counts as the sole one (ORDER).
test("the versions of all services are read", async () => {
  const server = await new MetadataStoreServer().open();
  const store = createMetadataStore({
    address: server.address,
    now: () => ({ steady: performance.now(), wall: Date.now() }),
  });
  for (let each = 0; each < SERVICES; each++) {
    server.put(`${KEYS.versions}service-${each}`, {
      versions: [{ version: "v1" }],
    });
  }
  const { records } = (await store.readVersions()).unwrap();
  await store.close();
  await server.close();
  expect(records).toHaveLength(SERVICES);
});
