/** Deletes a service that no upstream serves. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, OperatorCommand } from '../types.js';
import { accepted, checkExpected, invalid, NOT_FOUND } from './results.js';

type ServiceDelete = Extract<OperatorCommand, { type: 'service-delete' }>;

export function deleteService(transaction: Transaction, command: ServiceDelete): CommandResult {
  const { state } = transaction;
  const { service } = command;
  const record = state.services.get(service);
  const mismatch = checkExpected(command.expected, record);
  if (mismatch !== undefined) {
    return mismatch;
  }
  if (record === undefined) {
    return NOT_FOUND;
  }
  for (const upstream of state.upstreams.values()) {
    if (upstream.definition.service === service) {
      return invalid(`service: upstream ${upstream.definition.id} still serves ${service}`);
    }
  }
  transaction.putService(service, null);
  state.ledger.closeService(service);
  for (const shard of state.shards.dropService(service)) {
    transaction.putShard(shard.shard, null);
  }
  return accepted(transaction);
}
