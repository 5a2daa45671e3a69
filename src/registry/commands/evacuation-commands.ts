/** Orders to use the upstreams of a zone no more, and to use them again. What is ordered already stays as it is. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, EvacuationCommand } from '../types.js';
import { accepted } from './results.js';

type EvacuationStart = Extract<EvacuationCommand, { readonly type: 'evacuation-start' }>;
type EvacuationEnd = Extract<EvacuationCommand, { readonly type: 'evacuation-end' }>;

/** An order that comes again keeps the time of the first one. */
export function startEvacuation(transaction: Transaction, { zone }: EvacuationStart): CommandResult {
  const { state, revision } = transaction;
  if (!state.evacuations.has(zone)) {
    transaction.putEvacuation(zone, { zone, since: state.clock, revision });
  }
  return accepted(transaction);
}

export function endEvacuation(transaction: Transaction, { zone }: EvacuationEnd): CommandResult {
  if (transaction.state.evacuations.has(zone)) {
    transaction.putEvacuation(zone, null);
  }
  return accepted(transaction);
}
