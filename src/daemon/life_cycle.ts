/**
 * Life-cycle manager: owns the resources that the process opened and closes
 * them in reverse order.
 */

/** Releases one resource. */
export type Closer = () => void | Promise<void>;

/** A resource that failed to close. */
export interface CloseFailure {
  readonly name: string;
  readonly cause: unknown;
}

/** Owner of the process's resources. */
export interface LifeCycle {
  /**
   * Registers `close`, which runs once, after the closers that were registered
   * later. `name` identifies the resource in a `CloseFailure`.
   */
  addCleanup(name: string, close: Closer): void;
  /**
   * Closes all resources and returns the failures. Further calls return the
   * same promise.
   */
  close(): Promise<readonly CloseFailure[]>;
}

interface Resource {
  readonly name: string;
  readonly close: Closer;
}

async function closeAll(resources: Resource[]): Promise<CloseFailure[]> {
  const failures: CloseFailure[] = [];
  while (resources.length > 0) {
    const resource = resources.pop()!;
    try {
      await resource.close();
    } catch (cause) {
      failures.push({ name: resource.name, cause });
    }
  }
  return failures;
}

/** Creates an empty life-cycle manager. */
export function createLifeCycle(): LifeCycle {
  const resources: Resource[] = [];
  let closing: Promise<readonly CloseFailure[]> | undefined;
  return {
    addCleanup(name, close) {
      resources.push({ name, close });
    },
    close() {
      closing ??= closeAll(resources);
      return closing;
    },
  };
}
