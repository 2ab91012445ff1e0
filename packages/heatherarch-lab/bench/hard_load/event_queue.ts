/**
 * Executes events of a simulation in the order of their times.
 *
 * @module
 */

interface ScheduledEvent {
  readonly atMs: number;
  /** Orders events of the same time by when they were scheduled. */
  readonly sequence: number;
  readonly execute: () => void;
}

/** A binary heap of events, and the simulated time. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];
  #sequence = 0;
  #nowMs = 0;

  /** Simulated time, in milliseconds. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules an event at a time that has not passed. */
  schedule(atMs: number, execute: () => void): void {
    const event = { atMs, sequence: this.#sequence++, execute };
    const heap = this.#heap;
    let i = heap.length;
    heap.push(event);
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!isBefore(event, heap[parent])) break;
      heap[i] = heap[parent];
      i = parent;
    }
    heap[i] = event;
  }

  /** Schedules an event after a delay, in milliseconds. */
  delay(delayMs: number, execute: () => void): void {
    this.schedule(this.#nowMs + delayMs, execute);
  }

  /** Executes all events until `endMs`, including those that are scheduled meanwhile. */
  runUntil(endMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMs <= endMs) {
      const event = this.#takeFirst();
      this.#nowMs = event.atMs;
      event.execute();
    }
    this.#nowMs = endMs;
  }

  #takeFirst(): ScheduledEvent {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop() as ScheduledEvent;
    if (heap.length === 0) return first;
    let i = 0;
    while (true) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child++;
      }
      if (!isBefore(heap[child], last)) break;
      heap[i] = heap[child];
      i = child;
    }
    heap[i] = last;
    return first;
  }
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
