/** Priority queue of timed events: a binary heap, stable for equal times. */

/** A function to run at a given time. */
export interface Event {
  /** Time of the event, in milliseconds. */
  readonly at: number;
  /** Position among the events added to the queue. */
  readonly order: number;
  run(): void;
}

/** Events ordered by time, then by insertion. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #order = 0;

  /** Adds an event that calls `run` at the time `at`. */
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

  /** Removes and returns the first event; undefined if the queue is empty. */
  pop(): Event | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return first;
    this.#siftDown(last);
    return first;
  }

  /** Replaces the root of the heap by `event` and restores the heap order. */
  #siftDown(event: Event): void {
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
