/** Parses the Prometheus text format of a router's `/metrics`. */

/** One sample of a metric. */
export interface Sample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const SAMPLE_PATTERN = /^([A-Za-z_:][\w:]*)(?:\{(.*)\})? (\S+)/;
const LABEL_PATTERN = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/** The samples of one scrape. */
export class Scrape {
  readonly samples: readonly Sample[];

  constructor(text: string) {
    this.samples = text.split("\n").flatMap(parseLine);
  }

  /** Sums the samples of `name` with all of `labels`; 0 if there are none. */
  sum(name: string, labels: Readonly<Record<string, string>> = {}): number {
    return this.find(name, labels)
      .reduce((sum, { value }) => sum + value, 0);
  }

  /** Finds the samples of `name` with all of `labels`. */
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
  const match = SAMPLE_PATTERN.exec(line);
  if (match === null) return [];
  const [, name, labelList = "", value] = match;
  const labels = [...labelList.matchAll(LABEL_PATTERN)]
    .map(([, label, text]) => [label, text] as const);
  return [{
    name: name!,
    labels: Object.fromEntries(labels),
    value: Number(value),
  }];
}
