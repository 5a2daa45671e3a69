/**
 * Joins the Raft core with the registry: proposals answer with what the registry made of them, reads answer once the
 * registry holds what they may see.
 */
import type {
  LogEntry,
  PersistRequest,
  RaftCore,
  RaftEffect,
  RaftInput,
  RaftMessage,
  RaftStatus,
} from '../consensus/types.js';
import type { Address, MonotonicMillis, Revision, Term } from '../model/identifiers.js';
import type { CommandEnvelope, CommandResult, Registry, RegistryChange } from '../registry/types.js';

/** What became of a proposal. */
export type ProposalOutcome =
  | { readonly type: 'applied'; readonly result: CommandResult; readonly revision: Revision }
  /** Nothing was changed and nothing will be. */
  | { readonly type: 'not-leader' }
  | { readonly type: 'rejected'; readonly reason: string }
  /** The change may or may not be made later. */
  | { readonly type: 'unknown' };

export type SettleProposal = (outcome: ProposalOutcome, now: MonotonicMillis) => void;
/** `true`: linearizable as of the request. `false`: no leader confirmed it. */
export type SettleRead = (confirmed: boolean, now: MonotonicMillis) => void;

/** What the adapter hands to the control node. */
export interface RaftListener {
  sendPeer(message: RaftMessage): void;
  persist(request: PersistRequest): void;
  applied(changes: readonly RegistryChange[], now: MonotonicMillis): void;
  /** The registry was replaced by that of a snapshot. */
  restored(now: MonotonicMillis): void;
  roleChanged(now: MonotonicMillis): void;
}

type MembershipInput = Extract<
  RaftInput,
  { readonly type: 'add-learner' | 'change-voters' | 'remove-learner' }
>;
/** A membership change without the number that the adapter gives it. */
export type MembershipProposal = MembershipInput extends infer Input
  ? Input extends MembershipInput
    ? Omit<Input, 'proposalId'>
    : never
  : never;

interface AcceptedProposal {
  readonly term: Term;
  readonly settle: SettleProposal;
}
interface PendingRead {
  readonly expiresAt: MonotonicMillis;
  readonly settle: SettleRead;
}
interface WaitingRead {
  readonly index: Revision;
  readonly settle: SettleRead;
}

export interface RaftAdapterParts {
  readonly raft: RaftCore;
  readonly registry: Registry;
  readonly decodeRegistry: (bytes: Uint8Array) => Registry;
  readonly listener: RaftListener;
  /** Reads which take longer count as failed. */
  readonly readTimeoutMillis: number;
}

/**
 * Bytes of entries that one step applies; what is left waits for the next step. Entries of many grants come in bursts,
 * and a leader that applied a whole burst at once would miss its heartbeats.
 */
const BYTES_APPLIED_PER_STEP = 64 * 1024;

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const ACCEPTED_MEMBERSHIP: CommandResult = { type: 'accepted', revision: 0 };

export class RaftAdapter {
  readonly #parts: RaftAdapterParts;
  readonly #inputs: RaftInput[] = [];
  readonly #proposed = new Map<number, SettleProposal>();
  readonly #accepted = new Map<Revision, AcceptedProposal>();
  readonly #reads = new Map<number, PendingRead>();
  #waitingReads: WaitingRead[] = [];
  /** Committed entries that the registry hasn't taken yet. */
  #committed: LogEntry[] = [];
  #bytesLeft = 0;
  #lastRunAt: MonotonicMillis = 0;
  #registry: Registry;
  #nextNumber = 1;
  #term: Term;

  constructor(parts: RaftAdapterParts) {
    this.#parts = parts;
    this.#registry = parts.registry;
    this.#term = parts.raft.status().term;
  }

  get registry(): Registry {
    return this.#registry;
  }

  status(): RaftStatus {
    return this.#parts.raft.status();
  }

  isLeader(): boolean {
    return this.status().role === 'leader';
  }

  /** Address of the leader's internal port, if there is one that is known. */
  leaderAddress(): Address | null {
    const { leader, membership } = this.status();
    return leader === null ? null : (membership.addresses[leader] ?? null);
  }

  /** Queues an input for the Raft core; `run` hands it over. */
  feed(input: RaftInput): void {
    this.#inputs.push(input);
  }

  propose(envelope: CommandEnvelope, settle: SettleProposal): void {
    const proposalId = this.#number();
    this.#proposed.set(proposalId, settle);
    this.feed({ type: 'propose', proposalId, data: encoder.encode(JSON.stringify(envelope)) });
  }

  /** Settled when the change's entry is applied; a joint change is then still under way. */
  proposeMembership(proposal: MembershipProposal, settle: SettleProposal): void {
    const proposalId = this.#number();
    this.#proposed.set(proposalId, settle);
    this.feed({ ...proposal, proposalId });
  }

  /** A linearizable read: settled when this member's registry holds all that was committed when it was asked for. */
  read(now: MonotonicMillis, settle: SettleRead): void {
    const readId = this.#number();
    this.#reads.set(readId, { expiresAt: now + this.#parts.readTimeoutMillis, settle });
    this.feed({ type: 'read', readId });
  }

