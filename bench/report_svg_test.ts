import { renderBarPlot, renderLinePlot } from "./report_svg.ts";
import { formatNumber, renderTable } from "./report_table.ts";

describe("plots", () => {
  test("draw lines over bands", () => {
    expect(renderLinePlot({
      title: "a < b",
      xLabel: "s",
      yLabel: "ratio",
      series: [{ name: "x & y", points: [[0, 0], [2, 1]] }],
      bands: [{ name: "out", from: 1, to: 2 }],
    })).toMatchSnapshot();
  });

  test("draw bars and a line at the target", () => {
    const bars = [{ label: "one", value: 1 }, { label: "two", value: 0 }];
    const plot = { title: "bars", unit: "ms", bars, target: 2 };
    expect(renderBarPlot(plot)).toMatchSnapshot();
  });
});

describe("tables", () => {
  test("align their columns", () => {
    const rows = [["figure", "value"], ["a", formatNumber(0.12345)]];
    expect(renderTable(rows)).toBe("figure  value\na       0.123");
  });
});
