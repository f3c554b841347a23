/**
 * Tasks: nact actors that own their state and take typed messages.
 *
 * A handler returns nothing and mutates the state that its closure owns; nact
 * runs one message of a task at a time.
 */
import { dispatch, type Ref, spawn, start, stop } from "nact";

/** Root under which the tasks of a daemon run. */
export interface TaskSystem {
  spawn<Message>(name: string, options: TaskOptions<Message>): Task<Message>;
  close(): void;
}

/** Handler of a task's messages and of the failures of that handler. */
export interface TaskOptions<Message> {
  handle(message: Message): void | Promise<void>;
  onFailure(cause: unknown): void;
}

/** A running task. */
export interface Task<Message> {
  send(message: Message): void;
  stop(): void;
}

/** Creates the root of a daemon's tasks. */
export function createTaskSystem(): TaskSystem {
  const system = start();
  return {
    spawn<Message>(name: string, options: TaskOptions<Message>) {
      return createTask<Message>(system as Ref<never>, name, options);
    },
    close: () => stop(system),
  };
}

function createTask<Message>(
  parent: Ref<never>,
  name: string,
  { handle, onFailure }: TaskOptions<Message>,
): Task<Message> {
  async function run(_state: null, message: Message): Promise<null> {
    try {
      await handle(message);
    } catch (cause) {
      onFailure(cause);
    }
    return null;
  }
  const actor = spawn<Ref<never>, typeof run>(parent, run, name);
  return {
    send: (message) => dispatch(actor, message),
    stop: () => stop(actor),
  };
}
