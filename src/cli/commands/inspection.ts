/**
 * The read-only commands that query the routers or the store: `status`,
 * `explain` and `history`.
 */
import { Args, Flags } from "@oclif/core";
import type { Explanation, RouterStatus } from "../../types_status.ts";
import { BaseCommand } from "../base_command.ts";
import { summarizeEntry } from "../change_command.ts";
import {
  CommandFailure,
  formatEntry,
  toReadFailure,
} from "../command_failure.ts";
import type {
  ChatQuery,
  RouterClient,
  RouterFailure,
} from "../router_client.ts";
import { formatExplanation, formatStatuses } from "../status_format.ts";

const DEFAULT_HISTORY_LIMIT = 20;
const MAX_HISTORY_LIMIT = 1_000;

/** `cflow status`. */
export class Status extends BaseCommand {
  static override summary = "Show the state of the routers and of the pools.";

  async run() {
    const { flags } = await this.parse(Status);
    const settings = await this.readSettings(flags);
    const answers = await this.withRouters(
      settings,
      (client) =>
        Promise.all(settings.routers.map((router) => client.getStatus(router))),
    );
    const routers: RouterStatus[] = [];
    const unreachable: RouterFailure[] = [];
    for (const answer of answers) {
      if (answer.ok) routers.push(answer.val);
      else unreachable.push(answer.val);
    }
    if (routers.length === 0) throw toUnreachableFailure(unreachable);
    this.log(formatStatuses(routers, unreachable));
    return { routers, unreachable };
  }
}

/** `cflow explain CHAT --service S --workspace W`. */
export class Explain extends BaseCommand {
  static override summary = "Show where a chat would be placed, and why.";
  static override args = {
    chat: Args.string({ required: true, description: "chat id" }),
  };
  static override flags = {
    service: Flags.string({
      required: true,
      description: "name of the service",
    }),
    workspace: Flags.string({
      required: true,
      description: "name of the chat's workspace",
    }),
  };

  async run(): Promise<Explanation> {
    const { args: { chat }, flags } = await this.parse(Explain);
    const settings = await this.readSettings(flags);
    const explanation = await this.withRouters(
      settings,
      (client) =>
        requestExplanation(client, settings.routers, {
          service: flags.service,
          workspace: flags.workspace,
          chat,
        }),
    );
    this.log(formatExplanation(explanation));
    return explanation;
  }
}

/** `cflow history`. */
export class History extends BaseCommand {
  static override summary = "List the latest changes, newest first.";
  static override flags = {
    limit: Flags.integer({
      description: "maximum number of changes",
      default: DEFAULT_HISTORY_LIMIT,
      min: 1,
      max: MAX_HISTORY_LIMIT,
    }),
  };

  async run() {
    const { flags } = await this.parse(History);
    const settings = await this.readSettings(flags);
    const entries = await this.withStore(
      settings,
      (store) => store.history(flags.limit),
    );
    if (entries.err) throw toReadFailure(entries.val);
    for (const entry of entries.val) this.log(formatEntry(entry));
    return { entries: entries.val.map(summarizeEntry) };
  }
}

/**
 * Asks the routers one after another until the owner of the chat's pool
 * answers: only the owner knows the chat's home. If the owner doesn't answer,
 * returns the explanation with the most candidates; replicas of the pool know
 * the order of candidates.
 *
 * @throws CommandFailure if a router refuses the query or none answers
 */
async function requestExplanation(
  client: RouterClient,
  routers: readonly string[],
  chat: ChatQuery,
): Promise<Explanation> {
  const failures: RouterFailure[] = [];
  let fallback: Explanation | undefined;
  for (const router of routers) {
    const explanation = await client.explain(router, chat);
    if (explanation.ok) {
      const { router: name, owner, order } = explanation.val;
      if (name === owner) return explanation.val;
      if (order.length >= (fallback?.order.length ?? 0)) {
        fallback = explanation.val;
      }
      continue;
    }
    if (explanation.val.kind === "refused") {
      const message = `The router refused the question: ` +
        `${explanation.val.detail}. See the names with: cflow manifest show`;
      throw new CommandFailure("bad-input", message);
    }
    failures.push(explanation.val);
  }
  if (fallback !== undefined) return fallback;
  throw toUnreachableFailure(failures);
}

function toUnreachableFailure(
  failures: readonly RouterFailure[],
): CommandFailure {
  const message = "No router answered. Check the addresses of the routers.";
  const details = failures.map(({ address, detail }) =>
    `${address}: ${detail}`
  );
  return new CommandFailure("platform-unreachable", message, {
    details,
    data: { unreachable: failures },
  });
}
