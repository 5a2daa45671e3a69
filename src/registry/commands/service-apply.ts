/** Declares a service or changes its declaration. */
import type { KeyspaceDefinition, ServiceDefinition } from '../../model/service.js';
import type { RegistryState, Transaction } from '../registry-state.js';
import type { CommandResult, OperatorCommand, ServiceRecord } from '../types.js';
import { fail } from '../validation/field-checks.js';
import { validateService } from '../validation/validate-service.js';
import { accepted, checkExpected } from './results.js';
import { setTarget } from './shard-changes.js';

type ServiceApply = Extract<OperatorCommand, { type: 'service-apply' }>;

export function applyService(transaction: Transaction, command: ServiceApply): CommandResult {
  const { state, revision } = transaction;
  const definition = validateService(command.definition);
  const before = state.services.get(definition.name);
  const mismatch = checkExpected(command.expected, before);
  if (mismatch !== undefined) {
    return mismatch;
  }
  checkUpstreamsStillFit(state, definition);
  const sameKeys = before !== undefined && sameKeyspaces(before.definition.keyspaces, definition.keyspaces);
  const record: ServiceRecord = {
    definition,
    revision,
    generation: sameKeys ? before.generation : revision,
  };
  transaction.putService(definition.name, record);
  state.ledger.setService(definition.name, definition.retentionMillis, state.clock);
  if (!sameKeys) {
    startGeneration(transaction, record);
  }
  return accepted(transaction);
}

/** Rejects the removal of a keyspace that an upstream lists in `mayHold`: that upstream could own nothing without any error. */
function checkUpstreamsStillFit(state: RegistryState, definition: ServiceDefinition): void {
  const names = new Set(definition.keyspaces.map((keyspace) => keyspace.name));
  for (const { definition: upstream } of state.upstreams.values()) {
    const missing = upstream.mayHold.find((name) => !names.has(name));
    if (upstream.service === definition.name && missing !== undefined) {
      fail('keyspaces', `upstream ${upstream.id} names ${missing} in mayHold`);
    }
  }
}

/** Compares keyspaces regardless of order, because a key's shard doesn't depend on it. */
function sameKeyspaces(one: readonly KeyspaceDefinition[], other: readonly KeyspaceDefinition[]): boolean {
  const byName = new Map(other.map((keyspace) => [keyspace.name, keyspace]));
  return one.length === other.length && one.every((keyspace) => sameKeyspace(keyspace, byName));
}

function sameKeyspace(
  keyspace: KeyspaceDefinition,
  others: ReadonlyMap<string, KeyspaceDefinition>,
): boolean {
  const other = others.get(keyspace.name);
  return (
    other !== undefined &&
    other.kind === keyspace.kind &&
    other.match === keyspace.match &&
    other.shards === keyspace.shards
  );
}

/** Shards of the previous generation remain while they have an owner, but can't move any more. */
function startGeneration(transaction: Transaction, record: ServiceRecord): void {
  for (const shard of transaction.state.shards.setKeyMap(record)) {
    if (shard.owner === null) {
      transaction.putShard(shard.shard, null);
    } else if (shard.movingTo !== null) {
      setTarget(transaction, shard, null);
    }
  }
}
