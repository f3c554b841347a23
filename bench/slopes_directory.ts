/** Measures memory and processor time of the chat directory by its size. */
import process from "node:process";
import { createChatDirectory } from "../src/policy/chat_directory.ts";
import { Random } from "./load/random.ts";

/** Cost of a directory that holds `chats` chats. */
export interface DirectoryPoint {
  readonly chats: number;
  readonly bytes: number;
  /** Processor time of writing and reading one chat, in microseconds. */
  readonly cpuUsPerChat: number;
}

const HASH_RANGE = { min: 0, max: 0xFFFF_FFFF };
const CHAT_COUNTS = [10_000, 50_000, 100_000, 300_000, 1_000_000];

/** Measures a directory of each size. */
export function measureDirectory(): DirectoryPoint[] {
  return CHAT_COUNTS.map(measureSize);
}

function measureSize(chats: number): DirectoryPoint {
  const random = new Random(chats);
  const hashes = Array.from({ length: chats }, () => ({
    hi: random.nextInteger(HASH_RANGE),
    lo: random.nextInteger(HASH_RANGE),
  }));
  const directory = createChatDirectory();
  const before = process.cpuUsage();
  for (const hash of hashes) {
    directory.set(hash, { upstream: 1, tokens: 1_000, usedAt: 1 });
  }
  for (const hash of hashes) directory.get(hash);
  const { user, system } = process.cpuUsage(before);
  return {
    chats,
    bytes: directory.bytes,
    cpuUsPerChat: (user + system) / chats,
  };
}
