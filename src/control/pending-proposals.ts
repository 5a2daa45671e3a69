/** The proposals of one control member whose outcome is still unknown. */
import type { MonotonicMillis, Revision, Term } from '../model/identifiers.js';
import type { CommandResult } from '../registry/types.js';
import type { ProposalTimes } from './change-trace.js';

/** The outcome of a proposal. */
export type ProposalOutcome =
  | { readonly type: 'applied'; readonly result: CommandResult; readonly revision: Revision }
  /** Nothing was changed and nothing will be. */
  | { readonly type: 'not-leader' }
  | { readonly type: 'rejected'; readonly reason: string }
  /** The change may or may not be made later. */
  | { readonly type: 'unknown' };

/** Called once with the outcome of a proposal and, where available, the times of its stages. */
export type SettleProposal = (outcome: ProposalOutcome, now: MonotonicMillis, times?: ProposalTimes) => void;

/** A proposal that isn't settled yet. */
interface OpenProposal {
  times: ProposalTimes;
  readonly settle: SettleProposal;
}

/** A proposal that is in the log of the leader of `term` but isn't applied yet. */
interface AcceptedProposal extends OpenProposal {
  readonly term: Term;
}

export class PendingProposals {
  /** By the proposal id passed to the Raft core. */
  readonly #proposed = new Map<number, OpenProposal>();
  /** By the index in the log. */
  readonly #accepted = new Map<Revision, AcceptedProposal>();

  /** Adds a proposal under the id that the Raft core uses for it. */
  add(proposalId: number, settle: SettleProposal, now: MonotonicMillis): void {
    const times = { proposedAt: now, committedAt: null, appliedAt: null };
    this.#proposed.set(proposalId, { settle, times });
  }

  /** Records the index at which a proposal was appended to the log. */
  accept(proposalId: number, index: Revision, term: Term): void {
    const proposed = this.#proposed.get(proposalId);
    this.#proposed.delete(proposalId);
    if (proposed !== undefined) {
      this.#accepted.set(index, { ...proposed, term });
    }
  }

  /** Settles a proposal that the Raft core rejected. */
  reject(proposalId: number, reason: string, now: MonotonicMillis): void {
    const proposed = this.#proposed.get(proposalId);
    this.#proposed.delete(proposalId);
    const outcome: ProposalOutcome =
      reason === 'not-leader' ? { type: 'not-leader' } : { type: 'rejected', reason };
    proposed?.settle(outcome, now, proposed.times);
  }

  /** Records that the entry at `index` is committed; it may be applied later. */
  recordCommitted(index: Revision, now: MonotonicMillis): void {
    const accepted = this.#accepted.get(index);
    if (accepted !== undefined) {
      accepted.times = { ...accepted.times, committedAt: now };
    }
  }

  /** Settles the proposal at an applied entry. If the entry is of another term, it has replaced the proposal, whose outcome is then unknown. */
  recordApplied(index: Revision, term: Term, result: CommandResult, now: MonotonicMillis): void {
    const accepted = this.#accepted.get(index);
    this.#accepted.delete(index);
    if (accepted === undefined) {
      return;
    }
    const { settle } = accepted;
    const times = { ...accepted.times, appliedAt: now };
    const isOwnEntry = accepted.term === term;
    settle(isOwnEntry ? { type: 'applied', result, revision: index } : { type: 'unknown' }, now, times);
  }

  /** Settles proposals up to `index` as unknown: their entries are in a snapshot, or another leader decides about them. */
  abandon(index: Revision, now: MonotonicMillis): void {
    for (const [accepted, proposal] of [...this.#accepted]) {
      if (accepted <= index) {
        this.#accepted.delete(accepted);
        proposal.settle({ type: 'unknown' }, now, proposal.times);
      }
    }
  }
}
