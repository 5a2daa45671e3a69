/** Builders of journal records for checker tests. */
import type {
  AttemptRecord,
  FleetEventRecord,
  JournalRecord,
  RunEffectRecord,
  RunEndRecord,
  RunStartRecord,
} from '../../../src/dev/journal/records.js';

let runCount = 0;

/** Fields of a run; `null` for `effectAt` or `endAt` omits the record. */
export interface RunFixture extends Partial<Omit<RunStartRecord, 'type' | 'run'>> {
  readonly effectAt?: number | null;
  readonly endAt?: number | null;
}

/** Records of one run that starts at `at` (default 0) and by default takes effect and ends. */
export function run(fixture: RunFixture): JournalRecord[] {
  runCount += 1;
  const { effectAt, endAt, ...fields } = fixture;
  const start: RunStartRecord = {
    type: 'run-start',
    at: 0,
    wall: 0,
    process: 'up-1',
    upstream: 'up-1',
    incarnation: 'one',
    run: runCount,
    service: 'menuboard',
    request: `request-${runCount}`,
    routerRequest: `router-request-${runCount}`,
    key: null,
    idempotencyKey: null,
    shard: null,
    epoch: null,
    ...fields,
  };
  const { wall, process, upstream, incarnation } = start;
  const base = { wall, process, upstream, incarnation, run: start.run };
  const records: JournalRecord[] = [start];
  if (effectAt !== null) {
    const effect: RunEffectRecord = { type: 'run-effect', ...base, at: effectAt ?? start.at + 1 };
    records.push(effect);
  }
  if (endAt !== null) {
    const end: RunEndRecord = {
      type: 'run-end',
      ...base,
      at: endAt ?? start.at + 2,
      end: 'answered',
      workMillis: 2,
    };
    records.push(end);
  }
  return records;
}

/** Record of one attempt, by default answered whole. */
export function attempt(fields: Partial<Omit<AttemptRecord, 'type'>>): AttemptRecord {
  return {
    type: 'attempt',
    at: 10,
    wall: 0,
    caller: 'caller-1',
    service: 'menuboard',
    request: 'request',
    attempt: 1,
    router: 'router-1',
    key: null,
    idempotencyKey: null,
    repeatable: true,
    pipelined: false,
    scheduledAt: 0,
    sentAt: 0,
    verdict: 'whole',
    status: 200,
    outcome: null,
    reason: null,
    routerRequest: null,
    last: true,
    ...fields,
  };
}

/** Record of an action of the fleet runner at `at`. */
export function event(at: number, fields: DistributiveOmit<FleetEventRecord>): JournalRecord {
  return { type: 'fleet-event', at, wall: 0, ...fields } as FleetEventRecord;
}

type DistributiveOmit<Item> = Item extends unknown ? Omit<Item, 'type' | 'at' | 'wall'> : never;
