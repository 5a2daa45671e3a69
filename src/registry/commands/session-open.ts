/** Opens the session of a new incarnation of an upstream. It owns nothing; shards of the previous incarnation become unowned. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand } from '../types.js';
import { accepted, conflict, invalid, NOT_FOUND } from './results.js';
import { releaseAllOf } from './shard-changes.js';

type SessionOpen = Extract<LeaderCommand, { type: 'session-open' }>;

export function openSession(transaction: Transaction, command: SessionOpen): CommandResult {
  const { upstream, incarnation, previous } = command;
  const record = transaction.state.upstreams.get(upstream);
  if (record === undefined) {
    return NOT_FOUND;
  }
  if (typeof incarnation !== 'string' || incarnation === '') {
    return invalid('incarnation: must be text that is not empty');
  }
  if (record.incarnation === incarnation) {
    return accepted(transaction);
  }
  if (record.incarnation !== previous) {
    return conflict(record.revision);
  }
  releaseAllOf(transaction, upstream);
  transaction.putUpstream(upstream, { ...record, incarnation });
  return accepted(transaction);
}
