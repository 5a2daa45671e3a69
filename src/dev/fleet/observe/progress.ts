/** Writes a progress line per second, from the callers' journals. */
import { JournalTail } from '../../journal/journal-tail.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { AttemptRecord } from '../../journal/records.js';
import type { Fleet } from '../fleet.js';
import { journalFileOf } from '../settings-files.js';

const INTERVAL_MILLIS = 1000;

export class Progress {
  readonly #tails: readonly JournalTail[];
  readonly #write: (line: string) => void;
  readonly #notes: () => string;
  #startedAt = 0;
  #timer: NodeJS.Timeout | undefined;

  /** `notes` returns text about the faults applied since its last call. */
  constructor(fleet: Fleet, write: (line: string) => void, notes: () => string) {
    const { plan } = fleet;
    this.#tails = plan.callers.map((caller) => new JournalTail(journalFileOf(plan, caller)));
    this.#write = write;
    this.#notes = notes;
  }

  start(startedAt: number): void {
    this.#startedAt = startedAt;
    this.#timer = setInterval(() => this.#report(), INTERVAL_MILLIS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #report(): void {
    const records = this.#tails.flatMap((tail) => tail.read());
    const ends = records.filter(
      (record): record is AttemptRecord => record.type === 'attempt' && record.last,
    );
    const count = (verdict: AttemptRecord['verdict']): number =>
      ends.filter((end) => end.verdict === verdict).length;
    const seconds = Math.round((machineMillis() - this.#startedAt) / INTERVAL_MILLIS);
    const line = `${String(seconds).padStart(3)} s  ${String(ends.length).padStart(5)} requests/s  answered ${count('whole')}  refused ${count('refused')}  lost ${count('lost')}`;
    this.#write(`${line}${this.#notes()}`);
  }
}
