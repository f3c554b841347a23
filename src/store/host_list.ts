/**
 * The platform's list of hosts. It lags, and routers may see different lists
 * for seconds.
 */
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Err, Ok, type Result } from "ts-results/result";
import {
  createHttpJson,
  type HttpJson,
  type HttpJsonOptions,
} from "./http_json.ts";
import { PlatformFailure } from "./key_value.ts";

const HostEntrySchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
});

const HostListSchema = Type.Object({ hosts: Type.Array(HostEntrySchema) });

/** One host of the list. */
export type HostEntry = Readonly<Static<typeof HostEntrySchema>>;

/** The list of live and leaving hosts. */
export interface HostList {
  /** Reads the list; a host that is on it no more has left. */
  read(): Promise<Result<HostEntry[], PlatformFailure>>;
  close(): Promise<void>;
}

class HttpHostList implements HostList {
  readonly #http: HttpJson;

  constructor(options: HttpJsonOptions) {
    this.#http = createHttpJson(options);
  }

  async read(): Promise<Result<HostEntry[], PlatformFailure>> {
    const answer = await this.#http.call("/hosts", { method: "GET" });
    if (answer.err) return answer;
    if (Value.Check(HostListSchema, answer.val)) return Ok(answer.val.hosts);
    return Err(new PlatformFailure("unavailable", "malformed host list"));
  }

  close(): Promise<void> {
    return this.#http.close();
  }
}

/** Creates a reader of the host list at `GET /hosts`. */
export function createHttpHostList(options: HttpJsonOptions): HostList {
  return new HttpHostList(options);
}
