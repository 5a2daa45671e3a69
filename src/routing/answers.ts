/** Final answers. Each request leaves the router through here, once. */
import type { StoredAnswer } from '../ledger/types.js';
import type { Settlement } from './claim.js';
import type { ClaimFlow } from './claim-flow.js';
import { factsOf } from './decision-facts.js';
import { type LedgerWord, outcomeOf, statusOf } from './outcome-table.js';
import type { RouterContext } from './router-context.js';
import type { ArrivedRequest, AttemptResult, RefusalReason } from './types.js';
import type { Attempt, Member, Work } from './work.js';

export class Answers {
  constructor(
    private readonly context: RouterContext,
    private readonly claims: ClaimFlow,
  ) {}

  /** Answers a request that never became a work. */
  refuseArrival(
    request: ArrivedRequest,
    reason: RefusalReason,
    ledger: LedgerWord,
    retryAfterMillis: number | null,
  ): void {
    const outcome = outcomeOf({ ledger, mayHaveRun: false });
    const status = statusOf(reason, false);
    this.context.emit({
      type: 'refuse',
      request: request.request,
      status,
      outcome,
      reason,
      retryAfterMillis,
      facts: null,
    });
  }

  /** Answers one request; the others of its work go on. */
  refuse(member: Member, reason: RefusalReason, retryAfterMillis: number | null): void {
    this.emitRefusal(member, reason, retryAfterMillis);
    member.work.timedOut = member.work.timedOut || reason === 'deadline-passed';
    this.leave(member);
  }

  /** Answers all requests of a work. */
  refuseWork(work: Work, reason: RefusalReason, retryAfterMillis: number | null): void {
    for (const member of [...work.members]) {
      this.refuse(member, reason, retryAfterMillis);
    }
  }

  /** Answers all requests of a work that no upstream may get any more. What of it was not sent has not run, and won't. */
  refuseQuarantined(work: Work): void {
    const { fingerprint } = work.request;
    this.refuseWork(
      work,
      'quarantined',
      fingerprint == null ? null : this.context.crashes.retryAfter(fingerprint),
    );
  }

  /**
   * Hands the answer of an attempt to every request that waits for it; a personal one only to the request that was
   * sent. Gives those who got nothing; they wait for nothing any more.
   */
  deliver(work: Work, attempt: Attempt, result: AttemptResult & { readonly type: 'answered' }): Member[] {
    this.settle(work, { outcome: 'ran', answer: result.stored });
    const isTheirs = ({ request }: Member): boolean =>
      result.personal !== true || request.request === attempt.request.request;
    const others = work.members.filter((member) => !isTheirs(member));
    for (const member of others) {
      this.leave(member);
    }
    for (const member of [...work.members]) {
      this.context.emit({
        type: 'deliver',
        request: member.request.request,
        attempt: attempt.number,
      });
      this.leave(member);
    }
    return others;
  }

  /** Hands over what the ledger kept of an earlier arrival. */
  deliverStored(work: Work, answer: StoredAnswer): void {
    for (const member of [...work.members]) {
      this.context.emit({ type: 'deliver-stored', request: member.request.request, answer });
      this.leave(member);
    }
  }

  /** The caller is gone: nobody is answered. */
  abandon(member: Member): void {
    this.leave(member);
  }

  /** Settles the claim of a work, if it has one that is open. */
  settle(work: Work, settlement: Settlement): void {
    if (work.claim !== null) {
      this.claims.settle(work.claim, settlement);
    }
  }

  private emitRefusal(member: Member, reason: RefusalReason, retryAfterMillis: number | null): void {
    const { work } = member;
    const mayHaveRun = member.mayHaveRun || work.attempt !== null;
    const outcome = outcomeOf({ ledger: work.ledger, mayHaveRun });
    const status = statusOf(reason, mayHaveRun);
    const { request } = member.request;
    const facts = factsOf(work, this.context);
    work.tally.refused += 1;
    work.tally.gaveWay += reason === 'gave-way' ? 1 : 0;
    this.context.emit({ type: 'refuse', request, status, outcome, reason, retryAfterMillis, facts });
  }

  private leave(member: Member): void {
    const { work } = member;
    this.context.cancelTimer(member.deadlineTimer);
    member.deadlineTimer = null;
    this.context.members.delete(member.request.request);
    work.members.splice(work.members.indexOf(member), 1);
    if (work.members.length === 0) {
      this.end(work);
    }
  }

  /** Nobody waits for the work any more. */
  private end(work: Work): void {
    work.phase = 'done';
    this.context.cancelTimer(work.holdTimer);
    work.holdTimer = null;
    detach(work);
    if (work.attempt !== null) {
      this.cancelAttempt(work.attempt);
      this.settleByEnd(work);
      return;
    }
    this.settle(work, { outcome: work.mayHaveRun ? 'unknown' : 'not-run', answer: null });
  }

  /** How the attempt ends tells what to settle. */
  private settleByEnd(work: Work): void {
    if (work.claim !== null) {
      this.claims.awaitEnd(work.claim);
    }
  }

  private cancelAttempt(attempt: Attempt): void {
    if (this.context.attempts.has(attempt.number)) {
      this.context.emit({ type: 'cancel-attempt', attempt: attempt.number });
    }
  }
}

/** Takes a work out of every place where it waits or can be joined. */
export function detach(work: Work): void {
  const { service } = work;
  service.lanes.remove(work);
  service.held.delete(work);
  service.claiming.delete(work);
  if (work.coalesceKey !== null && service.joinable.get(work.coalesceKey) === work) {
    service.joinable.delete(work.coalesceKey);
  }
}
