/**
 * Polls the platform's host list and reports which hosts are leaving.
 */
import type { Log } from "../log.ts";
import type { HostList } from "../store/host_list.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { HostView } from "./views.ts";

/** Options of `createHostsController`. */
export interface HostsOptions {
  readonly hostList: HostList;
  readonly log: Log;
  readonly tasks: TaskSystem;
  /** Time between two reads of the list, in milliseconds. */
  readonly pollMs?: number;
}

/** Polls the host list; after a failed read the last known list applies. */
export interface HostsController extends HostView {
  open(): void;
  close(): void;
}

const POLL_MS = 2_000;

/** Creates the controller; `open` reads the list and starts the polling. */
export function createHostsController(
  { hostList, log, tasks, pollMs = POLL_MS }: HostsOptions,
): HostsController {
  let leaving: ReadonlySet<string> = new Set();
  let isReachable = true;
  let timer: NodeJS.Timeout | undefined;

  async function read(): Promise<void> {
    const reading = await hostList.read();
    if (reading.err) {
      if (isReachable) {
        log.warn("The host list can't be read.", {
          cause: reading.val.message,
        });
      }
      isReachable = false;
      return;
    }
    isReachable = true;
    const next = new Set(
      reading.val.filter(({ state }) => state === "leaving")
        .map(({ name }) => name),
    );
    for (const name of next) {
      if (!leaving.has(name)) log.info("A host is leaving.", { host: name });
    }
    leaving = next;
  }

  const task: Task<"read"> = tasks.spawn<"read">("hosts", {
    handle: read,
    onFailure: (cause) => {
      log.error("A message failed.", { cause: String(cause) });
    },
  });

  return {
    open() {
      task.send("read");
      timer = setInterval(() => task.send("read"), pollMs);
    },
    isLeaving: (host) => leaving.has(host),
    close() {
      clearInterval(timer);
      task.stop();
    },
  };
}
