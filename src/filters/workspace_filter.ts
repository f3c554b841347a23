/**
 * Identifies the workspace by the bearer token of the request.
 */
import type { Workspace } from "../config/manifest.ts";
import { createRefusal } from "../diagnostics.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
} from "./exchange.ts";

const BEARER_TOKEN_PATTERN = /^Bearer ([\x21-\x7e]{1,256})$/;

/** Sets `workspace`; refuses a missing or unknown key as `unknown-key`. */
export class WorkspaceFilter implements Filter {
  readonly name = "workspace";
  readonly #findWorkspace: (key: string) => Workspace | undefined;

  constructor(options: { find(key: string): Workspace | undefined }) {
    this.#findWorkspace = options.find;
  }

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const match = BEARER_TOKEN_PATTERN.exec(
      exchange.headers.authorization ?? "",
    );
    const workspace = match ? this.#findWorkspace(match[1]!) : undefined;
    if (workspace === undefined) {
      const detail = "Send the workspace key as a bearer token.";
      return Promise.resolve(
        createRefusedOutcome(createRefusal("unknown-key", detail)),
      );
    }
    exchange.workspace = workspace;
    return next();
  }
}
