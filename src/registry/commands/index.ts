/** Dispatches commands to their modules. A rejected command changes nothing. */
import type { Transaction } from '../registry-state.js';
import type { Command, CommandResult } from '../types.js';
import { InvalidDefinitionError } from '../validation/field-checks.js';
import { clearSuspects, expireSuspects, noteCrashes, releaseQuarantine } from './crash-commands.js';
import { applyDeclaration } from './declaration-apply.js';
import { endEvacuation, startEvacuation } from './evacuation-commands.js';
import { grantShards } from './grant-batch.js';
import { claimKey } from './ledger-claim.js';
import { settleClaim } from './ledger-settle.js';
import { cancelMove } from './move-cancel.js';
import { startMoves } from './move-start.js';
import { applyPolicy } from './policy-apply.js';
import { updateRanges } from './range-update.js';
import { forgetRanges } from './ranges-forget.js';
import { invalid } from './results.js';
import { applyService } from './service-apply.js';
import { deleteService } from './service-delete.js';
import { endSession } from './session-end.js';
import { openSession } from './session-open.js';
import { moveShard } from './shard-move.js';
import { releaseShards } from './shard-release.js';
import { announceUpstream, forgetUpstreams, withdrawUpstream } from './upstream-announce.js';
import { applyUpstream } from './upstream-apply.js';
import { drainUpstream } from './upstream-drain.js';
import { removeUpstream } from './upstream-remove.js';

/** Applies a command. Invalid definitions from operators don't throw; they give an `invalid` result with the path of the field. */
export function applyCommand(transaction: Transaction, command: Command): CommandResult {
  try {
    return dispatch(transaction, command);
  } catch (thrown) {
    if (thrown instanceof InvalidDefinitionError) {
      return invalid(thrown.message);
    }
    throw thrown;
  }
}

function dispatch(transaction: Transaction, command: Command): CommandResult {
  switch (command.type) {
    case 'service-apply':
      return applyService(transaction, command);
    case 'service-delete':
      return deleteService(transaction, command);
    case 'policy-apply':
      return applyPolicy(transaction, command);
    case 'upstream-apply':
      return applyUpstream(transaction, command);
    case 'upstream-drain':
      return drainUpstream(transaction, command);
    case 'upstream-remove':
      return removeUpstream(transaction, command);
    case 'shard-move':
      return moveShard(transaction, command);
    case 'session-open':
      return openSession(transaction, command);
    case 'session-end':
      return endSession(transaction, command);
    case 'grant-batch':
      return grantShards(transaction, command);
    case 'move-start':
      return startMoves(transaction, command);
    case 'shard-release':
      return releaseShards(transaction, command);
    case 'move-cancel':
      return cancelMove(transaction, command);
    case 'declaration-apply':
      return applyDeclaration(transaction, command);
    case 'upstream-announce':
      return announceUpstream(transaction, command);
    case 'upstream-withdraw':
      return withdrawUpstream(transaction, command);
    case 'upstream-forget':
      return forgetUpstreams(transaction, command);
    case 'range-update':
      return updateRanges(transaction, command);
    case 'ranges-forget':
      return forgetRanges(transaction, command);
    case 'crashes-note':
      return noteCrashes(transaction, command);
    case 'suspects-clear':
      return clearSuspects(transaction, command);
    case 'suspects-expire':
      return expireSuspects(transaction, command);
    case 'evacuation-start':
      return startEvacuation(transaction, command);
    case 'evacuation-end':
      return endEvacuation(transaction, command);
    case 'quarantine-release':
      return releaseQuarantine(transaction, command);
    case 'ledger-claim':
      return claimKey(transaction, command);
    case 'ledger-settle':
      return settleClaim(transaction, command);
    default:
      return invalid('type: this release knows no such command');
  }
}
