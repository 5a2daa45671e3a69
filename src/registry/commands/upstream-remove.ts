/** Removes an upstream that owns nothing. An upstream that owns keys may still serve them under its lease, so it must drain first. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, OperatorCommand } from '../types.js';
import { accepted, checkExpected, invalid, NOT_FOUND } from './results.js';
import { cancelMovesTo } from './shard-changes.js';

type UpstreamRemove = Extract<OperatorCommand, { type: 'upstream-remove' }>;

export function removeUpstream(transaction: Transaction, command: UpstreamRemove): CommandResult {
  const { state } = transaction;
  const { upstream } = command;
  const record = state.upstreams.get(upstream);
  const mismatch = checkExpected(command.expected, record);
  if (mismatch !== undefined) {
    return mismatch;
  }
  if (record === undefined) {
    return NOT_FOUND;
  }
  const owned = state.shards.ownedBy(upstream).size;
  if (owned > 0) {
    return invalid(`upstream: ${upstream} owns ${owned} shards; drain it first`);
  }
  if (state.ranges.mayHoldKeys(upstream)) {
    return invalid(
      `upstream: ${upstream} may hold ranges of keys; drain it first, or wait if their service is gone`,
    );
  }
  cancelMovesTo(transaction, upstream);
  transaction.putUpstream(upstream, null);
  return accepted(transaction);
}
