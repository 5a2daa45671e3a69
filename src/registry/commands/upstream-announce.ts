/**
 * Announcements of upstreams. Each refers to one run of a server, identified by its id and, if reported, by its start. A run that is
 * leaving stays leaving. After a run has ended, or a later run of its id is known, a late announcement of it changes nothing.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import { announcedRun, type UpstreamDefinition } from '../../model/service.js';
import type { Transaction } from '../registry-state.js';
import type { AnnouncementCommand, CommandResult, LeaderCommand, UpstreamRecord } from '../types.js';
import { accepted } from './results.js';

type Announce = Extract<AnnouncementCommand, { type: 'upstream-announce' }>;
type Withdraw = Extract<AnnouncementCommand, { type: 'upstream-withdraw' }>;
type Forget = Extract<LeaderCommand, { type: 'upstream-forget' }>;

/** Registers a run of an upstream, or records that it is leaving or that its warmup changed. */
export function announceUpstream(transaction: Transaction, { definition }: Announce): CommandResult {
  const { state } = transaction;
  const { id, announced } = definition;
  const before = state.upstreams.get(id);
  if (state.departed.has(id, announced?.born) || (before !== undefined && isEarlier(definition, before))) {
    return accepted(transaction);
  }
  if (before === undefined || isLater(definition, before)) {
    startRun(transaction, definition);
  } else {
    updateRun(transaction, before, definition);
  }
  return accepted(transaction);
}

/** Records that a run accepts no new work; it may still finish the requests it has. */
export function withdrawUpstream(transaction: Transaction, { upstream, born }: Withdraw): CommandResult {
  const { state, revision } = transaction;
  const before = state.upstreams.get(upstream);
  if (before === undefined) {
    state.departed.add(upstream, revision, born ?? null);
  } else if (!before.definition.leaving && !isBefore(born, before)) {
    const definition = { ...before.definition, leaving: true };
    transaction.putUpstream(upstream, { ...before, definition, revision });
  }
  return accepted(transaction);
}

/**
 * Removes upstreams that have ended permanently. An upstream that was granted keys after the command was proposed is kept: without a
 * record it would count as ended, and its keys as free.
 */
export function forgetUpstreams(transaction: Transaction, { upstreams }: Forget): CommandResult {
  for (const upstream of upstreams) {
    if (!transaction.state.ranges.mayHoldKeys(upstream)) {
      forget(transaction, upstream);
    }
  }
  return accepted(transaction);
}

/** Registers a new run. The previous run of its id has ended, as has any other run at the same address. */
function startRun(transaction: Transaction, definition: UpstreamDefinition): void {
  const { state, revision } = transaction;
  const { id } = definition;
  forgetAtAddress(transaction, definition);
  if (state.upstreams.has(id)) {
    transaction.noteAll(state.ranges.revokeOwner(id, revision));
  }
  transaction.putUpstream(id, { definition, revision, incarnation: announcedRun(definition) });
}

/** A run that is leaving stays leaving; its warmup may change. */
function updateRun(transaction: Transaction, before: UpstreamRecord, definition: UpstreamDefinition): void {
  const { revision } = transaction;
  const warmupMillis = definition.announced?.warmupMillis ?? 0;
  const leaves = definition.leaving && !before.definition.leaving;
  const announced = before.definition.announced;
  if (announced === undefined || (!leaves && warmupMillis === announced.warmupMillis)) {
    return;
  }
  const leaving = before.definition.leaving || leaves;
  const changed = { ...before.definition, leaving, announced: { ...announced, warmupMillis } };
  transaction.putUpstream(definition.id, { ...before, definition: changed, revision });
}

function isEarlier({ announced }: UpstreamDefinition, known: UpstreamRecord): boolean {
  return isBefore(announced?.born, known);
}

/** Whether `born` is the start of an earlier run than the known one. Without `born` the known run is assumed. */
function isBefore(born: number | undefined, { definition }: UpstreamRecord): boolean {
  const known = definition.announced?.born;
  return born !== undefined && known !== undefined && born < known;
}

function isLater({ announced }: UpstreamDefinition, { definition }: UpstreamRecord): boolean {
  const known = definition.announced?.born ?? Number.NEGATIVE_INFINITY;
  return announced?.born !== undefined && announced.born > known;
}

/** An address serves one run at a time, so a new run at an address proves that the previous one has ended. */
function forgetAtAddress(transaction: Transaction, { id, address }: UpstreamDefinition): void {
  for (const { definition } of [...transaction.state.upstreams.values()]) {
    const isOther = definition.id !== id && definition.address === address;
    if (isOther && definition.announced !== undefined) {
      forget(transaction, definition.id);
    }
  }
}

function forget(transaction: Transaction, upstream: UpstreamId): void {
  const { state, revision } = transaction;
  const announced = state.upstreams.get(upstream)?.definition.announced;
  if (announced !== undefined) {
    state.departed.add(upstream, revision, announced.born ?? null);
    transaction.putUpstream(upstream, null);
  }
}
