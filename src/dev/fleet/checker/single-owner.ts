/**
 * At most one owner serves a key at any instant: once a higher epoch's owner has begun to serve a shard or key, no
 * other owner's lower epoch takes effect on it, and one epoch has one owner.
 */
import { type FleetHistory, groupBy, type Run } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

interface Moment {
  readonly at: number;
  readonly epoch: number;
  readonly owner: string;
  readonly kind: 'start' | 'effect';
}

function momentsOf(runs: readonly Run[]): Moment[] {
  const moments: Moment[] = [];
  for (const { start, effect } of runs) {
    if (start.epoch === null) {
      continue;
    }
    const owner = `${start.upstream}/${start.incarnation}`;
    moments.push({ at: start.at, epoch: start.epoch, owner, kind: 'start' });
    if (effect) {
      moments.push({ at: effect.at, epoch: start.epoch, owner, kind: 'effect' });
    }
  }
  return moments.sort((left, right) => left.at - right.at);
}

/** The first violation among the runs of one shard or key. */
function findViolation(name: string, runs: readonly Run[]): Violation | undefined {
  const ownerByEpoch = new Map<number, string>();
  let newest: Moment | undefined;
  for (const moment of momentsOf(runs)) {
    const { at, epoch, owner } = moment;
    const sameEpochOwner = ownerByEpoch.get(epoch) ?? owner;
    ownerByEpoch.set(epoch, sameEpochOwner);
    if (sameEpochOwner !== owner) {
      const message = `${name}: epoch ${epoch} has two owners, ${sameEpochOwner} and ${owner}`;
      return { promise: 'single-owner', message, at };
    }
    if (newest && epoch < newest.epoch && owner !== newest.owner && moment.kind === 'effect') {
      const message = `${name}: ${owner} (epoch ${epoch}) took effect after ${newest.owner} (epoch ${newest.epoch}) began`;
      return { promise: 'single-owner', message, at };
    }
    if (!newest || epoch > newest.epoch) {
      newest = moment;
    }
  }
  return undefined;
}

export function checkSingleOwner(history: FleetHistory): PromiseResult {
  const byShard = groupBy(history.runs, (run) => run.start.shard);
  const byKey = groupBy(history.runs, ({ start }) =>
    start.key === null ? null : `${start.service} key ${start.key}`,
  );
  const violations: Violation[] = [];
  for (const [name, runs] of [...byShard, ...byKey]) {
    const violation = findViolation(name, runs);
    if (violation) {
      violations.push(violation);
    }
  }
  return { promise: 'single-owner', checked: byShard.size, violations };
}
