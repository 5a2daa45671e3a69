/**
 * At most one owner serves a key at any instant: after the owner of a higher epoch started to serve a shard or key, no
 * other owner of a lower epoch takes effect on it, and one epoch has one owner.
 */
import { type FleetHistory, groupBy, type Run } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

interface OwnerEvent {
  readonly at: number;
  readonly epoch: number;
  readonly owner: string;
  readonly kind: 'start' | 'effect';
}

function ownerEventsOf(runs: readonly Run[]): OwnerEvent[] {
  const events: OwnerEvent[] = [];
  for (const { start, effect } of runs) {
    if (start.epoch === null) {
      continue;
    }
    const owner = `${start.upstream}/${start.incarnation}`;
    events.push({ at: start.at, epoch: start.epoch, owner, kind: 'start' });
    if (effect) {
      events.push({ at: effect.at, epoch: start.epoch, owner, kind: 'effect' });
    }
  }
  return events.sort((left, right) => left.at - right.at);
}

/** Returns the first violation among the runs of one shard or key. */
function findViolation(name: string, runs: readonly Run[]): Violation | undefined {
  const ownerByEpoch = new Map<number, string>();
  let newest: OwnerEvent | undefined;
  for (const event of ownerEventsOf(runs)) {
    const { at, epoch, owner } = event;
    const sameEpochOwner = ownerByEpoch.get(epoch) ?? owner;
    ownerByEpoch.set(epoch, sameEpochOwner);
    if (sameEpochOwner !== owner) {
      const message = `${name}: epoch ${epoch} has two owners, ${sameEpochOwner} and ${owner}`;
      return { promise: 'single-owner', message, at };
    }
    if (newest && epoch < newest.epoch && owner !== newest.owner && event.kind === 'effect') {
      const message = `${name}: ${owner} (epoch ${epoch}) took effect after ${newest.owner} (epoch ${newest.epoch}) began`;
      return { promise: 'single-owner', message, at };
    }
    if (!newest || epoch > newest.epoch) {
      newest = event;
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
