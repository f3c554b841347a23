import * as fc from "fast-check";
import { createChatDirectory } from "./chat_directory.ts";

const BYTES_PER_CHAT_BOUND = 64;

function hashOf(index: number) {
  return {
    hi: Math.imul(index + 1, 0x85EBCA6B) >>> 0,
    lo: Math.imul(index + 1, 0xC2B2AE35) >>> 0,
  };
}

function fill(chats: number, capacity = 1_000_000) {
  const directory = createChatDirectory({ capacity });
  for (let index = 0; index < chats; index++) {
    directory.set(hashOf(index), { upstream: 1, tokens: 9, usedAt: index });
  }
  return directory;
}

test.each([11_000, 100_000])(
  "%i chats stay under the memory bound",
  (chats) => {
    const directory = fill(chats);
    expect(directory.size).toBe(chats);
    expect(directory.bytes / chats).toMatchSnapshot();
    expect(directory.bytes / chats).toBeLessThan(BYTES_PER_CHAT_BOUND);
  },
);

test("the memory bound holds right after each doubling", () => {
  const directory = createChatDirectory();
  let worst = 0;
  for (let index = 0; index < 200_000; index++) {
    directory.set(hashOf(index), { upstream: 0, tokens: 1, usedAt: 1 });
    if (index > 64) worst = Math.max(worst, directory.bytes / directory.size);
  }
  expect(worst).toBeLessThan(BYTES_PER_CHAT_BOUND);
});

test("eviction enforces the capacity and keeps recent chats", () => {
  const directory = fill(20_000, 10_000);
  expect(directory.size).toBe(10_000);
  let recent = 0;
  for (let index = 15_000; index < 20_000; index++) {
    if (directory.get(hashOf(index)) !== undefined) recent++;
  }
  expect(recent).toBeGreaterThan(4_500);
});

test("a reused epoch number makes no stale chat live again", () => {
  const directory = fill(10);
  for (let round = 0; round < 65_536; round++) directory.deleteUpstreamChats(1);
  expect(directory.size).toBe(0);
  expect(directory.get(hashOf(3))).toBeUndefined();
});

test("behaves like a map", () => {
  const chat = fc.nat(40);
  const command = fc.oneof(
    fc.tuple(fc.constant("set"), chat, fc.nat(2)),
    fc.tuple(fc.constant("forget"), chat, fc.nat(2)),
    fc.tuple(fc.constant("forget-upstream"), chat, fc.nat(2)),
  );
  const run = (commands: [string, number, number][]) => {
    const directory = createChatDirectory();
    const model = new Map<number, number>();
    // Few distinct low halves, so that the probe sequences collide.
    const hash = (index: number) => ({ hi: index, lo: index % 3 });
    for (const [kind, index, upstream] of commands) {
      if (kind === "set") {
        directory.set(hash(index), { upstream, tokens: index, usedAt: 5 });
        model.set(index, upstream);
      } else if (kind === "forget") {
        expect(directory.deleteChat(hash(index))).toBe(model.delete(index));
      } else {
        directory.deleteUpstreamChats(upstream);
        for (const [key, at] of model) if (at === upstream) model.delete(key);
      }
      expect(directory.size).toBe(model.size);
    }
    for (let index = 0; index <= 40; index++) {
      expect(directory.get(hash(index))?.upstream).toBe(model.get(index));
    }
  };
  fc.assert(
    fc.property(fc.array(command, { maxLength: 200 }), run),
    { seed: 11, numRuns: 500 },
  );
});
