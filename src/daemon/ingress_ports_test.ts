import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import { parseAddress } from "../transport/address.ts";
import { findListenAddresses, LocalIngress } from "./testing/local_ingress.ts";

const OTHER_ROUTERS = 4;

let fleet: LocalIngress;

afterEach(() => fleet.close());

// Guards against a router without its peers port keeping callers from answers.
test("a router of a fleet whose peers port is taken serves and learns of changes", async () => {
  fleet = await new LocalIngress().start({ bounds: { graceS: 1 } });
  for (let other = 0; other < OTHER_ROUTERS; other++) {
    await fleet.addRouter({ name: `other-${other}` });
  }
  const listen = await findListenAddresses();
  const { host, port } = parseAddress(listen.peers);
  const server = createServer((socket) => socket.destroy());
  server.listen(port, host);
  const socket = createSocket("udp4").bind(port, host);
  await Promise.all([once(server, "listening"), once(socket, "listening")]);
  const router = await fleet.addRouter({ name: "without-peers", listen });
  for (let request = 0; request < 20; request++) {
    const answer = await fleet.ask({ id: `a-${request}`, router });
    expect(answer.status).toBe(200);
  }
  fleet.putConfiguration({ keys: ["new-key"] });
  // Each router learns of the key in its own time.
  for (const each of [router, fleet.settings]) {
    let status = 0;
    while (status !== 200) {
      status = (await fleet.ask({ key: "new-key", router: each })).status;
    }
  }
  server.close();
  socket.close();
  await fleet.untilLogged({
    message: "daemon: An address that was taken is bound.",
    router: "without-peers",
  });
});
