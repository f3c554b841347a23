/** A balancer that records the send time and the response of each request. */
import { performance } from "node:perf_hooks";
import { DecoratorHandler, type Dispatcher } from "undici";
import { Balancer, type RouterTarget } from "./load/balancer.ts";

/** One request and the head of its response. */
export interface RecordedExchange {
  readonly path: string;
  /** Send time in ms on the monotonic clock. */
  readonly sentAt: number;
  status: number;
  isStream: boolean;
  /** Time to the response head in ms; it is sent with the first token. */
  headMs: number | undefined;
}

type ResponseStartHandler = NonNullable<
  Dispatcher.DispatchHandler["onResponseStart"]
>;

class ResponseStartRecorder extends DecoratorHandler {
  readonly #exchange: RecordedExchange;
  readonly #handler: Dispatcher.DispatchHandler;

  constructor(handler: Dispatcher.DispatchHandler, exchange: RecordedExchange) {
    super(handler);
    this.#handler = handler;
    this.#exchange = exchange;
  }

  onResponseStart(...head: Parameters<ResponseStartHandler>): void {
    const [, status, headers] = head;
    this.#exchange.status = status;
    this.#exchange.headMs = performance.now() - this.#exchange.sentAt;
    this.#exchange.isStream = String(headers["content-type"])
      .startsWith("text/event-stream");
    this.#handler.onResponseStart?.(...head);
  }
}

/** Distributes requests like `Balancer` and records them. */
export class RecordingBalancer extends Balancer {
  readonly exchanges: RecordedExchange[] = [];
  readonly #recorded = new Map<RouterTarget, RouterTarget>();
  readonly #originals = new Map<RouterTarget, RouterTarget>();

  override pick(except?: RouterTarget): RouterTarget {
    const original = super.pick(except && this.#originals.get(except));
    let recorded = this.#recorded.get(original);
    if (recorded === undefined) {
      recorded = this.#createRecordingTarget(original);
      this.#recorded.set(original, recorded);
      this.#originals.set(recorded, original);
    }
    return recorded;
  }

  #createRecordingTarget({ address, dispatcher }: RouterTarget): RouterTarget {
    const recording = dispatcher.compose((dispatch) => (options, handler) => {
      const exchange: RecordedExchange = {
        path: options.path,
        sentAt: performance.now(),
        status: 0,
        isStream: false,
        headMs: undefined,
      };
      this.exchanges.push(exchange);
      return dispatch(options, new ResponseStartRecorder(handler, exchange));
    });
    return { address, dispatcher: recording };
  }
}
