/** An item of a {@link MinHeap}. */
export interface HeapItem {
  readonly heapKey: number;
}

/** Binary heap that yields the item with the smallest key first. */
export class MinHeap<T extends HeapItem> {
  readonly #items: T[] = [];

  get size(): number {
    return this.#items.length;
  }

  clear(): void {
    this.#items.length = 0;
  }

  push(item: T): void {
    const items = this.#items;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = items[parent];
      if (above === undefined || above.heapKey <= item.heapKey) break;
      items[index] = above;
      index = parent;
    }
    items[index] = item;
  }

  pop(): T | undefined {
    const items = this.#items;
    const first = items[0];
    const last = items.pop();
    if (first === undefined || last === undefined || items.length === 0) return first;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const leftItem = items[left];
      if (leftItem === undefined) break;
      const rightItem = items[left + 1];
      const useRight = rightItem !== undefined && rightItem.heapKey < leftItem.heapKey;
      const child = useRight ? rightItem : leftItem;
      if (child.heapKey >= last.heapKey) break;
      items[index] = child;
      index = useRight ? left + 1 : left;
    }
    items[index] = last;
    return first;
  }
}
