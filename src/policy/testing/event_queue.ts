/** Queue of timed events, a binary heap; equal times keep their order. */

/** Something to run at a time. */
export interface Event {
  readonly at: number;
  readonly order: number;
  run(): void;
}

/** Events by time. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #order = 0;

  /** Adds an event. */
  push(at: number, run: () => void): void {
    const event = { at, order: this.#order++, run };
    const heap = this.#heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  /** Takes the first event off, if there is one. */
  pop(): Event | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return first;
    this.#sink(last);
    return first;
  }

  /** Puts `event` in the place of the first one. */
  #sink(event: Event): void {
    const heap = this.#heap;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, event)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = event;
  }
}

function isBefore(left: Event, right: Event): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}
