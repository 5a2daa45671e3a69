/**
 * Things under way by their numbers, which are given in sequence. An open hash table in two arrays: unlike a `Map`,
 * whose outgrown tables stay linked to their successors, it leaves nothing behind that holds on to entries which left.
 */

const FIRST_CAPACITY = 64;
/** Key of an empty place; numbers are 0 or more. */
const EMPTY = -1;

export class NumberedTable<Value> {
  private keys: number[] = emptyKeys(FIRST_CAPACITY);
  private entries: (Value | undefined)[] = new Array(FIRST_CAPACITY).fill(undefined);
  private count = 0;

  get size(): number {
    return this.count;
  }

  has(number: number): boolean {
    return this.keys[this.placeOf(number)] === number;
  }

  get(number: number): Value | undefined {
    return this.entries[this.placeOf(number)];
  }

  /** Adds or replaces. `number` is an integer of 0 or more. */
  set(number: number, value: Value): void {
    const place = this.placeOf(number);
    if (this.keys[place] === EMPTY) {
      this.count += 1;
    }
    this.keys[place] = number;
    this.entries[place] = value;
    if (this.count * 2 > this.keys.length) {
      this.grow();
    }
  }

  /** `false` if there is no such number. */
  delete(number: number): boolean {
    const place = this.placeOf(number);
    if (this.keys[place] === EMPTY) {
      return false;
    }
    this.count -= 1;
    this.close(place);
    return true;
  }

  /** Everything there is now, in no certain order. */
  values(): Value[] {
    return this.entries.filter((_entry, place) => this.keys[place] !== EMPTY) as Value[];
  }

  /** Where the number stands, or the empty place where it would. */
  private placeOf(number: number): number {
    const mask = this.keys.length - 1;
    let place = number % this.keys.length;
    while (this.keys[place] !== number && this.keys[place] !== EMPTY) {
      place = (place + 1) & mask;
    }
    return place;
  }

  /** Empties a place; entries behind it which were pushed on by it move up. */
  private close(hole: number): void {
    const mask = this.keys.length - 1;
    let empty = hole;
    for (let place = (hole + 1) & mask; this.keys[place] !== EMPTY; place = (place + 1) & mask) {
      const home = (this.keys[place] as number) % this.keys.length;
      if (((place - home) & mask) >= ((place - empty) & mask)) {
        this.keys[empty] = this.keys[place] as number;
        this.entries[empty] = this.entries[place];
        empty = place;
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
    for (const [place, key] of keys.entries()) {
      if (key !== EMPTY) {
        const target = this.placeOf(key);
        this.keys[target] = key;
        this.entries[target] = entries[place];
      }
    }
  }
}

function emptyKeys(capacity: number): number[] {
  return new Array<number>(capacity).fill(EMPTY);
}
