/** What the policy of a service decides about its requests, before the dispatcher gets them. */
import type { PolicyContext, PolicyDecision } from '../policy/index.js';
import type { Answers } from './answers.js';
import type { Dispatcher } from './dispatcher.js';
import { policyContextOf, policyUpstreamOf } from './policy-input.js';
import type { Admission } from './queue/admission.js';
import { retryAfterMillis } from './queue/retry-after.js';
import type { RouterContext } from './router-context.js';
import type { ServiceState } from './service-state.js';
import type { Member, Work } from './work.js';

const PASS: PolicyDecision = { type: 'pass' };
/** How often the policy is asked again about a request that it holds. */
const POLICY_RECHECK_MILLIS = 50;

export interface PolicyGateParts {
  readonly context: RouterContext;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly answers: Answers;
}

/** Every request passes here once, and again for as long as its policy holds it. */
export class PolicyGate {
  private readonly context: RouterContext;
  private readonly admission: Admission;
  private readonly dispatcher: Dispatcher;
  private readonly answers: Answers;

  constructor(parts: PolicyGateParts) {
    this.context = parts.context;
    this.admission = parts.admission;
    this.dispatcher = parts.dispatcher;
    this.answers = parts.answers;
  }

  /** Admits, holds or refuses a work as the policy of its service says. */
  pass(work: Work): void {
    const decision = this.decide(work);
    if (decision.type === 'refuse') {
      const wait = this.retryAfter(work, decision.retryAfterMillis);
      this.answers.refuseWork(work, 'policy-refused', wait);
      return;
    }
    if (decision.type === 'hold' && this.mayHold(work, decision.holdMillis)) {
      this.hold(work);
      return;
    }
    work.phase = 'new';
    this.dispatcher.admit(work);
  }

  /** A policy may still refuse a read that could share an attempt; a hold was decided for the one it joins. */
  passJoined(member: Member): void {
    const { work } = member;
    const decision = this.decide(work);
    if (decision.type === 'refuse') {
      const wait = this.retryAfter(work, decision.retryAfterMillis);
      this.answers.refuse(member, 'policy-refused', wait);
    }
  }

  /** Asks the policy again about a request that it holds. */
  recheck(work: Work): void {
    work.holdTimer = null;
    work.service.held.delete(work);
    this.pass(work);
  }

  private decide(work: Work): PolicyDecision {
    const { policy } = work.service;
    const { tracing } = this.context;
    if (policy === null && !tracing) {
      return PASS;
    }
    const seen = policyContextOf(work, this.context);
    const decision = policy === null ? PASS : policy.decide(seen);
    if (tracing) {
      this.trace(work.service, seen, decision);
    }
    return decision;
  }

  private trace(service: ServiceState, context: PolicyContext, decision: PolicyDecision): void {
    const { now, wall } = this.context;
    const upstreams = service.candidates(now, null, 0).map((upstream) => policyUpstreamOf(upstream, now));
    const record = { at: wall, context, upstreams, decision: decision.type };
    this.context.emit({ type: 'policy-trace', record });
  }

  /** A hold counts from the first time that the policy asked for it, whatever it says later. */
  private mayHold(work: Work, holdMillis: number): boolean {
    const { now } = this.context;
    const { holdLimitMillis, queueLimit } = work.service.definition;
    work.holdUntil = Math.min(work.holdUntil, now + holdLimitMillis);
    work.policyHoldUntil ??= Math.min(work.holdUntil, now + holdMillis);
    return now < work.policyHoldUntil && work.service.waitingLength < queueLimit;
  }

  private hold(work: Work): void {
    const { now } = this.context;
    work.phase = 'held';
    work.service.held.add(work);
    const recheckAt = Math.min(work.policyHoldUntil ?? now, now + POLICY_RECHECK_MILLIS);
    work.holdTimer = this.context.schedule(recheckAt, { type: 'policy-recheck', work });
  }

  private retryAfter(work: Work, asked: number | null): number {
    if (asked === null) {
      return this.admission.retryAfter(work);
    }
    return retryAfterMillis(asked, this.context.random);
  }
}
