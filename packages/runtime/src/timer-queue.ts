/** A priority queue of timers for the simulated clock, implemented as a binary heap. */

/** A callback that is due at a given time. */
export interface Timer {
  /** Time on the simulated steady clock, in milliseconds, at which the timer is due. */
  readonly dueAtMs: number;
  /** Of two timers that are due at the same time, the one with the lower sequence number fires first. */
  readonly sequence: number;
  /** Called when the timer fires. Cancelling the timer replaces this function by one that does nothing. */
  callback: () => void;
}

const isBefore = (a: Timer, b: Timer): boolean =>
  a.dueAtMs < b.dueAtMs || (a.dueAtMs === b.dueAtMs && a.sequence < b.sequence);

/** A queue that returns the timers in the order in which they are due. */
export class TimerQueue {
  private readonly heap: Timer[] = [];

  /** Returns the earliest timer without removing it, or undefined if the queue is empty. */
  peek(): Timer | undefined {
    return this.heap[0];
  }

  /** Adds a timer to the queue. */
  push(timer: Timer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (!parent || !isBefore(timer, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = timer;
  }

  /** Removes the earliest timer, if there is one. */
  pop(): void {
    const { heap } = this;
    const lastTimer = heap.pop();
    if (!lastTimer || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const childIndex = this.findEarlierChildIndex(index);
      const child = heap[childIndex];
      if (!child || !isBefore(child, lastTimer)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = lastTimer;
  }

  /** Returns the index of the child that is due first. If the element has no child, the index is beyond the heap's end. */
  private findEarlierChildIndex(index: number): number {
    const firstChildIndex = 2 * index + 1;
    const firstChild = this.heap[firstChildIndex];
    const secondChild = this.heap[firstChildIndex + 1];
    return firstChild && secondChild && isBefore(secondChild, firstChild)
      ? firstChildIndex + 1
      : firstChildIndex;
  }
}
