/** Binary heap with removal. */

/** Queue that hands out the smallest item first. */
export class PriorityQueue<T> {
  private readonly items: T[] = [];

  private constructor(
    private readonly compare: (left: T, right: T) => number,
  ) {}

  /**
   * Creates an empty queue.
   * @param compare - Order of the items, as for `Array.sort`.
   */
  static create<T>(compare: (left: T, right: T) => number): PriorityQueue<T> {
    return new PriorityQueue(compare);
  }

  /** Gets the number of items. */
  getSize(): number {
    return this.items.length;
  }

  /**
   * Adds an item.
   * @param item - Item to add.
   */
  addItem(item: T): void {
    this.items.push(item);
    this.moveUp(this.items.length - 1);
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
      this.moveDown(0);
    }
    return first;
  }

  /**
   * Removes an item if it is queued.
   * @param item - Item to remove.
   */
  removeItem(item: T): boolean {
    const index = this.items.indexOf(item);
    if (index < 0) return false;
    const last = this.items.pop() as T;
    if (index < this.items.length) {
      this.items[index] = last;
      this.moveDown(index);
      this.moveUp(index);
    }
    return true;
  }

  private moveUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.compare(this.items[index], this.items[parent]) >= 0) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private moveDown(start: number): void {
    let index = start;
    for (;;) {
      const smallest = this.getSmallestOfFamily(index);
      if (smallest === index) return;
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private getSmallestOfFamily(index: number): number {
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
