/**
 * Client of the platform's host list. The list is eventually consistent: it
 * lags, and routers may read different lists for seconds.
 */
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Err, Ok, type Result } from "ts-results/result";
import {
  createHttpJsonClient,
  type HttpJsonClient,
  type HttpJsonClientOptions,
} from "./http_json.ts";
import { PlatformFailure } from "./key_value.ts";

const HostEntrySchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
});

const HostListSchema = Type.Object({ hosts: Type.Array(HostEntrySchema) });

/** A host and whether it is about to leave. */
export type HostEntry = Readonly<Static<typeof HostEntrySchema>>;

/** A reader of the list of live and leaving hosts. */
export interface HostList {
  /** Reads the list. A host that is no longer listed has left. */
  read(): Promise<Result<HostEntry[], PlatformFailure>>;
  close(): Promise<void>;
}

class HttpHostList implements HostList {
  readonly #http: HttpJsonClient;

  constructor(options: HttpJsonClientOptions) {
    this.#http = createHttpJsonClient(options);
  }

  async read(): Promise<Result<HostEntry[], PlatformFailure>> {
    const response = await this.#http.call("/hosts", { method: "GET" });
    if (response.err) return response;
    if (Value.Check(HostListSchema, response.val)) {
      return Ok(response.val.hosts);
    }
    return Err(new PlatformFailure("unavailable", "malformed host list"));
  }

  close(): Promise<void> {
    return this.#http.close();
  }
}

/** Creates a client that reads the host list from `GET /hosts`. */
export function createHttpHostList(options: HttpJsonClientOptions): HostList {
  return new HttpHostList(options);
}
