import type { MetadataStoreServer } from "../../testing/metadata_store.ts";
import { openStore, RouterProcess } from "./testing/router_process.ts";

let store: MetadataStoreServer;
let router: RouterProcess;

beforeAll(async () => {
  store = await openStore();
});

beforeEach(async () => {
  router = await new RouterProcess(store).prepare();
});

afterEach(() => router.close());

afterAll(() => store.close());

// Guards against a log collector that restarts ending the router.
test("a router whose log has no reader goes on serving and counts the lost lines", async () => {
  router.start();
  await router.untilReady();
  router.child.stdout!.destroy();
  router.child.stderr!.destroy();
  for (let request = 0; request < 5; request++) {
    expect(await router.getStatus("callers", "/none/")).toBe(404);
    router.child.kill("SIGHUP");
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  const metrics = `http://${router.addresses.metrics}/metrics`;
  await router.until(async () =>
    /^corianderflow_log_lines_dropped [1-9]/m.test(
      await (await fetch(metrics)).text(),
    )
  );
  router.child.kill("SIGTERM");
  expect(await router.untilExit()).toEqual([0, null]);
});
