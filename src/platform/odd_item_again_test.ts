/** Items of the store that were unreadable before. */
import { MetadataStoreServer } from "../../testing/metadata_store.ts";
import { createMetadataStore } from "./metadata_store.ts";

const ENTRY = {
  service: "svc",
  address: "10.0.0.1:80",
  zone: "east",
  version: "v1",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  seq: 1,
  born: 5,
};

// Guards against a router that learned a sound entry from a relay, and keeps it
// when its own read of the store finds the item as odd as long ago.
test("an entry that is odd again is gone again", async () => {
  const server = await new MetadataStoreServer().open();
  const store = createMetadataStore({
    address: server.address,
    now: () => ({ steady: performance.now(), wall: Date.now() }),
  });
  server.put("servers/odd", { ...ENTRY, slots: -1 });
  await store.readAll();
  // Passed on by a relay, and not read here.
  server.put("servers/odd", ENTRY);
  const { revision } = await readRevision();
  server.put("servers/odd", { ...ENTRY, slots: -1 });
  const polled = (await store.poll(revision)).unwrap();
  await store.close();
  await server.close();
  expect(polled).toMatchObject({
    changes: expect.arrayContaining([{ kind: "upstream-gone", id: "odd" }]),
  });
  async function readRevision() {
    return (await store.readVersions()).unwrap();
  }
});
