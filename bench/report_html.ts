/** Renders the report of a measurement as one HTML page with plots. */
import type { SecondCounts } from "./load/report.ts";
import type { DeploymentResult, MeasureResult } from "./measure_result.ts";
import type { Schedule } from "./measure_phases.ts";
import type { RunFigures } from "./measure_run.ts";
import {
  type Band,
  escapeMarkup,
  renderBarPlot,
  renderLinePlot,
  type Series,
} from "./report_svg.ts";
import { createVerdictRows } from "./report_table.ts";

const STYLE = "body{font-family:sans-serif;max-width:60em;margin:2em auto}" +
  "td,th{padding:.15em .8em;text-align:left}svg{display:block;margin:1em 0}" +
  ".FAIL{color:#b3202c;font-weight:bold}";
const MS_PER_SECOND = 1_000;
/** Requests in flight per engine below which max/mean says little. */
const MIN_MEAN_LOAD = 2;

/** Returns the HTML page for a measurement. */
export function renderReport(result: MeasureResult): string {
  const sections = result.deployments.map((each) =>
    renderDeployment(each, result.schedule)
  );
  return `<!doctype html>\n<html lang="en"><meta charset="utf-8">` +
    `<title>corianderflow: measures</title><style>${STYLE}</style>` +
    `<h1>Measures</h1><p>Seed ${result.seed}. ${escapeMarkup(result.note)}` +
    `</p>\n${sections.join("\n")}</html>\n`;
}

function renderDeployment(
  { deployment, fleet, baselines, verdicts }: DeploymentResult,
  schedule: Schedule,
): string {
  const runs = [fleet, ...baselines];
  const bands = createBands(schedule);
  const bytes = Object.entries(fleet.control.steady.payloadByKind);
  return `<h2>${deployment}</h2>` +
    renderHtmlTable(createVerdictRows(verdicts)) +
    renderBarPlot({
      title: "Cache reuse of returning chats, steady",
      unit: "",
      bars: runs.map((run) => ({ label: run.router, value: run.steady.reuse })),
    }) +
    renderBarPlot({
      title: "Cache reuse of returning chats, churn",
      unit: "",
      bars: runs.map((run) => ({ label: run.router, value: run.churn.reuse })),
    }) +
    renderLinePlot({
      title: "Cache reuse by second",
      xLabel: "s",
      yLabel: "cached / served before",
      series: runs.map((run) => createReuseSeries(run)),
      bands,
    }) +
    renderLinePlot({
      title: "Load skew, engine samples",
      xLabel: "s",
      yLabel: "max / mean",
      series: runs.map((run) => createSkewSeries(run)),
      bands,
    }) +
    renderLinePlot({
      title: "Chats through the fleet by second",
      xLabel: "s",
      yLabel: "requests/s",
      series: createOutcomeSeries(fleet.load.timeline),
      bands,
    }) +
    renderBarPlot({
      title: "First token p99, steady",
      unit: "ms",
      bars: runs.map(({ router, steady }) => ({
        label: router,
        value: steady.firstTokenMs.p99,
      })),
    }) +
    renderBarPlot({
      title: "Control payload of a router by kind, steady",
      unit: "B/s",
      bars: [
        ...bytes.map(([label, value]) => ({ label, value })),
        { label: "packet heads", value: fleet.control.steady.packetHeads },
        { label: "on the wire", value: fleet.control.steady.onWire },
      ],
    });
}

function renderHtmlTable(
  [head, ...rows]: readonly (readonly string[])[],
): string {
  const render = (tag: string, cells: readonly string[]) =>
    `<tr>${
      cells.map((cell) =>
        `<${tag} class="${escapeMarkup(cell)}">${escapeMarkup(cell)}</${tag}>`
      ).join("")
    }</tr>`;
  const body = rows.map((row) => render("td", row)).join("\n");
  return `<table>${render("th", head ?? [])}\n${body}</table>\n`;
}

function createBands({ steady, domain }: Schedule): Band[] {
  return [
    { name: "steady", ...steady },

    { name: "domain", ...domain },
  ];
}

function createReuseSeries({ router, load }: RunFigures): Series {
  const points = load.timeline.filter(({ prefixTokens }) => prefixTokens > 0)
    .map(({ second, prefixTokens, cachedTokens }) =>
      [second, cachedTokens / prefixTokens] as const
    );
  return { name: router, points };
}

function createSkewSeries({ router, skewSamples }: RunFigures): Series {
  const bySecond = new Map<number, number>();
  for (const { atMs, max, mean } of skewSamples) {
    if (mean < MIN_MEAN_LOAD) continue;
    const second = Math.floor(atMs / MS_PER_SECOND);
    bySecond.set(second, Math.max(bySecond.get(second) ?? 0, max / mean));
  }
  return { name: router, points: [...bySecond] };
}

function createOutcomeSeries(timeline: readonly SecondCounts[]): Series[] {
  const kinds = ["sent", "whole", "refused", "broken"] as const;
  return kinds.map((name) => ({
    name,
    points: timeline.map((each) => [each.second, each[name]] as const),
  }));
}
