/** Seeded random source of the load tool. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";

/** An inclusive range of whole numbers. */
export interface Range {
  readonly min: number;
  readonly max: number;
}

const SKIPPED_DRAWS = 64;
const TOKEN_LETTERS = 3;
const LETTERS = "abcdefghijklmnopqrstuvwxyz";

/** Draws from one seeded sequence. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    // The first draws of small seeds lean to one side.
    skipN(this.#generator, SKIPPED_DRAWS);
  }

  /** A whole number of a range. */
  nextInteger({ min, max }: Range): number {
    return uniformInt(this.#generator, min, max);
  }

  /** Whether an event of probability `share` happens. */
  nextBoolean(share: number): boolean {
    return uniformFloat64(this.#generator) < share;
  }

  /** An exponentially distributed number. */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - uniformFloat64(this.#generator));
  }

  /** One of `items`, which must not be empty. */
  pick<T>(items: readonly T[]): T {
    return items[this.nextInteger({ min: 0, max: items.length - 1 })]!;
  }

  /** A text that counts as `tokens` tokens. */
  nextText(tokens: number): string {
    let text = "";
    for (let token = 0; token < tokens; token++) {
      for (let letter = 0; letter < TOKEN_LETTERS; letter++) {
        text += LETTERS.charAt(this.nextInteger({ min: 0, max: 25 }));
      }
      text += " ";
    }
    return text;
  }
}
