/** Emits the final answer of each request, exactly once per request. */
import type { StoredAnswer } from '../ledger/types.js';
import type { Settlement } from './claim.js';
import type { ClaimFlow } from './claim-flow.js';
import { factsOf } from './decision-facts.js';
import { type LedgerWord, outcomeOf, statusOf } from './outcome-table.js';
import type { Attempt, Member, RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { ArrivedRequest, AttemptResult, RefusalReason } from './types.js';

export class Answers {
  constructor(
    private readonly context: RouterContext,
    private readonly claims: ClaimFlow,
  ) {}

  /** Rejects a request that never became part of a request group. */
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

  /** Rejects one request; the others of its group continue. */
  refuse(member: Member, reason: RefusalReason, retryAfterMillis: number | null): void {
    const mayHaveRun = member.mayHaveRun || member.group.attempt !== null;
    this.emitRefusal(member, reason, retryAfterMillis, mayHaveRun);
    member.group.timedOut = member.group.timedOut || reason === 'deadline-passed';
    this.removeMember(member);
  }

  /** Rejects a request that just joined a group, whose attempts were made for others. */
  refuseJoined(member: Member, reason: RefusalReason, retryAfterMillis: number | null): void {
    this.emitRefusal(member, reason, retryAfterMillis, false);
    this.removeMember(member);
  }

  /** Rejects all requests of a group. */
  refuseGroup(group: RequestGroup, reason: RefusalReason, retryAfterMillis: number | null): void {
    for (const member of [...group.members]) {
      this.refuse(member, reason, retryAfterMillis);
    }
  }

  /** Rejects all requests of a group because its request is quarantined. A request that was never sent has not run. */
  refuseQuarantined(group: RequestGroup): void {
    const { fingerprint } = group.request;
    this.refuseGroup(
      group,
      'quarantined',
      fingerprint == null ? null : this.context.crashes.retryAfter(fingerprint),
    );
  }

  /**
   * Delivers the answer of an attempt to every request of the group; a personal answer only to the request that was
   * sent. Returns the members without an answer, which are no longer part of the group.
   */
  deliver(
    group: RequestGroup,
    attempt: Attempt,
    result: AttemptResult & { readonly type: 'answered' },
  ): Member[] {
    this.settle(group, { outcome: 'ran', answer: result.stored });
    const isRecipient = ({ request }: Member): boolean =>
      result.personal !== true || request.request === attempt.request.request;
    const others = group.members.filter((member) => !isRecipient(member));
    for (const member of others) {
      this.removeMember(member);
    }
    for (const member of [...group.members]) {
      this.context.emit({
        type: 'deliver',
        request: member.request.request,
        attempt: attempt.number,
      });
      this.removeMember(member);
    }
    return others;
  }

  /** Delivers the answer that the ledger stored for an earlier arrival of the same request. */
  deliverStored(group: RequestGroup, answer: StoredAnswer): void {
    for (const member of [...group.members]) {
      this.context.emit({ type: 'deliver-stored', request: member.request.request, answer });
      this.removeMember(member);
    }
  }

  /** Drops a request whose caller has disconnected, without an answer. */
  abandon(member: Member): void {
    this.removeMember(member);
  }

  /** Settles the claim of a group, if it has one. */
  settle(group: RequestGroup, settlement: Settlement): void {
    if (group.claim !== null) {
      this.claims.settle(group.claim, settlement);
    }
  }

  private emitRefusal(
    member: Member,
    reason: RefusalReason,
    retryAfterMillis: number | null,
    mayHaveRun: boolean,
  ): void {
    const { group } = member;
    const outcome = outcomeOf({ ledger: group.ledger, mayHaveRun });
    const status = statusOf(reason, mayHaveRun);
    const { request } = member.request;
    const facts = factsOf(group, this.context);
    group.tally.refused += 1;
    group.tally.gaveWay += reason === 'gave-way' ? 1 : 0;
    this.context.emit({ type: 'refuse', request, status, outcome, reason, retryAfterMillis, facts });
  }

  private removeMember(member: Member): void {
    const { group } = member;
    this.context.cancelTimer(member.deadlineTimer);
    member.deadlineTimer = null;
    this.context.members.delete(member.request.request);
    group.members.splice(group.members.indexOf(member), 1);
    if (group.members.length === 0) {
      this.end(group);
    }
  }

  /** Cleans up after the last member of a group is gone. */
  private end(group: RequestGroup): void {
    group.phase = 'done';
    this.context.link?.ended(group);
    this.context.cancelTimer(group.holdTimer);
    group.holdTimer = null;
    detach(group);
    if (group.attempt !== null) {
      this.cancelAttempt(group.attempt);
      this.settleWhenAttemptEnds(group);
      return;
    }
    this.settle(group, { outcome: group.mayHaveRun ? 'unknown' : 'not-run', answer: null });
  }

  /** Defers the settlement until the attempt's result is known. */
  private settleWhenAttemptEnds(group: RequestGroup): void {
    if (group.claim !== null) {
      this.claims.awaitAttemptEnd(group.claim);
    }
  }

  private cancelAttempt(attempt: Attempt): void {
    if (this.context.attempts.has(attempt.number)) {
      this.context.emit({ type: 'cancel-attempt', attempt: attempt.number });
    }
  }
}

/** Removes a group from every queue and index where it waits or can be joined. */
export function detach(group: RequestGroup): void {
  const { service } = group;
  service.queues.remove(group);
  service.held.delete(group);
  service.claiming.delete(group);
  if (group.coalesceKey !== null && service.joinable.get(group.coalesceKey) === group) {
    service.joinable.delete(group.coalesceKey);
  }
}
