/** Seeded random number generator of the load tool. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { skipN } from "pure-rand/utils/skipN";

/** An inclusive range of integers. */
export interface Range {
  readonly min: number;
  readonly max: number;
}

const SKIPPED_DRAWS = 64;
const LETTERS_PER_TOKEN = 3;
const LETTERS = "abcdefghijklmnopqrstuvwxyz";

/** Draws random values from one seeded sequence. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    // The first draws of small seeds are biased.
    skipN(this.#generator, SKIPPED_DRAWS);
  }

  /** Returns an integer in a range. */
  nextInteger({ min, max }: Range): number {
    return uniformInt(this.#generator, min, max);
  }

  /** Returns true with probability `share`. */
  nextBoolean(share: number): boolean {
    return uniformFloat64(this.#generator) < share;
  }

  /** Returns an exponentially distributed number. */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - uniformFloat64(this.#generator));
  }

  /** Returns one of `items`, which must not be empty. */
  pick<T>(items: readonly T[]): T {
    return items[this.nextInteger({ min: 0, max: items.length - 1 })]!;
  }

  /** Returns a text that counts as `tokens` tokens. */
  nextText(tokens: number): string {
    let text = "";
    for (let token = 0; token < tokens; token++) {
      for (let letter = 0; letter < LETTERS_PER_TOKEN; letter++) {
        text += LETTERS.charAt(this.nextInteger({ min: 0, max: 25 }));
      }
      text += " ";
    }
    return text;
  }
}
