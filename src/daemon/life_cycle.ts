/**
 * Life-cycle manager: owns what the process opened and closes it in reverse
 * order.
 */

/** Releases one resource. */
export type Closer = () => void | Promise<void>;

/** What failed to close. */
export interface CloseFailure {
  readonly name: string;
  readonly cause: unknown;
}

/** Owner of the process's resources. */
export interface LifeCycle {
  /** Takes `close` over; it runs once, after everything that came later. */
  own(name: string, close: Closer): void;
  /** Closes everything; later calls wait for the first. */
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
    own(name, close) {
      resources.push({ name, close });
    },
    close() {
      closing ??= closeAll(resources);
      return closing;
    },
  };
}
