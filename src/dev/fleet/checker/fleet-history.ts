/** Joins the records of a fleet's journals into runs and attempts. */
import type {
  AttemptRecord,
  ConstrainedArrivalRecord,
  ConstraintReportedRecord,
  FleetEventRecord,
  JournalRecord,
  RunEffectRecord,
  RunEndRecord,
  RunStartRecord,
} from '../../journal/records.js';

/** One execution of a request on one upstream. */
export interface Run {
  readonly start: RunStartRecord;
  /** `undefined` if the run had no effect. */
  effect?: RunEffectRecord;
  /** `undefined` if the process ended before the run. */
  end?: RunEndRecord;
}

/** Requests that reached constrained upstreams, and answers that reported the constraints. */
export type NeedRecord = ConstrainedArrivalRecord | ConstraintReportedRecord;

/** Records of a fleet, each list in order of time. */
export interface FleetHistory {
  readonly runs: readonly Run[];
  readonly attempts: readonly AttemptRecord[];
  readonly events: readonly FleetEventRecord[];
  readonly needs: readonly NeedRecord[];
}

type UpstreamRecord = RunStartRecord | RunEffectRecord | RunEndRecord;

function runId(record: UpstreamRecord): string {
  return `${record.upstream}|${record.incarnation}|${record.run}`;
}

/** Joins records, which can be in any order. */
export function buildHistory(records: readonly JournalRecord[]): FleetHistory {
  const ordered = [...records].sort((left, right) => left.at - right.at);
  const runs = new Map<string, Run>();
  const attempts: AttemptRecord[] = [];
  const events: FleetEventRecord[] = [];
  const needs: NeedRecord[] = [];
  for (const record of ordered) {
    if (record.type === 'run-start') {
      runs.set(runId(record), { start: record });
    } else if (record.type === 'attempt') {
      attempts.push(record);
    } else if (record.type === 'fleet-event') {
      events.push(record);
    } else if (record.type === 'needy-arrival' || record.type === 'need-said') {
      needs.push(record);
    }
  }
  for (const record of ordered) {
    const run = 'run' in record ? runs.get(runId(record)) : undefined;
    if (run && record.type === 'run-effect') {
      run.effect = record;
    } else if (run && record.type === 'run-end') {
      run.end = record;
    }
  }
  return { runs: [...runs.values()], attempts, events, needs };
}

/** Groups items by name; omits items without one. */
export function groupBy<Item>(
  items: readonly Item[],
  nameOf: (item: Item) => string | null,
): ReadonlyMap<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const name = nameOf(item);
    if (name === null) {
      continue;
    }
    const group = groups.get(name);
    if (group) {
      group.push(item);
    } else {
      groups.set(name, [item]);
    }
  }
  return groups;
}
