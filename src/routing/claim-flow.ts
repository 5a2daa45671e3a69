/**
 * Requests claims from the replicated ledger and settles them. A message is resent with the same claimant to one member
 * after the other until it is answered; the ledger treats all messages of one claimant as one.
 */
import type { ClaimResponse, SettleResponse } from '../control/messages.js';
import type { ClaimantId, ClaimResult } from '../ledger/types.js';
import type { Address } from '../model/identifiers.js';
import type { Claim, Settlement } from './claim.js';
import type { RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { ArrivedRequest } from './types.js';

/** Receives the outcomes of claims. */
export interface ClaimListener {
  onClaimGranted(group: RequestGroup): void;
  /** Called with any result other than `granted`. */
  onClaimDenied(group: RequestGroup, result: ClaimResult): void;
  /** The ledger did not answer within the limit. The listener must answer the caller, which settles the claim. */
  onClaimTimedOut(group: RequestGroup): void;
}

/** Number of sends within one claim timeout if no member answers. */
const SENDS_PER_TIMEOUT = 4;
const MIN_RESEND_MILLIS = 20;
const MAX_SETTLE_RESEND_MILLIS = 2000;
/** Settlements that are not acknowledged within this time are abandoned; their ledger records stay unsettled. */
const SETTLE_TIMEOUT_MILLIS = 60_000;
/** How long a settled claim that was never granted is remembered, so that a late grant can be settled again. */
const LINGER_MILLIS = 10_000;
/** The outcome of a cancelled attempt whose end isn't reported within this time is settled as unknown. */
const ATTEMPT_END_TIMEOUT_MILLIS = 5000;
/** Number of redirects followed immediately before waiting for the next resend. */
const MAX_REDIRECTS = 3;

export class ClaimFlow {
  private readonly claims = new Map<ClaimantId, Claim>();
  private listener: ClaimListener | null = null;

  constructor(private readonly context: RouterContext) {}

  listen(listener: ClaimListener): void {
    this.listener = listener;
  }

  /** The number of claims that are not yet settled and acknowledged. */
  get unsettledCount(): number {
    return [...this.claims.values()].filter(({ state }) => state !== 'lingering').length;
  }

  /** Requests a claim, the right to run a group's request, from the ledger. */
  ask(group: RequestGroup, identity: NonNullable<ArrivedRequest['idempotency']>): void {
    const { router, incarnation } = this.context.config;
    const claim: Claim = {
      claimant: `${router}/${incarnation}/${group.request.request}`,
      service: group.service.name,
      key: identity.key,
      fingerprint: identity.fingerprint,
      issuedAt: identity.issuedAt,
      group: group,
      startedAt: this.context.now,
      state: 'asked',
      wasGranted: false,
      settlement: null,
      settlingSince: 0,
      target: null,
      redirects: 0,
      resends: 0,
      timer: null,
    };
    group.claim = claim;
    group.ledger = 'silent';
    this.claims.set(claim.claimant, claim);
    this.send(claim);
  }

  /**
   * Settles a claim. From then on its request is never dispatched, even if a grant still arrives. The settlement is
   * resent until the ledger acknowledges it.
   */
  settle(claim: Claim, settlement: Settlement): void {
    if (claim.settlement !== null) {
      return;
    }
    claim.state = 'settling';
    claim.settlement = settlement;
    claim.settlingSince = this.context.now;
    claim.redirects = 0;
    claim.resends = 0;
    this.send(claim);
  }

  onClaimResponse(response: ClaimResponse, from: Address): void {
    const claim = this.claims.get(response.claimant);
    if (claim === undefined) {
      return;
    }
    if (claim.state !== 'asked') {
      this.onLateAnswer(claim, response.result);
      return;
    }
    if (response.result === null) {
      this.redirect(claim, from, response.leader);
      return;
    }
    this.context.leader.setHint(response.leader);
    if (isGranted(response.result, claim)) {
      this.granted(claim);
      return;
    }
    this.forget(claim);
    claim.group.claim = null;
    this.listener?.onClaimDenied(claim.group, response.result);
  }

  onSettleResponse(response: SettleResponse, from: Address): void {
    const claim = this.claims.get(response.claimant);
    if (claim === undefined || claim.state !== 'settling') {
      return;
    }
    if (response.settled) {
      this.context.leader.setHint(response.leader);
      this.acknowledged(claim);
      return;
    }
    this.redirect(claim, from, response.leader);
  }

  /** Waits for the end of an attempt without callers, which settles the claim; after a timeout it is settled as unknown. */
  awaitAttemptEnd(claim: Claim): void {
    this.context.cancelTimer(claim.timer);
    claim.timer = this.context.schedule(this.context.now + ATTEMPT_END_TIMEOUT_MILLIS, {
      type: 'claim',
      claim,
    });
  }

  /** Resends messages sent to `member`, whose connection broke, to the next member. */
  onMemberLost(member: Address): void {
    this.context.leader.avoid(member);
    for (const claim of this.claims.values()) {
      if (claim.target === member && (claim.state === 'asked' || claim.state === 'settling')) {
        this.send(claim);
      }
    }
  }

  /** Compares times exactly as they were scheduled: a difference of two times may be rounded down. */
  onTimer(claim: Claim): void {
    claim.timer = null;
    const { now, config } = this.context;
    if (claim.state === 'lingering') {
      this.forget(claim);
      return;
    }
    if (claim.state === 'granted') {
      this.settle(claim, { outcome: 'unknown', answer: null });
      return;
    }
    if (claim.state === 'asked' && now >= claim.startedAt + config.claimTimeoutMillis) {
      this.listener?.onClaimTimedOut(claim.group);
      return;
    }
    if (claim.state === 'settling' && now >= claim.settlingSince + SETTLE_TIMEOUT_MILLIS) {
      this.giveUpSettling(claim);
      return;
    }
    this.context.leader.avoid(claim.target);
    claim.redirects = 0;
    this.send(claim);
  }

  private granted(claim: Claim): void {
    claim.state = 'granted';
    claim.wasGranted = true;
    this.context.cancelTimer(claim.timer);
    claim.timer = null;
    claim.group.ledger = 'granted';
    this.listener?.onClaimGranted(claim.group);
  }

  /** Settles a claim again if its settlement overtook it, that is if it was granted after the settlement had been acknowledged. */
  private onLateAnswer(claim: Claim, result: ClaimResult | null): void {
    if (claim.state === 'lingering' && result !== null && isGranted(result, claim)) {
      claim.state = 'settling';
      claim.settlingSince = this.context.now;
      claim.resends = 0;
      this.send(claim);
    }
  }

  private acknowledged(claim: Claim): void {
    if (claim.wasGranted) {
      this.forget(claim);
      return;
    }
    claim.state = 'lingering';
    this.context.cancelTimer(claim.timer);
    claim.timer = this.context.schedule(this.context.now + LINGER_MILLIS, { type: 'claim', claim });
  }

  private giveUpSettling(claim: Claim): void {
    this.forget(claim);
    this.context.emit({
      type: 'log',
      level: 'warn',
      event: 'settlement-not-acknowledged',
      fields: { claimant: claim.claimant, service: claim.service, outcome: claim.settlement?.outcome },
    });
  }

  /** The member is not the leader: follows its redirect immediately, within limits. */
  private redirect(claim: Claim, from: Address, leader: Address | null): void {
    this.context.leader.avoid(from);
    if (leader === null || leader === from) {
      return;
    }
    this.context.leader.setHint(leader);
    if (claim.redirects < MAX_REDIRECTS) {
      claim.redirects += 1;
      this.send(claim);
    }
  }

  private send(claim: Claim): void {
    const { context } = this;
    const target = context.leader.target();
    claim.target = target;
    if (target !== null) {
      context.emit({ type: 'send-control', to: target, message: messageOf(claim) });
    }
    context.cancelTimer(claim.timer);
    claim.timer = context.schedule(this.resendAt(claim), { type: 'claim', claim });
    claim.resends += 1;
  }

  private resendAt(claim: Claim): number {
    const { now, config } = this.context;
    const pause = Math.max(MIN_RESEND_MILLIS, config.claimTimeoutMillis / SENDS_PER_TIMEOUT);
    if (claim.state === 'asked') {
      return Math.min(now + pause, claim.startedAt + config.claimTimeoutMillis);
    }
    return now + Math.min(MAX_SETTLE_RESEND_MILLIS, pause * 2 ** Math.min(claim.resends, 10));
  }

  private forget(claim: Claim): void {
    this.claims.delete(claim.claimant);
    this.context.cancelTimer(claim.timer);
    claim.timer = null;
  }
}

/** A `duplicate` also means granted if the record was created by an earlier send of the same claim. */
function isGranted(result: ClaimResult, claim: Claim): boolean {
  if (result.type === 'duplicate') {
    return result.record.claimant === claim.claimant && result.record.state === 'running';
  }
  return result.type === 'granted';
}

function messageOf(claim: Claim) {
  const { claimant, service, key, settlement } = claim;
  if (settlement !== null) {
    return { type: 'settle-request', claimant, service, key, ...settlement } as const;
  }
  const { fingerprint, issuedAt } = claim;
  return { type: 'claim-request', claimant, service, key, fingerprint, issuedAt } as const;
}
