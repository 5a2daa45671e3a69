/** The replicated state machine: applies log entries in order and answers queries. */
import { toError } from '../errors/ternmount-error.js';
import type { LedgerRecord } from '../ledger/types.js';
import type { CrashSuspect, RequestFingerprint } from '../model/crash-suspect.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { Revision, ServiceName, ShardId, UpstreamId, WallMillis } from '../model/identifiers.js';
import type { KeyRange } from '../model/key-range.js';
import type { UpstreamDefinition } from '../model/service.js';
import { applyCommand } from './commands/index.js';
import { invalid } from './commands/results.js';
import { fingerprintOf, MAX_REQUEST_ID_LENGTH } from './dedup-table.js';
import { RegistryOrderError } from './errors.js';
import { routingDelta } from './queries/routing-delta.js';
import { routingSnapshot } from './queries/routing-snapshot.js';
import { type RegistryState, Transaction } from './registry-state.js';
import { encodeState } from './snapshot-codec.js';
import { SnapshotEncoder } from './snapshot-encoder.js';
import type {
  AppliedEntry,
  CommandEnvelope,
  DeclaredDocument,
  Registry,
  RegistryChange,
  RegistrySnapshotEncoder,
  RetiredRanges,
  RoutingDelta,
  RoutingSnapshot,
  ServiceRecord,
  ShardRecord,
  UpstreamRecord,
} from './types.js';
import { APPLIED_LIMITS, checkShape } from './validation/value-shape.js';

/** Minimum interval between removals of expired ledger and dedup entries, by the registry's clock. */
const SWEEP_INTERVAL_MILLIS = 1000;

const NO_CHANGES: readonly RegistryChange[] = [];

export class RegistryMachine implements Registry {
  constructor(private readonly state: RegistryState) {}

  get revision(): Revision {
    return this.state.revision;
  }

  /** Applies the entry at `index`. Throws `RegistryOrderError` if `index` isn't above the current revision. */
  apply(index: Revision, envelope: CommandEnvelope): AppliedEntry {
    this.advance(index);
    this.advanceClock(envelope.at);
    const problem = shapeProblemOf(envelope);
    if (problem !== null) {
      return { result: invalid(problem), changes: NO_CHANGES };
    }
    const { requestId } = envelope;
    return requestId === null ? this.applyNew(index, envelope) : this.applyOnce(index, requestId, envelope);
  }

  advance(index: Revision): void {
    if (index <= this.state.revision) {
      throw new RegistryOrderError(index, this.state.revision);
    }
    this.state.revision = index;
  }

  get recordCount(): number {
    const { services, upstreams, shards, ledger, dedup, suspects } = this.state;
    const declared = services.size + upstreams.size + shards.records().size;
    return declared + ledger.size + dedup.size + suspects.size;
  }

  encode(): Uint8Array {
    return encodeState(this.state);
  }

  beginEncode(): RegistrySnapshotEncoder {
    return new SnapshotEncoder(this.state);
  }

  services(): ReadonlyMap<ServiceName, ServiceRecord> {
    return this.state.services;
  }

  upstreams(): ReadonlyMap<UpstreamId, UpstreamRecord> {
    return this.state.upstreams;
  }

  shards(): ReadonlyMap<ShardId, ShardRecord> {
    return this.state.shards.records();
  }

  shardsOwnedBy(upstream: UpstreamId): ReadonlySet<ShardId> {
    return this.state.shards.ownedBy(upstream);
  }

  shardsMovingTo(upstream: UpstreamId): ReadonlySet<ShardId> {
    return this.state.shards.movingTo(upstream);
  }

  unownedShards(service: ServiceName): ReadonlySet<ShardId> {
    return this.state.shards.unowned(service);
  }

  retiredOwnedShards(service: ServiceName): ReadonlySet<ShardId> {
    return this.state.shards.retiredOwned(service);
  }

  ledgerRecord(service: ServiceName, key: string): LedgerRecord | undefined {
    return this.state.ledger.find(service, key);
  }

  ranges(service: ServiceName): readonly KeyRange[] {
    return this.state.ranges.rangesOf(service);
  }

  wasApplied(requestId: string): boolean {
    return this.state.dedup.find(requestId) !== undefined;
  }

  rangedServices(): Iterable<ServiceName> {
    return this.state.ranges.services();
  }

  retiredRanges(): ReadonlyMap<ServiceName, RetiredRanges> {
    return this.state.ranges.retired;
  }

  suspects(): readonly CrashSuspect[] {
    return this.state.suspects.all();
  }

  get suspectCount(): number {
    return this.state.suspects.size;
  }

  suspect(fingerprint: RequestFingerprint): CrashSuspect | undefined {
    return this.state.suspects.find(fingerprint);
  }

  evacuations(): readonly EvacuationRecord[] {
    return [...this.state.evacuations.values()];
  }

  isLeaving(definition: UpstreamDefinition): boolean {
    return this.state.isLeaving(definition);
  }

  isDeparted(upstream: UpstreamId, born?: WallMillis): boolean {
    return this.state.departed.has(upstream, born);
  }

  declaredDocument(): DeclaredDocument | null {
    return this.state.declared.document();
  }

  routingSnapshot(): RoutingSnapshot {
    return routingSnapshot(this.state);
  }

  routingDelta(from: Revision): RoutingDelta | undefined {
    return routingDelta(this.state, from);
  }

  /** Applies a command with a request id; a resend gets the result of the first application. */
  private applyOnce(index: Revision, requestId: string, envelope: CommandEnvelope): AppliedEntry {
    if (requestId.length > MAX_REQUEST_ID_LENGTH) {
      const result = invalid(`requestId: must be at most ${MAX_REQUEST_ID_LENGTH} characters`);
      return { result, changes: NO_CHANGES };
    }
    const { dedup, clock } = this.state;
    const fingerprint = fingerprintOf(envelope.command);
    const first = dedup.find(requestId);
    if (first === undefined) {
      const applied = this.applyNew(index, envelope);
      dedup.add({ requestId, fingerprint, at: clock, result: applied.result });
      return applied;
    }
    const isSame = first.fingerprint === fingerprint;
    const result = isSame ? first.result : invalid(`requestId: ${requestId} was used for another command`);
    return { result, changes: NO_CHANGES };
  }

  private applyNew(index: Revision, envelope: CommandEnvelope): AppliedEntry {
    const transaction = new Transaction(this.state, index);
    const { changes } = transaction;
    try {
      const result = applyCommand(transaction, envelope.command);
      return { result, changes };
    } catch (thrown) {
      const fault = toError(thrown);
      return { result: invalid(`can't be applied: ${fault.message}`), changes, fault };
    } finally {
      this.state.recent.add(index, changes);
    }
  }

  private advanceClock(at: number): void {
    const { state } = this;
    state.clock = Math.max(state.clock, Number.isFinite(at) ? at : 0);
    if (state.clock - state.sweptAt >= SWEEP_INTERVAL_MILLIS) {
      state.sweptAt = state.clock;
      state.ledger.expire(state.clock);
      state.dedup.expire(state.clock);
    }
  }
}

/** Returns why what an operator sent is too deep to be applied; `null` if it isn't. Members' own commands have fixed shapes. */
function shapeProblemOf({ requestId, command }: CommandEnvelope): string | null {
  if (requestId === null && command.type !== 'declaration-apply') {
    return null;
  }
  try {
    checkShape('command', command, APPLIED_LIMITS);
    return null;
  } catch (thrown) {
    return toError(thrown).message;
  }
}
