/**
 * Pages for operators. A page that can't be rendered costs just that page.
 */
import type { ServerResponse } from "node:http";
import { inspect } from "node:util";
import type { Log } from "../log.ts";

/** A rendered page. */
export interface Page {
  readonly contentType: string;
  readonly body: string;
}

const STATUS_OK = 200;
const STATUS_FAILED = 500;

/** Sends the page that `render` returns; status 500 if it throws. */
export async function sendPage(
  response: ServerResponse,
  { render, log }: { render: () => Page | Promise<Page>; log: Log },
): Promise<void> {
  // An error of the response concerns its reader alone.
  response.on("error", () => response.destroy());
  try {
    const { contentType, body } = await render();
    response.writeHead(STATUS_OK, { "content-type": contentType });
    response.end(body);
  } catch (cause) {
    log.error("A page can't be rendered.", { cause: inspect(cause) });
    if (!response.headersSent) response.writeHead(STATUS_FAILED);
    response.end();
  }
}
