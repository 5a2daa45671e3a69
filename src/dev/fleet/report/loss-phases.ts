/** Phases of the time from the loss of an owner to its keys' new owner, from the control members' logs. */
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { FleetPlan } from '../fleet-plan.js';
import type { OwnerLoss } from '../observe/owner-loss-probe.js';

/** Milliseconds since the loss; `null` if not found in the logs. */
export interface LossPhases {
  /** When the leader committed the end of the owner's lease, after which its shards had no owner. */
  readonly leaseEndedMillis: number | null;
  /** When the last of its shards was granted again. */
  readonly grantedMillis: number | null;
}

/** Log record of a control member about a change of ownership. */
interface OwnershipLog {
  readonly time: string;
  readonly event: string;
  readonly upstream?: string;
  readonly incarnation?: string | null;
  readonly owned?: number;
  readonly unowned?: number;
}

const EVENTS = ['"upstream-changed"', '"shards-changed"'];
/** Log records later than this don't belong to the loss. */
const MAX_LOSS_MILLIS = 15_000;

/** Reads the ownership changes in the logs of all control members, in order of time. */
export function readOwnershipLogs(plan: FleetPlan): OwnershipLog[] {
  const lines = plan.control
    .map(({ folder }) => join(folder, 'log.jsonl'))
    .filter((file) => existsSync(file))
    .flatMap((file) => readFileSync(file, 'utf8').split('\n'))
    .filter((line) => EVENTS.some((event) => line.includes(event)));
  const records = lines.map((line) => JSON.parse(line) as OwnershipLog);
  return records.sort((left, right) => left.time.localeCompare(right.time));
}

/** Returns the phases of one loss. */
export function phasesOf(loss: OwnerLoss, logs: readonly OwnershipLog[]): LossPhases {
  const millisOf = ({ time }: OwnershipLog): number => Date.parse(time) - loss.wall;
  const after = logs.filter((log) => millisOf(log) >= 0 && millisOf(log) < MAX_LOSS_MILLIS);
  const end = after.find(
    ({ event, upstream, incarnation }) =>
      event === 'upstream-changed' && upstream === loss.upstream && incarnation === null,
  );
  if (end === undefined) {
    return { leaseEndedMillis: null, grantedMillis: null };
  }
  let ungranted = loss.shards;
  const granted = after.find((log) => {
    ungranted -= log.time >= end.time ? (log.owned ?? 0) : 0;
    return ungranted <= 0;
  });
  return {
    leaseEndedMillis: millisOf(end),
    grantedMillis: granted === undefined ? null : millisOf(granted),
  };
}
