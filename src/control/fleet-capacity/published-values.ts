/** The published values with the version of each entry's last change, so that a router receives only what changed since its own version. */
import type { MonotonicMillis } from '../../model/identifiers.js';

/** The version that a change belongs to, and the time of the change. */
export interface Version {
  readonly number: number;
  readonly now: MonotonicMillis;
}

interface Entry<Value> {
  readonly value: Value;
  readonly number: number;
  readonly at: MonotonicMillis;
}

/** A value with the time of its last change. */
export interface DatedValue<Value> {
  readonly value: Value;
  readonly at: MonotonicMillis;
}

export class PublishedValues<Value> {
  readonly #entries = new Map<string, Entry<Value>>();

  constructor(private readonly isSame: (one: Value, other: Value) => boolean) {}

  get(name: string): Value | undefined {
    return this.#entries.get(name)?.value;
  }

  /** Publishes a value under version `number` if it differs enough from the published one; returns whether it does. */
  publish(name: string, value: Value, { number, now }: Version): boolean {
    const before = this.#entries.get(name);
    if (before !== undefined && this.isSame(before.value, value)) {
      return false;
    }
    this.#entries.set(name, { value, number, at: now });
    return true;
  }

  since(number: number): Value[] {
    return [...this.#entries.values()].filter((entry) => entry.number > number).map(({ value }) => value);
  }

  withTimes(): DatedValue<Value>[] {
    return [...this.#entries.values()].map(({ value, at }) => ({ value, at }));
  }

  retainOnly(names: ReadonlySet<string>): void {
    for (const name of this.#entries.keys()) {
      if (!names.has(name)) {
        this.#entries.delete(name);
      }
    }
  }
}
