/**
 * What upstreams say of themselves. An id stands for one run of a server: once it leaves it stays leaving, and once it
 * is gone a late word of it changes nothing.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import type { UpstreamDefinition } from '../../model/service.js';
import type { Transaction } from '../registry-state.js';
import type { AnnouncementCommand, CommandResult, LeaderCommand } from '../types.js';
import { accepted } from './results.js';

type Announce = Extract<AnnouncementCommand, { type: 'upstream-announce' }>;
type Withdraw = Extract<AnnouncementCommand, { type: 'upstream-withdraw' }>;
type Forget = Extract<LeaderCommand, { type: 'upstream-forget' }>;

/** Takes in an upstream, or notes that it leaves. */
export function announceUpstream(transaction: Transaction, { definition }: Announce): CommandResult {
  const { state, revision } = transaction;
  const { id } = definition;
  const before = state.upstreams.get(id);
  if (state.departed.has(id) || (before !== undefined && !leavesNow(before.definition, definition))) {
    return accepted(transaction);
  }
  if (before === undefined) {
    forgetAtAddress(transaction, definition);
  }
  transaction.putUpstream(id, { definition, revision, incarnation: id });
  return accepted(transaction);
}

/** Notes that an upstream takes no new work; it may still answer what it has. */
export function withdrawUpstream(transaction: Transaction, { upstream }: Withdraw): CommandResult {
  const { state, revision } = transaction;
  const before = state.upstreams.get(upstream);
  if (before === undefined) {
    state.departed.add(upstream, revision);
  } else if (!before.definition.leaving) {
    const definition = { ...before.definition, leaving: true };
    transaction.putUpstream(upstream, { ...before, definition, revision });
  }
  return accepted(transaction);
}

/** Drops upstreams that are gone for good. */
export function forgetUpstreams(transaction: Transaction, { upstreams }: Forget): CommandResult {
  for (const upstream of upstreams) {
    forget(transaction, upstream);
  }
  return accepted(transaction);
}

function leavesNow(before: UpstreamDefinition, after: UpstreamDefinition): boolean {
  return after.leaving && !before.leaving;
}

/** An address serves one run at a time: a new one there proves that the one before has ended. */
function forgetAtAddress(transaction: Transaction, { address }: UpstreamDefinition): void {
  for (const { definition } of [...transaction.state.upstreams.values()]) {
    if (definition.address === address && definition.announced !== undefined) {
      forget(transaction, definition.id);
    }
  }
}

function forget(transaction: Transaction, upstream: UpstreamId): void {
  const { state, revision } = transaction;
  if (state.upstreams.get(upstream)?.definition.announced !== undefined) {
    state.departed.add(upstream, revision);
    transaction.putUpstream(upstream, null);
  }
}
