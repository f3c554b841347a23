/** Renders line plots and bar plots as SVG. */

/** One line of a line plot. */
export interface Series {
  readonly name: string;
  readonly points: readonly (readonly [x: number, y: number])[];
}

/** A shaded range of the x axis. */
export interface Band {
  readonly name: string;
  readonly from: number;
  readonly to: number;
}

/** A plot of lines with shared axes. */
export interface LinePlot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
  readonly bands?: readonly Band[];
}

/** One bar of a bar plot. */
export interface Bar {
  readonly label: string;
  readonly value: number;
}

/** A plot of horizontal bars. */
export interface BarPlot {
  readonly title: string;
  readonly unit: string;
  readonly bars: readonly Bar[];
  /** Value at which a vertical line is drawn; no line if absent. */
  readonly target?: number;
}

interface Scale {
  readonly max: number;
  toX(value: number): number;
  toY(value: number): number;
}

const WIDTH = 720;
const HEIGHT = 260;
const MARGIN = { left: 60, right: 130, top: 30, bottom: 36 };
const BAR_HEIGHT = 18;
const BAR_GAP = 6;
const LABEL_WIDTH = 170;
const TICKS = 4;
const COLOURS = [
  "#1f5fa8",
  "#c2561a",
  "#2c8a4b",
  "#8a3fa0",
  "#777777",
  "#b59a00",
  "#b3202c",
  "#00838f",
];

/** Renders lines on axes that start at 0. */
export function renderLinePlot(plot: LinePlot): string {
  const scale = createScale(plot.series);
  const parts = [
    ...(plot.bands ?? []).map((band) => renderBand(band, scale)),
    ...renderAxes(plot, scale),
    ...plot.series.map((series, index) => renderSeries(series, scale, index)),
  ];
  return renderSvg(plot.title, HEIGHT, parts);
}

/** Renders horizontal bars on an axis that starts at 0. */
export function renderBarPlot({ title, unit, bars, target }: BarPlot): string {
  const max = Math.max(target ?? 0, ...bars.map(({ value }) => value)) || 1;
  const width = WIDTH - LABEL_WIDTH - MARGIN.right;
  const step = BAR_HEIGHT + BAR_GAP;
  const parts = bars.map(({ label, value }, index) => {
    const y = MARGIN.top + index * step;
    const length = Math.max(0, width * value / max);
    const baseline = y + BAR_HEIGHT - 5;
    return renderText(LABEL_WIDTH - 6, baseline, {
      text: label,
      anchor: "end",
    }) +
      `<rect x="${LABEL_WIDTH}" y="${y}" width="${roundToTenth(length)}" ` +
      `height="${BAR_HEIGHT}" fill="${COLOURS[index % COLOURS.length]}"/>` +
      renderText(LABEL_WIDTH + length + 6, baseline, {
        text: `${formatTick(value)} ${unit}`.trim(),
      });
  });
  const bottom = MARGIN.top + bars.length * step;
  if (target !== undefined) {
    const x = roundToTenth(LABEL_WIDTH + width * target / max);
    parts.push(
      `<line x1="${x}" x2="${x}" y1="${MARGIN.top - 4}" y2="${bottom}" ` +
        `stroke="#000" stroke-dasharray="4 3"/>`,
    );
  }
  return renderSvg(title, bottom + BAR_GAP, parts);
}

/** Escapes the characters that are special in HTML and SVG. */
export function escapeMarkup(value: string): string {
  return value.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

function createScale(series: readonly Series[]): Scale {
  const points = series.flatMap(({ points }) => points);
  const maxX = Math.max(0, ...points.map(([x]) => x)) || 1;
  const max = Math.max(0, ...points.map(([, y]) => y)) || 1;
  const width = WIDTH - MARGIN.left - MARGIN.right;
  const height = HEIGHT - MARGIN.top - MARGIN.bottom;
  return {
    max,
    toX: (value) => roundToTenth(MARGIN.left + width * value / maxX),
    toY: (value) => roundToTenth(MARGIN.top + height * (1 - value / max)),
  };
}

function renderAxes(
  { xLabel, yLabel }: LinePlot,
  { max, toY }: Scale,
): string[] {
  const right = WIDTH - MARGIN.right;
  const ticks = Array.from({ length: TICKS + 1 }, (_, index) => {
    const value = max * index / TICKS;
    const y = toY(value);
    return `<line x1="${MARGIN.left}" x2="${right}" y1="${y}" y2="${y}" ` +
      `stroke="#ddd"/>` +
      renderText(MARGIN.left - 6, y + 4, {
        text: formatTick(value),
        anchor: "end",
      });
  });
  return [
    ...ticks,
    renderText(right, HEIGHT - 8, { text: xLabel, anchor: "end" }),
    renderText(4, HEIGHT - 8, { text: yLabel }),
  ];
}

function renderSeries(
  { name, points }: Series,
  { toX, toY }: Scale,
  index: number,
): string {
  const colour = COLOURS[index % COLOURS.length];
  const path = points.map(([x, y]) => `${toX(x)},${toY(y)}`).join(" ");
  const y = MARGIN.top + 14 * index + 8;
  return `<polyline points="${path}" fill="none" stroke="${colour}" ` +
    `stroke-width="1.5"/>` +
    renderText(WIDTH - MARGIN.right + 8, y, { text: name, colour });
}

function renderBand({ name, from, to }: Band, { toX }: Scale): string {
  const x = toX(from);
  const height = HEIGHT - MARGIN.top - MARGIN.bottom;
  return `<rect x="${x}" y="${MARGIN.top}" width="${
    roundToTenth(toX(to) - x)
  }" ` +
    `height="${height}" fill="#f2f2f2"/>` +
    renderText(x + 3, MARGIN.top + 11, { text: name, colour: "#888" });
}

function renderText(
  x: number,
  y: number,
  { text: value, anchor = "start", colour = "#222" }: {
    text: string;
    anchor?: "start" | "end";
    colour?: string;
  },
): string {
  return `<text x="${roundToTenth(x)}" y="${
    roundToTenth(y)
  }" text-anchor="${anchor}" ` +
    `fill="${colour}">${escapeMarkup(value)}</text>`;
}

function renderSvg(
  title: string,
  height: number,
  parts: readonly string[],
): string {
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="11">\n` +
    `<text x="4" y="16" font-size="13">${escapeMarkup(title)}</text>\n` +
    `${parts.join("\n")}\n</svg>`;
}

function formatTick(value: number): string {
  if (value === 0) return "0";
  return value >= 100 ? String(Math.round(value)) : value.toPrecision(2);
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
