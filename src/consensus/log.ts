/** The replicated log in memory, with constant-time reads by index and terms from the base index on. */
import type { Term } from '../model/identifiers.js';
import type { LogEntry } from './types.js';

export class RaftLog {
  #entries: LogEntry[];
  #baseIndex: number;
  #baseTerm: Term;

  /** `baseIndex` and `baseTerm` belong to the last entry that a snapshot replaced; both are 0 without a snapshot. */
  constructor(baseIndex: number, baseTerm: Term, entries: readonly LogEntry[]) {
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#entries = [...entries];
  }

  get baseIndex(): number {
    return this.#baseIndex;
  }

  get firstIndex(): number {
    return this.#baseIndex + 1;
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  get lastTerm(): Term {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.#baseIndex - 1];
  }

  /** Term of the entry at `index`, or of the base index; `undefined` if the log doesn't contain the entry. */
  termAt(index: number): Term | undefined {
    if (index === this.#baseIndex) {
      return this.#baseTerm;
    }
    return this.entryAt(index)?.term;
  }

  /** Entries from `from` to `to`, both inclusive. */
  slice(from: number, to: number): LogEntry[] {
    return this.#entries.slice(from - this.firstIndex, to - this.#baseIndex);
  }

  /** Appends entries, which must follow the last one without a gap. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      this.#entries.push(entry);
    }
  }

  /** Removes the entries from `index` on. */
  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.firstIndex);
  }

  /** Removes the entries up to `index`, which becomes the base. */
  compactTo(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.#baseIndex) {
      return;
    }
    this.#entries = this.#entries.slice(index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** Removes all entries; the next entry follows `index`. */
  reset(index: number, term: Term): void {
    this.#entries = [];
    this.#baseIndex = index;
    this.#baseTerm = term;
  }

  /** First index, above `floor`, of the consecutive entries with the same term that end at `index`. */
  firstIndexOfTermRun(index: number, floor: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > floor && this.termAt(first - 1) === term) {
      first -= 1;
    }
    return first;
  }
}
