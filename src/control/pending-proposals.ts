/** Proposals of one control member, from when they are made until it is known what became of them. */
import type { MonotonicMillis, Revision, Term } from '../model/identifiers.js';
import type { CommandResult } from '../registry/types.js';

/** What became of a proposal. */
export type ProposalOutcome =
  | { readonly type: 'applied'; readonly result: CommandResult; readonly revision: Revision }
  /** Nothing was changed and nothing will be. */
  | { readonly type: 'not-leader' }
  | { readonly type: 'rejected'; readonly reason: string }
  /** The change may or may not be made later. */
  | { readonly type: 'unknown' };

/** Told once what became of a proposal. */
export type SettleProposal = (outcome: ProposalOutcome, now: MonotonicMillis) => void;

/** In the log of the leader of `term`, not applied yet. */
interface AcceptedProposal {
  readonly term: Term;
  readonly settle: SettleProposal;
}

export class PendingProposals {
  /** By the number under which the Raft core was given them. */
  readonly #proposed = new Map<number, SettleProposal>();
  /** By their index in the log. */
  readonly #accepted = new Map<Revision, AcceptedProposal>();

  /** Begins a proposal under the number by which the Raft core will name it. */
  begin(proposalId: number, settle: SettleProposal): void {
    this.#proposed.set(proposalId, settle);
  }

  /** The proposal has its place in the log. */
  accept(proposalId: number, index: Revision, term: Term): void {
    const settle = this.#proposed.get(proposalId);
    this.#proposed.delete(proposalId);
    if (settle !== undefined) {
      this.#accepted.set(index, { term, settle });
    }
  }

  /** The Raft core refused the proposal. */
  reject(proposalId: number, reason: string, now: MonotonicMillis): void {
    const settle = this.#proposed.get(proposalId);
    this.#proposed.delete(proposalId);
    settle?.(reason === 'not-leader' ? { type: 'not-leader' } : { type: 'rejected', reason }, now);
  }

  /** An entry was applied; one of another term stands where the proposal stood, whose fate is then unknown. */
  applied(index: Revision, term: Term, result: CommandResult, now: MonotonicMillis): void {
    const accepted = this.#accepted.get(index);
    this.#accepted.delete(index);
    const isOurs = accepted?.term === term;
    accepted?.settle(isOurs ? { type: 'applied', result, revision: index } : { type: 'unknown' }, now);
  }

  /** Nothing more is heard of proposals up to `index`: their entries are in a snapshot, or another leader decides. */
  lose(index: Revision, now: MonotonicMillis): void {
    for (const [accepted, proposal] of [...this.#accepted]) {
      if (accepted <= index) {
        this.#accepted.delete(accepted);
        proposal.settle({ type: 'unknown' }, now);
      }
    }
  }
}
