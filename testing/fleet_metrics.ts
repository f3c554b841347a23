/** Reads the text that a router's `/metrics` answers with. */

/** One sample of a metric. */
export interface Sample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const SAMPLE = /^([A-Za-z_:][\w:]*)(?:\{(.*)\})? (\S+)/;
const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/** The samples of one scrape. */
export class Scrape {
  readonly samples: readonly Sample[];

  constructor(text: string) {
    this.samples = text.split("\n").flatMap(parseLine);
  }

  /** Sum of the samples of `name` that have `labels`; 0 without any. */
  sum(name: string, labels: Readonly<Record<string, string>> = {}): number {
    return this.find(name, labels)
      .reduce((sum, { value }) => sum + value, 0);
  }

  /** The samples of `name` that have `labels`. */
  find(
    name: string,
    labels: Readonly<Record<string, string>> = {},
  ): readonly Sample[] {
    const wanted = Object.entries(labels);
    return this.samples.filter((sample) =>
      sample.name === name &&
      wanted.every(([label, value]) => sample.labels[label] === value)
    );
  }
}

function parseLine(line: string): Sample[] {
  const match = SAMPLE.exec(line);
  if (match === null) return [];
  const [, name, list = "", value] = match;
  const labels = [...list.matchAll(LABEL)]
    .map(([, label, text]) => [label, text] as const);
  return [{
    name: name!,
    labels: Object.fromEntries(labels),
    value: Number(value),
  }];
}
