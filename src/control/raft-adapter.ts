/**
 * Connects the Raft core with the registry: a proposal is settled with the result of the registry, a read once the
 * registry contains everything that was committed when the read began.
 */
import type {
  LogEntry,
  PersistRequest,
  RaftCore,
  RaftDetails,
  RaftEffect,
  RaftInput,
  RaftMessage,
  RaftStatus,
  RoleEvidence,
} from '../consensus/types.js';
import { toError } from '../errors/ternmount-error.js';
import type { Address, MonotonicMillis, Revision, Term } from '../model/identifiers.js';
import type { CommandEnvelope, CommandResult, Registry, RegistryChange } from '../registry/types.js';
import { LinearizableReads, type SettleRead } from './linearizable-reads.js';
import { PendingProposals, type SettleProposal } from './pending-proposals.js';

/** Callbacks of the adapter to the control node. */
export interface RaftListener {
  sendPeer(message: RaftMessage): void;
  persist(request: PersistRequest): void;
  applied(changes: readonly RegistryChange[], now: MonotonicMillis): void;
  /** An entry was given up, on every member alike; `type` is that of its command. */
  entryFailed(index: Revision, type: string, fault: Error): void;
  /** Called after the registry was replaced by the one in a snapshot of this many bytes. */
  restored(snapshotBytes: number): void;
  roleChanged(evidence: RoleEvidence, now: MonotonicMillis): void;
  /** This leader asked another voter to take over, because its own disk hangs. */
  handedOver(handover: DiskHandover, now: MonotonicMillis): void;
}

export type DiskHandover = Extract<RaftEffect, { readonly type: 'handed-over' }>;

type MembershipInput = Extract<
  RaftInput,
  { readonly type: 'add-learner' | 'change-voters' | 'remove-learner' }
>;
/** A membership change without the proposal id, which the adapter assigns. */
export type MembershipProposal = MembershipInput extends infer Input
  ? Input extends MembershipInput
    ? Omit<Input, 'proposalId'>
    : never
  : never;

export interface RaftAdapterParts {
  readonly raft: RaftCore;
  readonly registry: Registry;
  readonly decodeRegistry: (bytes: Uint8Array) => Registry;
  readonly listener: RaftListener;
  /** Time after which a read fails. */
  readonly readTimeoutMillis: number;
}

/**
 * Bytes of entries after which a step applies no more; the rest waits for the next step. Entries of many grants come in bursts,
 * and a leader that applied a whole burst at once would miss its heartbeats.
 */
const BYTES_APPLIED_PER_STEP = 64 * 1024;

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const ACCEPTED_MEMBERSHIP: CommandResult = { type: 'accepted', revision: 0 };

export class RaftAdapter {
  readonly #parts: RaftAdapterParts;
  readonly #inputs: RaftInput[] = [];
  readonly #proposals = new PendingProposals();
  readonly #reads: LinearizableReads;
  /** Committed entries that aren't applied to the registry yet. */
  #committed: LogEntry[] = [];
  #bytesLeft = 0;
  #lastRunAt: MonotonicMillis = 0;
  #registry: Registry;
  #nextNumber = 1;
  #appliedEntries = 0;
  #appliedBytes = 0;
  #term: Term;

  constructor(parts: RaftAdapterParts) {
    this.#parts = parts;
    this.#registry = parts.registry;
    this.#reads = new LinearizableReads(parts.readTimeoutMillis);
    this.#term = parts.raft.status().term;
  }

  get registry(): Registry {
    return this.#registry;
  }

  /** Number of entries applied since the start. */
  get appliedEntries(): number {
    return this.#appliedEntries;
  }

  /** Bytes of the entries applied since the start. */
  get appliedBytes(): number {
    return this.#appliedBytes;
  }

  status(): RaftStatus {
    return this.#parts.raft.status();
  }

  details(): RaftDetails {
    return this.#parts.raft.details();
  }

  isLeader(): boolean {
    return this.status().role === 'leader';
  }

  /** Returns the address of the leader's internal port; `null`: no leader is known, or its address isn't. */
  leaderAddress(): Address | null {
    const { leader, membership } = this.status();
    return leader === null ? null : (membership.addresses[leader] ?? null);
  }

  /** Returns where to send a request that this member can't carry out: the leader's address, but `null` if that is this member. */
  otherLeaderAddress(): Address | null {
    return this.isLeader() ? null : this.leaderAddress();
  }

  /** Returns the addresses of the internal ports of all voters, sorted. */
  voterAddresses(): Address[] {
    const { voters, addresses } = this.status().membership;
    return voters.flatMap((voter) => addresses[voter] ?? []).sort();
  }

  /** Queues an input for the Raft core; `run` passes it on. */
  feed(input: RaftInput): void {
    this.#inputs.push(input);
  }

  propose(envelope: CommandEnvelope, settle: SettleProposal, now: MonotonicMillis): void {
    const data = encodeEnvelope(envelope);
    if (data instanceof Error) {
      settle({ type: 'rejected', reason: `can't be written to the log: ${data.message}` }, now);
      return;
    }
    const proposalId = this.#takeNumber();
    this.#proposals.add(proposalId, settle, now);
    this.feed({ type: 'propose', proposalId, data });
  }

