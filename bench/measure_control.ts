/**
 * Measures control traffic, processor time and memory of the routers.
 *
 * The routers count payload bytes including HTTP headers. Packet headers are
 * estimated: each message is assumed to be one segment with a separate
 * acknowledgement, both with 66 bytes of Ethernet, IP and TCP headers.
 * Acknowledgements piggybacked on data make the actual figure smaller.
 */
import { performance } from "node:perf_hooks";
import type { Fleet } from "../testing/fleet.ts";
import {
  findChildPid,
  type ProcessUse,
  readProcessUse,
} from "./measure_processes.ts";

/** Control bytes per second of one router, averaged over the routers. */
export interface ControlFigures {
  readonly seconds: number;
  /** Payload bytes per second by kind and direction. */
  readonly payloadByKind: Readonly<Record<string, number>>;
  readonly payload: number;
  /** Estimated bytes per second of packet headers. */
  readonly packetHeads: number;
  /** Sum of `payload` and `packetHeads`. */
  readonly onWire: number;
  /** Largest payload of any router. */
  readonly worstPayload: number;
  /** Calls per second to the key-value service from all routers. */
  readonly keyValueCalls: number;
}

/** Processor time and memory of a router, averaged over the routers. */
export interface UseFigures {
  readonly seconds: number;
  /** Processor seconds per second. */
  readonly coreShare: number;
  readonly worstCoreShare: number;
  readonly residentBytes: number;
  readonly worstResidentBytes: number;
}

/** Counters and resource use of every router at one time. */
export interface Reading {
  readonly at: number;
  /** For each router, bytes by kind and direction. */
  readonly bytes: readonly Readonly<Record<string, number>>[];
  readonly uses: readonly ProcessUse[];
  readonly keyValueCalls: number;
}

const CONTROL_BYTES_METRIC = "corianderflow_control_bytes_total";
const MS_PER_SECOND = 1_000;
const HEADER_BYTES_PER_PACKET = 66;
/** One packet for the message and one for its acknowledgement. */
const PACKETS_PER_MESSAGE = 2;
const PACKETS_PER_EXCHANGE = 2 * PACKETS_PER_MESSAGE;
/** Payload of a poll's request, as counted by the routers. */
const POLL_REQUEST_BYTES = 80;
const HOST_LIST_READS_PER_SECOND = 1;

/** Returns the process ids of a fleet's routers. */
export function findRouterPids(
  { routers }: Fleet,
  directory: string,
): number[] {
  return routers.map(({ name }) => findChildPid(`${directory}/${name}.ini`));
}

/** Reads the counters and the resource use of every router. */
export async function readRouters(
  fleet: Fleet,
  pids: readonly number[],
): Promise<Reading> {
  const uses = pids.map(readProcessUse);
  const at = performance.now();
  const scrapes = await Promise.all(fleet.routers.map((each) => each.scrape()));
  const { text } = await fleet.keyValue.call("/stats");
  const stats = JSON.parse(text) as Record<string, number>;
  return {
    at,
    uses,
    bytes: scrapes.map((scrape) =>
      Object.fromEntries(
        scrape.find(CONTROL_BYTES_METRIC).map(({ labels, value }) => [
          `${labels["kind"]} ${labels["direction"]}`,
          value,
        ]),
      )
    ),
    keyValueCalls: Object.values(stats).reduce((sum, each) => sum + each, 0),
  };
}

/** Returns the control traffic between two readings. */
export function getControlTraffic(
  start: Reading,
  end: Reading,
  { heartbeatMs }: { heartbeatMs: number },
): ControlFigures {
  const seconds = (end.at - start.at) / MS_PER_SECOND;
  const routers = end.bytes.length;
  const rates = end.bytes.map((bytes, index) =>
    getRatesByKind(bytes, start.bytes[index]!, seconds)
  );
  const payloads = rates.map((rate) => getSum(Object.values(rate)));
  const byKind = getMeanByKind(rates);
  const payload = getSum(payloads) / routers;
  const keyValueCalls = (end.keyValueCalls - start.keyValueCalls) / seconds;
  const heartbeats = 2 * (routers - 1) * MS_PER_SECOND / heartbeatMs;
  const polls = (byKind["poll out"] ?? 0) / POLL_REQUEST_BYTES;
  const exchanges = keyValueCalls / routers + HOST_LIST_READS_PER_SECOND +
    polls;
  const packetHeads = HEADER_BYTES_PER_PACKET *
    (heartbeats * PACKETS_PER_MESSAGE + exchanges * PACKETS_PER_EXCHANGE);
  return {
    seconds,
    payloadByKind: byKind,
    payload,
    packetHeads,
    onWire: payload + packetHeads,
    worstPayload: Math.max(...payloads),
    keyValueCalls,
  };
}

/**
 * Returns the processor time between two readings and the memory at the second.
 */
export function getResourceUse(start: Reading, end: Reading): UseFigures {
  const seconds = (end.at - start.at) / MS_PER_SECOND;
  const shares = end.uses.map((use, index) =>
    (use.cpuSeconds - start.uses[index]!.cpuSeconds) / seconds
  );
  const resident = end.uses.map(({ residentBytes }) => residentBytes);
  return {
    seconds,
    coreShare: getSum(shares) / shares.length,
    worstCoreShare: Math.max(...shares),
    residentBytes: getSum(resident) / resident.length,
    worstResidentBytes: Math.max(...resident),
  };
}

/** Returns the processor seconds of all routers between two readings. */
export function getCpuSeconds(start: Reading, end: Reading): number {
  return getSum(end.uses.map(({ cpuSeconds }) => cpuSeconds)) -
    getSum(start.uses.map(({ cpuSeconds }) => cpuSeconds));
}

function getRatesByKind(
  end: Readonly<Record<string, number>>,
  start: Readonly<Record<string, number>>,
  seconds: number,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(end).map(([kind, value]) => [
      kind,
      (value - (start[kind] ?? 0)) / seconds,
    ]),
  );
}

function getMeanByKind(
  rates: readonly Readonly<Record<string, number>>[],
): Record<string, number> {
  const mean: Record<string, number> = {};
  for (const rate of rates) {
    for (const [kind, value] of Object.entries(rate)) {
      mean[kind] = (mean[kind] ?? 0) + value / rates.length;
    }
  }
  return mean;
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
