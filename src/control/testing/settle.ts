/**
 * Helpers of tests that wait for asynchronous tasks.
 */

const MAX_POLLS = 1_000;
const POLL_MS = 5;

/** Polls until `check` returns true; throws after `MAX_POLLS` polls. */
export async function until(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    if (await check()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error("the awaited condition did not become true");
}

/** Yields to the event loop until tasks have handled pending messages. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
