/** A doubly linked queue with constant-time removal from any position, since cancelled requests leave from the middle. */

export interface QueueNode<Item> {
  readonly item: Item;
  previous: QueueNode<Item> | null;
  next: QueueNode<Item> | null;
  queue: LinkedQueue<Item> | null;
}

export class LinkedQueue<Item> {
  private head: QueueNode<Item> | null = null;
  private tail: QueueNode<Item> | null = null;
  private count = 0;

  get length(): number {
    return this.count;
  }

  peek(): Item | undefined {
    return this.head?.item;
  }

  peekLast(): Item | undefined {
    return this.tail?.item;
  }

  pushBack(item: Item): QueueNode<Item> {
    const node: QueueNode<Item> = { item, previous: this.tail, next: null, queue: this };
    if (this.tail === null) {
      this.head = node;
    } else {
      this.tail.next = node;
    }
    this.tail = node;
    this.count += 1;
    return node;
  }

  pushFront(item: Item): QueueNode<Item> {
    const node: QueueNode<Item> = { item, previous: null, next: this.head, queue: this };
    if (this.head === null) {
      this.tail = node;
    } else {
      this.head.previous = node;
    }
    this.head = node;
    this.count += 1;
    return node;
  }

  /** Removes a node; does nothing if it was already removed. */
  remove(node: QueueNode<Item>): void {
    if (node.queue !== this) {
      return;
    }
    if (node.previous === null) {
      this.head = node.next;
    } else {
      node.previous.next = node.next;
    }
    if (node.next === null) {
      this.tail = node.previous;
    } else {
      node.next.previous = node.previous;
    }
    node.previous = null;
    node.next = null;
    node.queue = null;
    this.count -= 1;
  }

  /** Returns the items from front to back. */
  toArray(): Item[] {
    const items: Item[] = [];
    for (let node = this.head; node !== null; node = node.next) {
      items.push(node.item);
    }
    return items;
  }
}
