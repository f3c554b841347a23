/**
 * The platform's rate-limited store of model weights.
 *
 * Engines fetch weights by themselves; the routers ask what a fetch costs and
 * how many the store bears, and pace their orders by it.
 */
import { type Static, type TSchema, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Err, Ok, type Result } from "ts-results/result";
import {
  createHttpJson,
  type HttpJson,
  type HttpJsonOptions,
} from "./http_json.ts";
import { PlatformFailure } from "./key_value.ts";

const WeightsSchema = Type.Object({
  digest: Type.String({ minLength: 1 }),
  sizeBytes: Type.Integer({ minimum: 0 }),
  bytesPerSecond: Type.Number({ exclusiveMinimum: 0 }),
});

const FetchRateSchema = Type.Object({
  fetchesPerMinute: Type.Number({ minimum: 0 }),
});

/** One version of a model's weights. */
export type Weights = Readonly<Static<typeof WeightsSchema>>;

/** Fetches that the store bears. */
export type FetchRate = Readonly<Static<typeof FetchRateSchema>>;

/** A store of model weights. */
export interface WeightStore {
  /** Describes a version; `refused` past the rate or if there is none. */
  getWeights(
    model: string,
    version: string,
  ): Promise<Result<Weights, PlatformFailure>>;
  /** Reads how many fetches the store bears; not itself a fetch. */
  getRate(): Promise<Result<FetchRate, PlatformFailure>>;
  close(): Promise<void>;
}

class HttpWeightStore implements WeightStore {
  readonly #http: HttpJson;

  constructor(options: HttpJsonOptions) {
    this.#http = createHttpJson(options);
  }

  getWeights(
    model: string,
    version: string,
  ): Promise<Result<Weights, PlatformFailure>> {
    const name = `${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return this.#get(`/v1/weights/${name}`, WeightsSchema);
  }

  getRate(): Promise<Result<FetchRate, PlatformFailure>> {
    return this.#get("/v1/rate", FetchRateSchema);
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  async #get<T extends TSchema>(
    path: string,
    schema: T,
  ): Promise<Result<Static<T>, PlatformFailure>> {
    const answer = await this.#http.call(path, { method: "GET" });
    if (answer.err) return answer;
    if (Value.Check(schema, answer.val)) return Ok(answer.val);
    return Err(new PlatformFailure("unavailable", "malformed answer"));
  }
}

/** Creates a client of the weight store. */
export function createHttpWeightStore(options: HttpJsonOptions): WeightStore {
  return new HttpWeightStore(options);
}
