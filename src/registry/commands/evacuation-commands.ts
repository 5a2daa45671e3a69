/** Starts and ends the evacuation of a zone. A command whose effect is already in place changes nothing. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, EvacuationCommand } from '../types.js';
import { accepted } from './results.js';

type EvacuationStart = Extract<EvacuationCommand, { readonly type: 'evacuation-start' }>;
type EvacuationEnd = Extract<EvacuationCommand, { readonly type: 'evacuation-end' }>;

/** A repeated command keeps the start time of the first one. */
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
