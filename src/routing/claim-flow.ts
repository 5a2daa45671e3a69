/**
 * Claims on the replicated ledger, and their settlement. A message is resent with the same claimant to one member after
 * the other until it is answered; the ledger treats resends of one claimant as one.
 */
import type { ClaimResponse, SettleResponse } from '../control/messages.js';
import type { ClaimantId, ClaimResult } from '../ledger/types.js';
import type { Address } from '../model/identifiers.js';
import type { Claim, Settlement } from './claim.js';
import type { RouterContext } from './router-context.js';
import type { ArrivedRequest } from './types.js';
import type { Work } from './work.js';

/** Where the outcomes of claims go. */
export interface ClaimListener {
  claimGranted(work: Work): void;
  /** Anything but `granted`. */
  claimDenied(work: Work, result: ClaimResult): void;
  /** No answer within the limit. The caller must be answered; the claim is released by then. */
  claimTimedOut(work: Work): void;
}

/** Sends within one claim timeout when nobody answers. */
const SENDS_PER_TIMEOUT = 4;
const SHORTEST_RESEND_MILLIS = 20;
const LONGEST_SETTLE_PAUSE_MILLIS = 2000;
/** Settlements that nobody acknowledged are given up after this long; their records stay as they are. */
const SETTLE_LIMIT_MILLIS = 60_000;
/** How long a claim is remembered whose grant never came: a late one is settled again. */
const LINGER_MILLIS = 10_000;
/** A cancelled attempt whose end isn't reported within this time counts as unknown. */
const LATE_END_MILLIS = 5000;
/** Redirects followed at once before waiting for the next resend. */
const REDIRECT_LIMIT = 3;

export class ClaimFlow {
  private readonly claims = new Map<ClaimantId, Claim>();
  private listener: ClaimListener | null = null;

  constructor(private readonly context: RouterContext) {}

  listen(listener: ClaimListener): void {
    this.listener = listener;
  }

  /** Claims that are not yet settled and acknowledged. */
  get size(): number {
    return this.claims.size;
  }

  /** Asks the ledger for the right to run a work's request. */
  ask(work: Work, identity: NonNullable<ArrivedRequest['idempotency']>): void {
    const { router, incarnation } = this.context.config;
    const claim: Claim = {
      claimant: `${router}/${incarnation}/${work.request.request}`,
      service: work.service.name,
      key: identity.key,
      fingerprint: identity.fingerprint,
      issuedAt: identity.issuedAt,
      work,
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
    work.claim = claim;
    work.ledger = 'silent';
    this.claims.set(claim.claimant, claim);
    this.send(claim);
  }

  /**
   * Ends a claim. From here on its request is never dispatched, also when a grant is still on its way: the settlement
   * is resent until the ledger has it.
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

  claimAnswered(response: ClaimResponse, from: Address): void {
    const claim = this.claims.get(response.claimant);
    if (claim === undefined) {
      return;
    }
    if (claim.state !== 'asked') {
      this.answeredLate(claim, response.result);
      return;
    }
    if (response.result === null) {
      this.redirect(claim, from, response.leader);
      return;
    }
    this.context.leader.learn(response.leader);
    if (isGranted(response.result, claim)) {
      this.granted(claim);
      return;
    }
    this.forget(claim);
    claim.work.claim = null;
    this.listener?.claimDenied(claim.work, response.result);
  }

  settleAnswered(response: SettleResponse, from: Address): void {
    const claim = this.claims.get(response.claimant);
    if (claim === undefined || claim.state !== 'settling') {
      return;
    }
    if (response.settled) {
      this.context.leader.learn(response.leader);
      this.acknowledged(claim);
      return;
    }
    this.redirect(claim, from, response.leader);
  }

  /** Nobody waits for a claim's attempt any more; it is settled by how that ends, or as unknown after a while. */
  awaitEnd(claim: Claim): void {
    this.context.cancelTimer(claim.timer);
    claim.timer = this.context.schedule(this.context.now + LATE_END_MILLIS, { type: 'claim', claim });
  }

  /** What was sent to `member` on a connection that broke is sent to the next one. */
  memberLost(member: Address): void {
    this.context.leader.avoid(member);
    for (const claim of this.claims.values()) {
      if (claim.target === member && (claim.state === 'asked' || claim.state === 'settling')) {
        this.send(claim);
      }
    }
  }

  /** Times are compared as they are scheduled: a difference of two may round to less than its parts say. */
  timerFired(claim: Claim): void {
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
      this.listener?.claimTimedOut(claim.work);
      return;
    }
    if (claim.state === 'settling' && now >= claim.settlingSince + SETTLE_LIMIT_MILLIS) {
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
    claim.work.ledger = 'granted';
    this.listener?.claimGranted(claim.work);
  }

  /** The settlement overtook the claim: what was granted since has to be released again. */
  private answeredLate(claim: Claim, result: ClaimResult | null): void {
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

  /** The member asked does not lead: follow its pointer at once, within limits. */
  private redirect(claim: Claim, from: Address, leader: Address | null): void {
    this.context.leader.avoid(from);
    if (leader === null || leader === from) {
      return;
    }
    this.context.leader.learn(leader);
    if (claim.redirects < REDIRECT_LIMIT) {
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
    const pause = Math.max(SHORTEST_RESEND_MILLIS, config.claimTimeoutMillis / SENDS_PER_TIMEOUT);
    if (claim.state === 'asked') {
      return Math.min(now + pause, claim.startedAt + config.claimTimeoutMillis);
    }
    return now + Math.min(LONGEST_SETTLE_PAUSE_MILLIS, pause * 2 ** Math.min(claim.resends, 10));
  }

  private forget(claim: Claim): void {
    this.claims.delete(claim.claimant);
    this.context.cancelTimer(claim.timer);
    claim.timer = null;
  }
}

/** A resend may find the record which the first send made. */
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
