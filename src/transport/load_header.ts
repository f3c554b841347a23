/**
 * Parses load reports: the `x-load` and `x-incarnation` headers of an
 * upstream's response, and the response to a load poll.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport } from "../types.ts";

const MAX_AGE_MS = 3_600_000;

function parseFields(text: string): Map<string, number> {
  const fields = new Map<string, number>();
  for (const part of text.split(";")) {
    const [name = "", value = ""] = part.split("=", 2);
    const number = Number(value);
    if (value !== "" && Number.isFinite(number)) {
      fields.set(name.trim(), number);
    }
  }
  return fields;
}

/** Parses the load report in response headers; undefined if none is valid. */
export function parseLoadHeaders(
  headers: IncomingHttpHeaders,
): LoadReport | undefined {
  const text = headers["x-load"];
  const incarnation = headers["x-incarnation"];
  if (typeof text !== "string") return undefined;
  if (typeof incarnation !== "string") return undefined;
  const fields = parseFields(text);
  const inFlight = fields.get("in-flight");
  const ageMs = fields.get("age-ms");
  if (inFlight === undefined || ageMs === undefined) return undefined;
  if (inFlight < 0 || ageMs < 0 || ageMs > MAX_AGE_MS) return undefined;
  return {
    incarnation,
    inFlight: Math.trunc(inFlight),
    cold: fields.get("cold") === 1,
    leaving: fields.get("leaving") === 1,
    ageMs,
  };
}

/** Parses the JSON response to a load poll; undefined if it is malformed. */
export function parseLoadBody(document: unknown): LoadReport | undefined {
  if (typeof document !== "object" || document === null) return undefined;
  const report = document as Partial<Record<keyof LoadReport, unknown>>;
  if (typeof report.incarnation !== "string") return undefined;
  if (!Number.isInteger(report.inFlight)) return undefined;
  if (typeof report.ageMs !== "number" || report.ageMs < 0) return undefined;
  return {
    incarnation: report.incarnation,
    inFlight: report.inFlight as number,
    cold: report.cold === true,
    leaving: report.leaving === true,
    ageMs: report.ageMs,
  };
}
