/** Records the events of a simulation: checks each at once, counts operations and faults, and updates the hash of the run's trace. */
import { createHash } from 'node:crypto';
import { Checker } from '../checker/checker.js';
import type { HistoryEvent } from '../checker/history.js';
import type { Violation } from '../checker/rule.js';
import type { EventQueue } from '../virtual/event-queue.js';

/** Number of characters shown of a trace hash. */
const HASH_LENGTH = 16;
/** Lines that are hashed together: a call for each line takes longer than the hash itself. */
const LINES_PER_UPDATE = 256;

export class Recorder {
  readonly checker = new Checker();
  private readonly hash = createHash('sha256');
  /** Lines that the hash doesn't contain yet. */
  private lines: string[] = [];
  private readonly operationCounts = new Map<string, number>();
  private readonly faultCounts = new Map<string, number>();

  /** `trace` receives each line of the trace; `null` discards the lines. */
  constructor(
    private readonly time: EventQueue,
    private readonly trace: ((line: string) => void) | null,
  ) {}

  /** Violations found so far. */
  get violations(): readonly Violation[] {
    return this.checker.violations;
  }

  /** Number of completed operations of each kind. */
  get operations(): ReadonlyMap<string, number> {
    return this.operationCounts;
  }

  /** Number of injected faults of each kind. */
  get faults(): ReadonlyMap<string, number> {
    return this.faultCounts;
  }

  /** Records an event and passes it to the checker. */
  record(event: HistoryEvent): void {
    this.note(event);
    for (const violation of this.checker.check(event)) {
      this.note({ violation });
    }
  }

  /** Counts a completed operation. */
  count(operation: string): void {
    this.operationCounts.set(operation, (this.operationCounts.get(operation) ?? 0) + 1);
  }

  /** Records the start of a fault. */
  fault(kind: string, detail: string): void {
    this.faultCounts.set(kind, (this.faultCounts.get(kind) ?? 0) + 1);
    this.note({ fault: kind, detail, at: this.time.now });
  }

  /** Adds a fact to the trace without checking it. */
  note(fact: unknown): void {
    const line = JSON.stringify(fact);
    this.lines.push(line);
    if (this.lines.length >= LINES_PER_UPDATE) {
      this.updateHash();
    }
    this.trace?.(line);
  }

  /** Ends the history and returns the hash of the trace. */
  finish(): string {
    this.checker.finish(this.time.now);
    this.updateHash();
    return this.hash.digest('hex').slice(0, HASH_LENGTH);
  }

  private updateHash(): void {
    this.hash.update(this.lines.join(''));
    this.lines = [];
  }
}
