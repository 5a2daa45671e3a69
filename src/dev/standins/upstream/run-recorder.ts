/** Records the runs of one stand-in upstream in its journal. */
import type { IncomingMessage } from 'node:http';
import type { JournalWriter } from '../../journal/journal-writer.js';
import { machineMillis } from '../../journal/machine-clock.js';
import type { RunEndRecord, RunStartRecord } from '../../journal/records.js';
import { CALLER_REQUEST_HEADER } from '../answer-body.js';

/** Fields common to all records of one upstream. */
export interface UpstreamIdentity {
  readonly process: string;
  readonly upstream: string;
  readonly incarnation: string;
  readonly service: string;
}

export type RunEndKind = RunEndRecord['end'];

/** What is recorded of the request of a run. */
export type RunFacts = Pick<
  RunStartRecord,
  'request' | 'routerRequest' | 'key' | 'idempotencyKey' | 'shard' | 'epoch'
>;

/** Value of a header that stands once in a request; `null` otherwise. */
export function headerOf(request: IncomingMessage, name: string): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}

/** Returns the caller's own id of a request: from its target, or from a header where targets must be identical. */
export function callerRequestOf(request: IncomingMessage): string {
  const query = new URL(request.url ?? '/', 'http://upstream').searchParams;
  return query.get('request') ?? headerOf(request, CALLER_REQUEST_HEADER) ?? '';
}

/** Numbers runs and writes their records. */
export class RunRecorder {
  readonly #identity: UpstreamIdentity;
  readonly #journal: JournalWriter;
  #runCount = 0;

  constructor(identity: UpstreamIdentity, journal: JournalWriter) {
    this.#identity = identity;
    this.#journal = journal;
  }

  /** Records that the request was admitted. Returns the number of the run. */
  start(facts: RunFacts): number {
    this.#runCount += 1;
    this.#journal.write({
      type: 'run-start',
      ...this.#base(this.#runCount, machineMillis()),
      service: this.#identity.service,
      ...facts,
    });
    return this.#runCount;
  }

  /** Records that the run took effect at `at`, a time read before the fence confirmed the effect. */
  effect(run: number, at: number): void {
    this.#journal.write({ type: 'run-effect', ...this.#base(run, at) });
  }

  end(run: number, end: RunEndKind, workMillis: number): void {
    this.#journal.write({ type: 'run-end', ...this.#base(run, machineMillis()), end, workMillis });
  }

  #base(run: number, at: number) {
    const { process, upstream, incarnation } = this.#identity;
    return { at, wall: Date.now(), process, upstream, incarnation, run };
  }
}
