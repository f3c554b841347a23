/**
 * Control traffic, processor time and memory of the routers over a window.
 *
 * The routers count payload bytes with HTTP heads. Packet heads are added by
 * rule: each message is one segment with an acknowledgement of its own, both
 * with 66 bytes of Ethernet, IP and TCP heads. Acknowledgements that ride on
 * data make the true figure smaller.
 */
import { performance } from "node:perf_hooks";
import type { Fleet } from "../testing/fleet.ts";
import { findChild, type ProcessUse, readUse } from "./measure_processes.ts";

/** Control bytes a second of one router, on average over the routers. */
export interface ControlFigures {
  readonly seconds: number;
  /** Payload bytes a second by kind, in both directions. */
  readonly payloadByKind: Readonly<Record<string, number>>;
  readonly payload: number;
  /** Packet heads by the rule of the module. */
  readonly packetHeads: number;
  /** Both together. */
  readonly onWire: number;
  /** The largest payload of one router. */
  readonly worstPayload: number;
  /** Calls a second at the key-value service from all routers. */
  readonly keyValueCalls: number;
}

/** What a router used in a window, on average over the routers. */
export interface UseFigures {
  readonly seconds: number;
  /** Processor seconds a second. */
  readonly coreShare: number;
  readonly worstCoreShare: number;
  readonly residentBytes: number;
  readonly worstResidentBytes: number;
}

/** Readings of every router at one moment. */
export interface Reading {
  readonly at: number;
  /** Bytes by kind and direction, by router. */
  readonly bytes: readonly Readonly<Record<string, number>>[];
  readonly uses: readonly ProcessUse[];
  readonly keyValueCalls: number;
}

const METRIC = "corianderflow_control_bytes_total";
const MS_PER_SECOND = 1_000;
const HEAD_BYTES = 66;
/** A message and its acknowledgement. */
const HEADS_PER_MESSAGE = 2;
const HEADS_PER_EXCHANGE = 2 * HEADS_PER_MESSAGE;
/** Payload of a poll's request, as the routers count it. */
const POLL_REQUEST_BYTES = 80;
const HOST_LIST_READS_PER_SECOND = 1;

/** Finds the processes of a fleet's routers. */
export function findRouters({ routers }: Fleet, directory: string): number[] {
  return routers.map(({ name }) => findChild(`${directory}/${name}.ini`));
}

/** Reads counters and use of every router. */
export async function readRouters(
  fleet: Fleet,
  pids: readonly number[],
): Promise<Reading> {
  const uses = pids.map(readUse);
  const at = performance.now();
  const scrapes = await Promise.all(fleet.routers.map((each) => each.scrape()));
  const { text } = await fleet.keyValue.call("/stats");
  const stats = JSON.parse(text) as Record<string, number>;
  return {
    at,
    uses,
    bytes: scrapes.map((scrape) =>
      Object.fromEntries(
        scrape.find(METRIC).map(({ labels, value }) => [
          `${labels["kind"]} ${labels["direction"]}`,
          value,
        ]),
      )
    ),
    keyValueCalls: Object.values(stats).reduce((sum, each) => sum + each, 0),
  };
}

/** Control traffic between two readings. */
export function getControl(
  start: Reading,
  end: Reading,
  { heartbeatMs }: { heartbeatMs: number },
): ControlFigures {
  const seconds = (end.at - start.at) / MS_PER_SECOND;
  const routers = end.bytes.length;
  const rates = end.bytes.map((bytes, index) =>
    getRates(bytes, start.bytes[index]!, seconds)
  );
  const payloads = rates.map((rate) => getSum(Object.values(rate)));
  const byKind = getMeanByKind(rates);
  const payload = getSum(payloads) / routers;
  const keyValueCalls = (end.keyValueCalls - start.keyValueCalls) / seconds;
  const heartbeats = 2 * (routers - 1) * MS_PER_SECOND / heartbeatMs;
  const polls = (byKind["poll out"] ?? 0) / POLL_REQUEST_BYTES;
  const exchanges = keyValueCalls / routers + HOST_LIST_READS_PER_SECOND +
    polls;
  const packetHeads = HEAD_BYTES *
    (heartbeats * HEADS_PER_MESSAGE + exchanges * HEADS_PER_EXCHANGE);
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

/** Processor time and memory between two readings. */
export function getUse(start: Reading, end: Reading): UseFigures {
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

/** Processor seconds of all routers between two readings. */
export function getCpuSeconds(start: Reading, end: Reading): number {
  return getSum(end.uses.map(({ cpuSeconds }) => cpuSeconds)) -
    getSum(start.uses.map(({ cpuSeconds }) => cpuSeconds));
}

function getRates(
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
