/**
 * Generators of what another writer may leave in a document: JSON texts with
 * values that no upstream, operator or router writes.
 */
import fc from "fast-check";

/** Each document is tried so often, with the seed below. */
export const FUZZ_RUNS = 3_000;
export const FUZZ_SEED = 37;

function nest(depth: number, [open, close] = ["[", "]"]): string {
  return open!.repeat(depth) + close!.repeat(depth);
}

/** Texts of JSON values, and of some that are not JSON. */
export const ODD_TOKENS: readonly string[] = [
  "null",
  "true",
  '""',
  "[]",
  "{}",
  "-0",
  "-1",
  "0.5",
  "1e300",
  "1e308",
  "1e400",
  "-1e400",
  "NaN",
  "Infinity",
  '"Infinity"',
  "9007199254740993",
  "99999999999999999999",
  "2147483648",
  '"10.0.0.1:0"',
  '"10.0.0.1:65536"',
  '"10.0.0.1:99999"',
  '"999.0.0.1:80"',
  '"10.0.0.256:80"',
  '"10.0.0.1:080"',
  '"010.0.0.1:80"',
  '"10.0.0.1:80\\n"',
  '"__proto__"',
  '"constructor"',
  '"a\\r\\nx-tenant: b"',
  '"\\u0000"',
  '"\\ud800"',
  '" v"',
  '"\\u00fc"',
  JSON.stringify("x".repeat(201)),
  JSON.stringify("x".repeat(100_000)),
  nest(31),
  nest(33),
  nest(1_000),
  nest(10_000),
  nest(100_000),
  nest(5_000, ['{"a":', "}"]).replace('"a":}', '"a":1}'),
  '{"__proto__":{"service":"svc"}}',
];

const ODD_TOKEN = fc.oneof(
  fc.constantFrom(...ODD_TOKENS),
  fc.json(),
  fc.double().map(String),
  fc.bigInt().map(String),
);

/**
 * Texts of `document` with one value at any depth replaced by an odd one, removed
 * or given twice.
 */
export function createOddTexts(document: object): fc.Arbitrary<string> {
  const paths = listPaths(document);
  return fc.tuple(
    fc.constantFrom(...paths),
    ODD_TOKEN,
    fc.constantFrom("replace", "remove", "repeat"),
  ).map(([path, token, change]) => {
    if (path.length === 0) return token;
    const marker = "\u0001marker";
    const text = JSON.stringify(
      set(document, path, change === "remove" ? undefined : marker),
    );
    const quoted = JSON.stringify(marker);
    if (change !== "repeat") return text.replace(quoted, () => token);
    const name = JSON.stringify(String(path.at(-1)));
    return text.replace(quoted, () => `1,${name}:${token}`);
  });
}

type Path = readonly (string | number)[];

/** Lists the paths of all values in a document, its own included. */
function listPaths(value: unknown): Path[] {
  if (typeof value !== "object" || value === null) return [[]];
  const inner = Object.entries(value).flatMap(([name, each]) =>
    listPaths(each).map((path) => [name, ...path])
  );
  return [[], ...inner];
}

/** Copies a document with another value at `path`. */
function set(value: unknown, [name, ...rest]: Path, odd: unknown): unknown {
  if (name === undefined) return odd;
  const copy = structuredClone(value) as Record<string, unknown>;
  copy[name] = set(copy[name], rest, odd);
  return copy;
}
