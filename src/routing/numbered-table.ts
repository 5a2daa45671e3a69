/**
 * Maps sequentially assigned numbers to values, as an open-addressing hash table in two arrays. A `Map` keeps its outgrown
 * tables linked to their successors, which keeps deleted entries reachable; this table retains no deleted entry.
 */

const INITIAL_CAPACITY = 64;
/** Key of an empty slot; numbers are 0 or more. */
const EMPTY = -1;

export class NumberedTable<Value> {
  private keys: number[] = emptyKeys(INITIAL_CAPACITY);
  private entries: (Value | undefined)[] = new Array(INITIAL_CAPACITY).fill(undefined);
  private count = 0;

  get size(): number {
    return this.count;
  }

  has(number: number): boolean {
    return this.keys[this.slotOf(number)] === number;
  }

  get(number: number): Value | undefined {
    return this.entries[this.slotOf(number)];
  }

  /** Adds or replaces an entry. `number` is an integer of 0 or more. */
  set(number: number, value: Value): void {
    const slot = this.slotOf(number);
    if (this.keys[slot] === EMPTY) {
      this.count += 1;
    }
    this.keys[slot] = number;
    this.entries[slot] = value;
    if (this.count * 2 > this.keys.length) {
      this.grow();
    }
  }

  /** Returns `false` if there is no entry for the number. */
  delete(number: number): boolean {
    const slot = this.slotOf(number);
    if (this.keys[slot] === EMPTY) {
      return false;
    }
    this.count -= 1;
    this.removeAt(slot);
    return true;
  }

  /** Returns all current values in unspecified order. */
  values(): Value[] {
    return this.entries.filter((_entry, slot) => this.keys[slot] !== EMPTY) as Value[];
  }

  /** Returns the slot of the number, or the empty slot where it would be inserted. */
  private slotOf(number: number): number {
    const mask = this.keys.length - 1;
    let slot = number % this.keys.length;
    while (this.keys[slot] !== number && this.keys[slot] !== EMPTY) {
      slot = (slot + 1) & mask;
    }
    return slot;
  }

  /** Empties a slot and shifts back the entries after it that collided with it. */
  private removeAt(hole: number): void {
    const mask = this.keys.length - 1;
    let empty = hole;
    for (let slot = (hole + 1) & mask; this.keys[slot] !== EMPTY; slot = (slot + 1) & mask) {
      const home = (this.keys[slot] as number) % this.keys.length;
      if (((slot - home) & mask) >= ((slot - empty) & mask)) {
        this.keys[empty] = this.keys[slot] as number;
        this.entries[empty] = this.entries[slot];
        empty = slot;
      }
    }
    this.keys[empty] = EMPTY;
    this.entries[empty] = undefined;
  }

  private grow(): void {
    const { keys, entries } = this;
    const capacity = keys.length * 2;
    this.keys = emptyKeys(capacity);
    this.entries = new Array(capacity).fill(undefined);
    for (const [slot, key] of keys.entries()) {
      if (key !== EMPTY) {
        const target = this.slotOf(key);
        this.keys[target] = key;
        this.entries[target] = entries[slot];
      }
    }
  }
}

function emptyKeys(capacity: number): number[] {
  return new Array<number>(capacity).fill(EMPTY);
}
