/** Min-priority queue over a binary heap, with removal of arbitrary items. */
export class PriorityQueue<T> {
  private readonly items: T[] = [];

  private constructor(
    private readonly compare: (left: T, right: T) => number,
  ) {}

  /**
   * Creates an empty queue.
   * @param compare - Comparison function, as for `Array.sort`.
   */
  static create<T>(compare: (left: T, right: T) => number): PriorityQueue<T> {
    return new PriorityQueue(compare);
  }

  getSize(): number {
    return this.items.length;
  }

  addItem(item: T): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1);
  }

  /** Gets the smallest item without removing it. */
  getFirst(): T | undefined {
    return this.items[0];
  }

  /** Removes and returns the smallest item. */
  removeFirst(): T | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (last !== undefined && this.items.length > 0) {
      this.items[0] = last;
      this.siftDown(0);
    }
    return first;
  }

  /**
   * Removes an item by identity, in linear time.
   * @returns Whether the item was queued.
   */
  removeItem(item: T): boolean {
    const index = this.items.indexOf(item);
    if (index < 0) return false;
    const last = this.items.pop() as T;
    if (index < this.items.length) {
      this.items[index] = last;
      this.siftDown(index);
      this.siftUp(index);
    }
    return true;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.compare(this.items[index], this.items[parent]) >= 0) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const smallest = this.getSmallestOfNodeAndChildren(index);
      if (smallest === index) return;
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private getSmallestOfNodeAndChildren(index: number): number {
    let smallest = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child >= this.items.length) continue;
      if (this.compare(this.items[child], this.items[smallest]) < 0) {
        smallest = child;
      }
    }
    return smallest;
  }

  private swap(left: number, right: number): void {
    const item = this.items[left];
    this.items[left] = this.items[right];
    this.items[right] = item;
  }
}
