import type { StoreChange } from "../routing/types.ts";
import { StateRoom } from "./state_room.ts";

function createEntry(id: string, service: string): StoreChange {
  return {
    kind: "upstream",
    entry: {
      id,
      service,
      address: "10.0.0.1:80",
      failureDomain: "east",
      slots: 4,
      state: "ready",
      coldLeftMs: 0,
      bornAt: 1,
    },
  };
}

function createRoom(): StateRoom {
  return new StateRoom({
    isNeeded: (change) =>
      change.kind === "upstream" && change.entry.service === "svc",
    maxNeeded: 3,
    maxOthers: 2,
  });
}

// Guards against needed items that lose their room to those of other programs.
test("many items that are not needed leave the room of the others", () => {
  const room = createRoom();
  const others = Array.from(
    { length: 50_000 },
    (_, index) => room.hold(createEntry(`other-${index}`, "other")),
  );
  expect(others.filter((each) => each === "held")).toHaveLength(2);
  expect(others.at(-1)).toBe("left-out");
  const needed = [1, 2, 3, 4].map((index) =>
    room.hold(createEntry(`up-${index}`, "svc"))
  );
  expect(needed).toEqual(["held", "held", "held", "exceeded"]);
});

// Guards against heartbeats that use up the room, and items that are gone that
// keep it.
test("an item that is written again or gone takes no more room", () => {
  const room = createRoom();
  for (let beat = 0; beat < 10; beat++) {
    expect(room.hold(createEntry("up-1", "svc"))).toBe("held");
  }
  for (const id of ["up-2", "up-3"]) room.hold(createEntry(id, "svc"));
  expect(room.hold(createEntry("up-4", "svc"))).toBe("exceeded");
  room.hold({ kind: "upstream-gone", id: "up-1" });
  expect(room.hold(createEntry("up-4", "svc"))).toBe("held");
});
