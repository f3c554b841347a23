/** A balancer that notes when each request went out and how it was answered. */
import { performance } from "node:perf_hooks";
import { DecoratorHandler, type Dispatcher } from "undici";
import { Balancer, type RouterTarget } from "./load/balancer.ts";

/** One request as the load tool saw it. */
export interface RecordedExchange {
  readonly path: string;
  /** On the monotonic clock. */
  readonly sentAt: number;
  status: number;
  isStream: boolean;
  /** Time to the head of the answer, which comes with its first token. */
  headMs: number | undefined;
}

type HeadHandler = NonNullable<
  Dispatcher.DispatchHandler["onResponseStart"]
>;

class HeadRecorder extends DecoratorHandler {
  readonly #exchange: RecordedExchange;
  readonly #handler: Dispatcher.DispatchHandler;

  constructor(handler: Dispatcher.DispatchHandler, exchange: RecordedExchange) {
    super(handler);
    this.#handler = handler;
    this.#exchange = exchange;
  }

  onResponseStart(...head: Parameters<HeadHandler>): void {
    const [, status, headers] = head;
    this.#exchange.status = status;
    this.#exchange.headMs = performance.now() - this.#exchange.sentAt;
    this.#exchange.isStream = String(headers["content-type"])
      .startsWith("text/event-stream");
    this.#handler.onResponseStart?.(...head);
  }
}

/** Sprays requests like the balancer and records them. */
export class RecordingBalancer extends Balancer {
  readonly exchanges: RecordedExchange[] = [];
  readonly #recorded = new Map<RouterTarget, RouterTarget>();
  readonly #plain = new Map<RouterTarget, RouterTarget>();

  override pick(except?: RouterTarget): RouterTarget {
    const plain = super.pick(except && this.#plain.get(except));
    let recorded = this.#recorded.get(plain);
    if (recorded === undefined) {
      recorded = this.#record(plain);
      this.#recorded.set(plain, recorded);
      this.#plain.set(recorded, plain);
    }
    return recorded;
  }

  #record({ address, dispatcher }: RouterTarget): RouterTarget {
    const recording = dispatcher.compose((dispatch) => (options, handler) => {
      const exchange: RecordedExchange = {
        path: options.path,
        sentAt: performance.now(),
        status: 0,
        isStream: false,
        headMs: undefined,
      };
      this.exchanges.push(exchange);
      return dispatch(options, new HeadRecorder(handler, exchange));
    });
    return { address, dispatcher: recording };
  }
}
