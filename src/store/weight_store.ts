/**
 * Client of the platform's rate-limited store of model weights.
 *
 * Engines fetch the weights themselves. Routers only read the cost of a fetch
 * and the store's fetch limit, and limit the rate of their load orders by it.
 */
import { type Static, type TSchema, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Err, Ok, type Result } from "ts-results/result";
import {
  createHttpJsonClient,
  type HttpJsonClient,
  type HttpJsonClientOptions,
} from "./http_json.ts";
import { PlatformFailure } from "./key_value.ts";

const WeightsMetadataSchema = Type.Object({
  digest: Type.String({ minLength: 1 }),
  sizeBytes: Type.Integer({ minimum: 0 }),
  bytesPerSecond: Type.Number({ exclusiveMinimum: 0 }),
});

const FetchRateLimitSchema = Type.Object({
  fetchesPerMinute: Type.Number({ minimum: 0 }),
});

/** Digest, size and transfer rate of one version of a model's weights. */
export type WeightsMetadata = Readonly<Static<typeof WeightsMetadataSchema>>;

/** Maximum number of fetches that the store allows per minute. */
export type FetchRateLimit = Readonly<Static<typeof FetchRateLimitSchema>>;

/** A client of the store of model weights. */
export interface WeightStore {
  /**
   * Reads the metadata of a version. Fails with `refused` if the version does
   * not exist or the fetch limit is exceeded.
   */
  getWeightsMetadata(
    model: string,
    version: string,
  ): Promise<Result<WeightsMetadata, PlatformFailure>>;
  /** Reads the fetch limit; this does not count as a fetch. */
  getFetchRateLimit(): Promise<Result<FetchRateLimit, PlatformFailure>>;
  close(): Promise<void>;
}

class HttpWeightStore implements WeightStore {
  readonly #http: HttpJsonClient;

  constructor(options: HttpJsonClientOptions) {
    this.#http = createHttpJsonClient(options);
  }

  getWeightsMetadata(
    model: string,
    version: string,
  ): Promise<Result<WeightsMetadata, PlatformFailure>> {
    const name = `${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return this.#get(`/v1/weights/${name}`, WeightsMetadataSchema);
  }

  getFetchRateLimit(): Promise<Result<FetchRateLimit, PlatformFailure>> {
    return this.#get("/v1/rate", FetchRateLimitSchema);
  }

  close(): Promise<void> {
    return this.#http.close();
  }

  async #get<T extends TSchema>(
    path: string,
    schema: T,
  ): Promise<Result<Static<T>, PlatformFailure>> {
    const response = await this.#http.call(path, { method: "GET" });
    if (response.err) return response;
    if (Value.Check(schema, response.val)) return Ok(response.val);
    return Err(
      new PlatformFailure("unavailable", "malformed response"),
    );
  }
}

/** Creates a client of the weight store at `options.address`. */
export function createHttpWeightStore(
  options: HttpJsonClientOptions,
): WeightStore {
  return new HttpWeightStore(options);
}