  /** Proposes a membership change. It is settled when its entry is applied; a joint change is then still under way. */
  proposeMembership(proposal: MembershipProposal, settle: SettleProposal): void {
    const proposalId = this.#takeNumber();
    this.#proposals.add(proposalId, settle, this.#lastRunAt);
    this.feed({ ...proposal, proposalId });
  }

  /**
   * Begins a linearizable read, which is settled when this member's registry contains everything that was committed at the call.
   * `mayWait`: the read sends no messages of its own and takes up to a heartbeat interval longer.
   */
  read(now: MonotonicMillis, settle: SettleRead, mayWait = false): void {
    const readId = this.#takeNumber();
    this.#reads.begin(readId, now, settle);
    this.feed({ type: 'read', readId, mayWait });
  }

  /** Called at the start of each step of the control node; resets the bound on applied bytes. */
  beginStep(): void {
    this.#bytesLeft = BYTES_APPLIED_PER_STEP;
  }

  /** Passes queued inputs to the Raft core until the queue is empty. Returns whether there was any work. */
  run(now: MonotonicMillis): boolean {
    this.#lastRunAt = now;
    this.#reads.expire(now);
    let busy = this.#applyCommitted(now);
    for (let input = this.#inputs.shift(); input !== undefined; input = this.#inputs.shift()) {
      busy = true;
      for (const effect of this.#parts.raft.step(input, now)) {
        this.#execute(effect, now);
      }
    }
    return busy;
  }

  nextDeadline(): MonotonicMillis {
    if (this.#committed.length > 0) {
      return this.#lastRunAt;
    }
    return Math.min(this.#parts.raft.nextDeadline(), this.#reads.nextDeadline());
  }

  #takeNumber(): number {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    return number;
  }

  #execute(effect: RaftEffect, now: MonotonicMillis): void {
    const { listener } = this.#parts;
    switch (effect.type) {
      case 'send':
        listener.sendPeer(effect.message);
        break;
      case 'persist':
        listener.persist(effect.request);
        break;
      case 'apply':
        this.#committed.push(...effect.entries);
        this.#recordCommitted(effect.entries, now);
        this.#applyCommitted(now);
        break;
      case 'restore':
        this.#committed = [];
        this.#registry = this.#parts.decodeRegistry(effect.snapshot.data);
        this.#proposals.abandon(effect.snapshot.lastIndex, now);
        listener.restored(effect.snapshot.data.byteLength);
        this.#reads.release(this.#registry.revision, now);
        break;
      case 'proposal-accepted':
        this.#proposals.accept(effect.proposalId, effect.index, effect.term);
        break;
      case 'proposal-rejected':
        this.#proposals.reject(effect.proposalId, effect.reason, now);
        break;
      case 'read-ready':
        this.#reads.confirm(effect.readId, effect.index, this.#registry.revision, now);
        break;
      case 'read-failed':
        this.#reads.fail(effect.readId, now);
        break;
      case 'role-changed':
        if (effect.role !== 'leader' || effect.term !== this.#term) {
          this.#proposals.abandon(Number.POSITIVE_INFINITY, now);
        }
        this.#term = effect.term;
        listener.roleChanged(effect.evidence, now);
        break;
      case 'handed-over':
        listener.handedOver(effect, now);
        break;
    }
  }

  #recordCommitted(entries: readonly LogEntry[], now: MonotonicMillis): void {
    for (const { index } of entries) {
      this.#proposals.recordCommitted(index, now);
    }
  }

  /** Applies committed entries up to the bound of this step; returns whether there were any. */
  #applyCommitted(now: MonotonicMillis): boolean {
    let count = 0;
    while (count < this.#committed.length && this.#bytesLeft > 0) {
      const entry = this.#committed[count] as LogEntry;
      this.#bytesLeft -= entry.data.length;
      count += 1;
      this.#settleApplied(entry, now);
    }
    if (count > 0) {
      this.#committed = this.#committed.slice(count);
      this.#reads.release(this.#registry.revision, now);
    }
    return count > 0;
  }

  #settleApplied(entry: LogEntry, now: MonotonicMillis): void {
    this.#appliedEntries += 1;
    this.#appliedBytes += entry.data.length;
    const result = this.#applyEntry(entry, now);
    this.#proposals.recordApplied(entry.index, entry.term, result, now);
  }

  #applyEntry(entry: LogEntry, now: MonotonicMillis): CommandResult {
    if (entry.kind !== 'command') {
      this.#registry.advance(entry.index);
      return ACCEPTED_MEMBERSHIP;
    }
    const { listener } = this.#parts;
    const envelope = decodeEnvelope(entry.data);
    if (envelope instanceof Error) {
      this.#registry.advance(entry.index);
      listener.entryFailed(entry.index, 'unreadable', envelope);
      return { type: 'invalid', message: `the entry can't be read: ${envelope.message}` };
    }
    const { result, changes, fault } = this.#registry.apply(entry.index, envelope);
    if (fault !== undefined) {
      listener.entryFailed(entry.index, String(envelope.command?.type), fault);
    }
    listener.applied(changes, now);
    return result;
  }
}

function encodeEnvelope(envelope: CommandEnvelope): Uint8Array | Error {
  try {
    return encoder.encode(JSON.stringify(envelope));
  } catch (thrown) {
    return toError(thrown);
  }
}

function decodeEnvelope(data: Uint8Array): CommandEnvelope | Error {
  try {
    return JSON.parse(decoder.decode(data)) as CommandEnvelope;
  } catch (thrown) {
    return toError(thrown);
  }
}
