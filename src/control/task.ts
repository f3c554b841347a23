/**
 * Tasks: nact actors that own their state and handle typed messages.
 *
 * A handler returns nothing and mutates the state in its closure. nact handles
 * the messages of a task one at a time.
 */
import { dispatch, type Ref, spawn, start, stop } from "nact";

/** Parent actor of the tasks of a daemon. */
export interface TaskSystem {
  /** Starts a task; `name` must be unique and must not contain a slash. */
  spawn<Message>(name: string, options: TaskOptions<Message>): Task<Message>;
  /** Stops the tasks. */
  close(): void;
}

/** Handlers of a task's messages and errors. */
export interface TaskOptions<Message> {
  handle(message: Message): void | Promise<void>;
  /** Called with what `handle` threw; the task continues. */
  onFailure(cause: unknown): void;
}

/** A running task. */
export interface Task<Message> {
  send(message: Message): void;
  stop(): void;
}

/** Creates the parent actor of a daemon's tasks. */
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
  async function handleMessage(_state: null, message: Message): Promise<null> {
    try {
      await handle(message);
    } catch (cause) {
      onFailure(cause);
    }
    return null;
  }
  const actor = spawn<Ref<never>, typeof handleMessage>(
    parent,
    handleMessage,
    name,
  );
  return {
    send: (message) => dispatch(actor, message),
    stop: () => stop(actor),
  };
}
