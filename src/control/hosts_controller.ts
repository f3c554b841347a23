/**
 * Controller of the platform's host list: reads it from time to time and says
 * which hosts are leaving.
 */
import type { Log } from "../log.ts";
import type { HostList } from "../store/host_list.ts";
import type { Task, TaskSystem } from "./task.ts";
import type { HostView } from "./views.ts";

/** Options of the controller. */
export interface HostsOptions {
  readonly hostList: HostList;
  readonly log: Log;
  readonly tasks: TaskSystem;
  readonly pollMs?: number;
}

/** Follows the host list. */
export interface HostsController extends HostView {
  open(): void;
  close(): void;
}

const POLL_MS = 2_000;

/** Creates the controller; `open` starts it. */
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
      if (!leaving.has(name)) log.info("A host leaves.", { host: name });
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
