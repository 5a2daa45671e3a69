/** Grants unowned shards. Each grant is checked separately and skipped if its conditions don't hold. */
import type { RegistryState, Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand } from '../types.js';
import { acceptedIfAny } from './results.js';
import { mayOwn } from './shard-changes.js';

type GrantBatch = Extract<LeaderCommand, { type: 'grant-batch' }>;
type Grant = GrantBatch['grants'][number];

export function grantShards(transaction: Transaction, command: GrantBatch): CommandResult {
  const { state, revision } = transaction;
  let granted = 0;
  for (const grant of command.grants) {
    if (mayGrant(state, grant)) {
      const { shard, to: owner, incarnation } = grant;
      transaction.putShard(shard, { shard, owner, incarnation, epoch: revision, movingTo: null, revision });
      granted += 1;
    }
  }
  return acceptedIfAny(transaction, granted);
}

function mayGrant(state: RegistryState, grant: Grant): boolean {
  const parts = state.shards.currentParts(grant.shard);
  const upstream = state.upstreams.get(grant.to);
  if (parts === undefined || upstream === undefined) {
    return false;
  }
  // An owner under the previous key map may still serve keys of this shard.
  if (state.shards.retiredOwned(parts.service).size > 0) {
    return false;
  }
  const record = state.shards.get(grant.shard);
  const isFree = (record?.owner ?? null) === null && (record?.epoch ?? 0) === grant.expectedEpoch;
  const inSession = upstream.incarnation !== null && upstream.incarnation === grant.incarnation;
  return isFree && inSession && mayOwn(state, upstream, parts);
}
