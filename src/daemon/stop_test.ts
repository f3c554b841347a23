import { once } from "node:events";
import { connect } from "node:net";
import { getExpectedEventStream } from "../../testing/answer.ts";
import { createChat, LocalFleet } from "./testing/local_fleet.ts";

const TOKENS = 300;

test(
  "a stop finishes requests in flight and closes incomplete ones",
  async () => {
    const fleet = await new LocalFleet().start({
      engines: 1,
      plainServices: 1,
    });
    const [router] = fleet.routers;
    const [host, port] = router!.callers.split(":");
    const idle = connect({ host: host!, port: Number(port) });
    const partial = connect({ host: host!, port: Number(port) });
    await Promise.all([once(idle, "connect"), once(partial, "connect")]);
    partial.write("POST /sheets HTTP/1.1\r\n");
    const streams = await Promise.all(
      ["a", "b"].map((content) =>
        fleet.openStream(content, { tokens: TOKENS })
      ),
    );
    const closed = [idle, partial].map((socket) => {
      socket.on("error", () => {});
      return once(socket, "close");
    });
    const stopped = router!.daemon.stop();
    const texts = await Promise.all(streams.map(({ text }) => text));
    expect(texts).toEqual(
      ["a", "b"].map((content) =>
        getExpectedEventStream(createChat(content, { tokens: TOKENS }))
      ),
    );
    await stopped;
    await Promise.all(closed);
    await fleet.close();
  },
  15_000,
);
