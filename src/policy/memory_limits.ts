/**
 * Derives how much a router may hold for others from the memory that its host
 * grants the process.
 */

/**
 * What the process itself needs, in MB: Node and the bundle, V8's heap up to
 * the limit of the run command in deploy/system.toml, and the buffers of its
 * connections.
 */
const OWN_MEMORY_MB = 180;
/**
 * Share of the rest that is held for others. Buffers that are no longer used
 * stay until the next garbage collection, and the kernel counts bytes that have
 * not been read.
 */
const HELD_SHARE = 0.6;
/** Room for the largest answer, its copy, and others beside it. */
const MIN_HELD_BYTES = 41_943_040;
const BYTES_PER_MB = 1_048_576;

/** Returns the limit of all holdings for a process with `memoryMb` MB. */
export function getHeldBytesLimit(memoryMb: number): number {
  const heldBytes = (memoryMb - OWN_MEMORY_MB) * HELD_SHARE * BYTES_PER_MB;
  return Math.max(MIN_HELD_BYTES, Math.floor(heldBytes));
}
