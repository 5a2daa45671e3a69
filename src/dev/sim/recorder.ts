/** Takes what happens in a simulation: judges it at once, counts it, and folds it into the hash of the run's trace. */
import { createHash } from 'node:crypto';
import { Checker } from '../checker/checker.js';
import type { HistoryEvent } from '../checker/history.js';
import type { Violation } from '../checker/rule.js';
import type { EventQueue } from '../virtual/event-queue.js';

/** Characters of a trace hash that are shown. */
const HASH_LENGTH = 16;

export class Recorder {
  readonly checker = new Checker();
  private readonly hash = createHash('sha256');
  private readonly counted = new Map<string, number>();
  private readonly injected = new Map<string, number>();

  /** `trace` takes each line of the trace; `null`: none is kept. */
  constructor(
    private readonly time: EventQueue,
    private readonly trace: ((line: string) => void) | null,
  ) {}

  /** Violations found so far. */
  get violations(): readonly Violation[] {
    return this.checker.violations;
  }

  /** Operations of each kind that completed. */
  get operations(): ReadonlyMap<string, number> {
    return this.counted;
  }

  /** Faults of each kind that were injected. */
  get faults(): ReadonlyMap<string, number> {
    return this.injected;
  }

  /** Something that the checker judges. */
  record(event: HistoryEvent): void {
    this.note(event);
    for (const violation of this.checker.take(event)) {
      this.note({ violation });
    }
  }

  /** An operation completed. */
  count(operation: string): void {
    this.counted.set(operation, (this.counted.get(operation) ?? 0) + 1);
  }

  /** A fault begins. */
  fault(kind: string, detail: string): void {
    this.injected.set(kind, (this.injected.get(kind) ?? 0) + 1);
    this.note({ fault: kind, detail, at: this.time.now });
  }

  /** Something for the trace alone. */
  note(fact: unknown): void {
    const line = JSON.stringify(fact);
    this.hash.update(line);
    this.trace?.(line);
  }

  /** The history is over. */
  finish(): string {
    this.checker.finish(this.time.now);
    return this.hash.digest('hex').slice(0, HASH_LENGTH);
  }
}
