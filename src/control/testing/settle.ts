/**
 * Waits for what tasks do between the messages of a test.
 */

const MAX_POLLS = 1_000;
const POLL_MS = 5;

/** Waits until `check` holds. */
export async function until(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    if (await check()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error("did not come true");
}

/** Lets every task handle what has been sent to it. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
