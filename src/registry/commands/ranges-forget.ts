/** Forgets the ranges of a removed service once no upstream can hold them any more. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand } from '../types.js';
import { acceptedIfAny } from './results.js';

type RangesForget = Extract<LeaderCommand, { type: 'ranges-forget' }>;

export function forgetRanges(transaction: Transaction, { service, retiredAt }: RangesForget): CommandResult {
  const isForgotten = transaction.state.ranges.forgetRetired(service, retiredAt);
  return acceptedIfAny(transaction, isForgotten ? 1 : 0);
}
