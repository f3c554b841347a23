/**
 * Exact tests of proportions, for small counts of rare responses.
 *
 * Load pattern: a target gets few responses, of which nearly none are bad. The
 * normal approximation of the two-proportion test is far off there: it gives
 * 8 of 100 against a rate of 0.02 a chance of 1 in 100,000 in place of 1 in
 * 1,100.
 */

/** Responses, and those of them that have a property. */
export interface Sample {
  readonly count: number;
  readonly hits: number;
}

/** Relative size of a term below which the rest of a sum is left out. */
const NEGLIGIBLE = 1e-12;

/**
 * Returns the probability of at least `sample.hits` hits if both samples have the
 * same rate, given their sum: Fisher's exact test, one-sided.
 */
export function getExcessChance(sample: Sample, other: Sample): number {
  const { count, hits } = sample;
  const total = count + other.count;
  const totalHits = hits + other.hits;
  if (hits * total <= totalHits * count) return 1;
  const logTerm = logChoose(count, hits) +
    logChoose(other.count, other.hits) - logChoose(total, totalHits);
  const last = Math.min(count, totalHits);
  return sumTerms(logTerm, {
    terms: last - hits,
    // Ratio of the probabilities of `each` + 1 and `each` hits.
    getRatio: (step) => {
      const each = hits + step;
      return (count - each) / (each + 1) * (totalHits - each) /
        (other.count - totalHits + each + 1);
    },
  });
}

/** Returns the probability of at least `sample.hits` hits at `rate`. */
export function getUpperTail({ count, hits }: Sample, rate: number): number {
  if (hits <= count * rate) return 1;
  return sumTerms(getLogBinomial({ count, hits }, rate), {
    terms: count - hits,
    getRatio: (step) =>
      (count - hits - step) / (hits + step + 1) * rate / (1 - rate),
  });
}

/** Returns the probability of at most `sample.hits` hits at `rate`. */
export function getLowerTail({ count, hits }: Sample, rate: number): number {
  if (hits >= count * rate) return 1;
  return sumTerms(getLogBinomial({ count, hits }, rate), {
    terms: hits,
    getRatio: (step) =>
      (hits - step) / (count - hits + step + 1) * (1 - rate) / rate,
  });
}

function getLogBinomial({ count, hits }: Sample, rate: number): number {
  return logChoose(count, hits) + hits * Math.log(rate) +
    (count - hits) * Math.log1p(-rate);
}

/** Sums decreasing terms, each the one before times a ratio. */
function sumTerms(
  logFirst: number,
  { terms, getRatio }: {
    terms: number;
    getRatio: (step: number) => number;
  },
): number {
  let sum = 1;
  let term = 1;
  for (let step = 0; step < terms && term > NEGLIGIBLE; step++) {
    term *= getRatio(step);
    sum += term;
  }
  return Math.exp(logFirst) * sum;
}

function logChoose(count: number, hits: number): number {
  return logFactorial(count) - logFactorial(hits) - logFactorial(count - hits);
}

/** Stirling's series; its error is below 0.001 for 1 and vanishes above. */
function logFactorial(value: number): number {
  if (value <= 1) return 0;
  return value * Math.log(value) - value + Math.log(2 * Math.PI * value) / 2 +
    1 / (12 * value) - 1 / (360 * value ** 3);
}
