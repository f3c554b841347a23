import { Scrape } from "./fleet_metrics.ts";

describe("Scrape", () => {
  test("parses samples with and without labels", () => {
    const scrape = new Scrape(
      [
        "# HELP a_total Text.",
        'a_total{kind="peer",direction="in"} 3',
        'a_total{kind="poll",direction="in"} 4.5',
        "b 2",
        "",
      ].join("\n"),
    );
    expect(scrape.sum("a_total")).toBe(7.5);
    expect(scrape.sum("a_total", { kind: "peer" })).toBe(3);
    expect(scrape.find("b")).toEqual([{ name: "b", labels: {}, value: 2 }]);
    expect(scrape.sum("c")).toBe(0);
  });
});