  /** A step of the control node begins: entries may be applied up to the bound. */
  beginStep(): void {
    this.#bytesLeft = BYTES_APPLIED_PER_STEP;
  }

  /** Hands queued inputs to the Raft core until nothing is left to do. Returns whether there was any. */
  run(now: MonotonicMillis): boolean {
    this.#lastRunAt = now;
    this.#expireReads(now);
    let busy = this.#applyCommitted(now);
    for (let input = this.#inputs.shift(); input !== undefined; input = this.#inputs.shift()) {
      busy = true;
      for (const effect of this.#parts.raft.step(input, now)) {
        this.#handle(effect, now);
      }
    }
    return busy;
  }

  nextDeadline(): MonotonicMillis {
    if (this.#committed.length > 0) {
      return this.#lastRunAt;
    }
    const expiries = [...this.#reads.values()].map((read) => read.expiresAt);
    return Math.min(this.#parts.raft.nextDeadline(), ...expiries);
  }

  #number(): number {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    return number;
  }

  #handle(effect: RaftEffect, now: MonotonicMillis): void {
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
        this.#applyCommitted(now);
        break;
      case 'restore':
        this.#committed = [];
        this.#registry = this.#parts.decodeRegistry(effect.snapshot.data);
        this.#loseAccepted(effect.snapshot.lastIndex, now);
        listener.restored(now);
        this.#releaseReads(now);
        break;
      case 'proposal-accepted':
        this.#noteAccepted(effect.proposalId, effect.index, effect.term);
        break;
      case 'proposal-rejected':
        this.#noteRejected(effect.proposalId, effect.reason, now);
        break;
      case 'read-ready':
        this.#noteReadReady(effect.readId, effect.index, now);
        break;
      case 'read-failed':
        this.#failRead(effect.readId, now);
        break;
      case 'role-changed':
        if (effect.role !== 'leader' || effect.term !== this.#term) {
          this.#loseAccepted(Number.POSITIVE_INFINITY, now);
        }
        this.#term = effect.term;
        listener.roleChanged(now);
        break;
    }
  }

  /** Applies what the bound of this step lets through; returns whether there was anything. */
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
      this.#releaseReads(now);
    }
    return count > 0;
  }

  #settleApplied(entry: LogEntry, now: MonotonicMillis): void {
    const result = this.#applyEntry(entry, now);
    const accepted = this.#accepted.get(entry.index);
    this.#accepted.delete(entry.index);
    const isOurs = accepted?.term === entry.term;
    accepted?.settle(isOurs ? { type: 'applied', result, revision: entry.index } : { type: 'unknown' }, now);
  }

  #applyEntry(entry: LogEntry, now: MonotonicMillis): CommandResult {
    if (entry.kind !== 'command') {
      this.#registry.advance(entry.index);
      return ACCEPTED_MEMBERSHIP;
    }
    const envelope = JSON.parse(decoder.decode(entry.data)) as CommandEnvelope;
    const { result, changes } = this.#registry.apply(entry.index, envelope);
    this.#parts.listener.applied(changes, now);
    return result;
  }

  #noteAccepted(proposalId: number, index: Revision, term: Term): void {
    const settle = this.#proposed.get(proposalId);
    this.#proposed.delete(proposalId);
    if (settle !== undefined) {
      this.#accepted.set(index, { term, settle });
    }
  }

  #noteRejected(proposalId: number, reason: string, now: MonotonicMillis): void {
    const settle = this.#proposed.get(proposalId);
    this.#proposed.delete(proposalId);
    settle?.(reason === 'not-leader' ? { type: 'not-leader' } : { type: 'rejected', reason }, now);
  }

  /** Nothing more is heard of proposals up to `index`: their entries are in a snapshot, or another leader decides. */
  #loseAccepted(index: Revision, now: MonotonicMillis): void {
    for (const [accepted, proposal] of [...this.#accepted]) {
      if (accepted <= index) {
        this.#accepted.delete(accepted);
        proposal.settle({ type: 'unknown' }, now);
      }
    }
  }

  #noteReadReady(readId: number, index: Revision, now: MonotonicMillis): void {
    const read = this.#reads.get(readId);
    this.#reads.delete(readId);
    if (read !== undefined) {
      this.#waitingReads.push({ index, settle: read.settle });
      this.#releaseReads(now);
    }
  }

  #releaseReads(now: MonotonicMillis): void {
    const { revision } = this.#registry;
    const ready = this.#waitingReads.filter((read) => read.index <= revision);
    this.#waitingReads = this.#waitingReads.filter((read) => read.index > revision);
    for (const read of ready) {
      read.settle(true, now);
    }
  }

  #failRead(readId: number, now: MonotonicMillis): void {
    const read = this.#reads.get(readId);
    this.#reads.delete(readId);
    read?.settle(false, now);
  }

  #expireReads(now: MonotonicMillis): void {
    for (const [readId, read] of [...this.#reads]) {
      if (now >= read.expiresAt) {
        this.#failRead(readId, now);
      }
    }
  }
}
