/** The set of completed tasks of a job. */

/** A set of task numbers, kept as a bitmap. 100,000 tasks take 12.5 KB, without an object per task. */
export class CompletionBitmap {
  private readonly bits: Uint8Array;
  private count = 0;

  /** Creates an empty set for the tasks from 0 to `taskCount` - 1. */
  constructor(readonly taskCount: number) {
    this.bits = new Uint8Array(Math.ceil(taskCount / 8));
  }

  /** The number of tasks in the set. */
  get completedCount(): number {
    return this.count;
  }

  /** Whether a task is in the set. A task out of range is not. */
  has(task: number): boolean {
    return (this.readByte(task) & getBitMask(task)) !== 0;
  }

  /** Adds a task. Returns false if it was already in the set or is out of range. */
  add(task: number): boolean {
    if (!this.isInRange(task) || this.has(task)) return false;
    this.bits[task >> 3] = this.readByte(task) | getBitMask(task);
    this.count++;
    return true;
  }

  /** Removes a task. Returns false if it was not in the set. */
  delete(task: number): boolean {
    if (!this.isInRange(task) || !this.has(task)) return false;
    this.bits[task >> 3] = this.readByte(task) & ~getBitMask(task);
    this.count--;
    return true;
  }

  /**
   * Encodes the tasks from `firstTask` to `firstTask + rangeLength - 1` in base64, without trailing zero bytes.
   * `firstTask` and `rangeLength` must be multiples of 8.
   */
  encodeRange(firstTask: number, rangeLength: number): string {
    const startByte = firstTask >> 3;
    let endByte = Math.min(this.bits.length, (firstTask + rangeLength) >> 3);
    while (endByte > startByte && this.bits[endByte - 1] === 0) endByte--;
    return Buffer.from(this.bits.subarray(startByte, endByte)).toString('base64');
  }

  /** Adds the tasks of an encoded range that begins at `firstTask`. */
  mergeEncoded(firstTask: number, base64: string): void {
    Buffer.from(base64, 'base64').forEach((byte, index) => {
      const firstTaskOfByte = firstTask + index * 8;
      for (let bit = 0; bit < 8; bit++) if (byte & (1 << bit)) this.add(firstTaskOfByte + bit);
    });
  }

  private isInRange(task: number): boolean {
    return task >= 0 && task < this.taskCount;
  }

  private readByte(task: number): number {
    return this.bits[task >> 3] ?? 0;
  }
}

const getBitMask = (task: number): number => 1 << (task & 7);
