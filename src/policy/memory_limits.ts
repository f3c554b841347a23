/**
 * Derives how much a router may hold for others from the memory that its host
 * grants the process, and from the limit of V8's heap.
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

/**
 * Bytes on the heap of one header or trailer field beside its text: while undici
 * parses it, two Buffers and their places in a list (213 in
 * Node 20 on 64 bits), then a property of an object and its strings (up to 187).
 * Both exist at the end of a head.
 */
export const HEAP_BYTES_PER_FIELD = 400;
/**
 * Size of the fields of a message that need not be counted, which spares most
 * messages the holding: 20 fields, less than the rest of a request in flight.
 */
export const UNCOUNTED_FIELD_BYTES = 20 * HEAP_BYTES_PER_FIELD;
/**
 * Bytes on the heap of one field that Node's server has parsed: two short strings
 * and their places in a list, which it makes for each batch of fields.
 */
const SERVER_BYTES_PER_FIELD = 66;
/** Fields that Node's server parses before it checks their number. */
export const SERVER_BATCH_FIELDS = 32;
/** Servers that each accept the configured number of connections. */
const SERVERS = 2;
/**
 * Share of the heap for fields that are counted in the budget. With the share
 * below, it leaves two fifths for the program, its view of the store and requests
 * in flight.
 */
const COUNTED_HEAP_SHARE = 1 / 6;
/**
 * Share of the heap for the heads and trailers of requests that have not been
 * received whole, of which Node tells nothing until then.
 */
const UNFINISHED_HEAP_SHARE = 2 / 5;
/** Fields that requests may have in any case: a few times the usual number. */
const MIN_REQUEST_FIELDS = 64;
/** Node's own limit, above which it drops fields. */
const MAX_REQUEST_FIELDS = 1_000;

/** Returns the limit of all parsed fields that are counted, in bytes. */
export function getFieldBytesLimit(heapLimitBytes: number): number {
  return Math.floor(heapLimitBytes * COUNTED_HEAP_SHARE);
}

/**
 * Returns how many header fields a request may have, so that the unfinished heads
 * of `maxConnections` connections to each server fit into the heap.
 */
export function getMaxRequestFields(
  heapLimitBytes: number,
  maxConnections: number,
): number {
  const bytes = heapLimitBytes * UNFINISHED_HEAP_SHARE;
  const perConnection = bytes / (maxConnections * SERVERS);
  const fields = Math.floor(perConnection / SERVER_BYTES_PER_FIELD) -
    SERVER_BATCH_FIELDS;
  return Math.min(MAX_REQUEST_FIELDS, Math.max(MIN_REQUEST_FIELDS, fields));
}
