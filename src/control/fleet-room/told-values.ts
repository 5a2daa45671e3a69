/** What routers were told last, with the version of each entry's last change, so that each is told what changed since its own. */
import type { MonotonicMillis } from '../../model/identifiers.js';

/** The version that a change belongs to, and when it came to be. */
export interface Version {
  readonly number: number;
  readonly now: MonotonicMillis;
}

interface Told<Value> {
  readonly value: Value;
  readonly number: number;
  readonly at: MonotonicMillis;
}

/** A value with the time of its last change. */
export interface DatedValue<Value> {
  readonly value: Value;
  readonly at: MonotonicMillis;
}

export class ToldValues<Value> {
  readonly #told = new Map<string, Told<Value>>();

  constructor(private readonly isSame: (one: Value, other: Value) => boolean) {}

  get(name: string): Value | undefined {
    return this.#told.get(name)?.value;
  }

  /** Notes a value under the next version `number`; `true` if it differs enough from what was told. */
  put(name: string, value: Value, { number, now }: Version): boolean {
    const before = this.#told.get(name);
    if (before !== undefined && this.isSame(before.value, value)) {
      return false;
    }
    this.#told.set(name, { value, number, at: now });
    return true;
  }

  since(number: number): Value[] {
    return [...this.#told.values()].filter((told) => told.number > number).map(({ value }) => value);
  }

  dated(): DatedValue<Value>[] {
    return [...this.#told.values()].map(({ value, at }) => ({ value, at }));
  }

  keepOnly(names: ReadonlySet<string>): void {
    for (const name of this.#told.keys()) {
      if (!names.has(name)) {
        this.#told.delete(name);
      }
    }
  }
}
