/** Applies the policy of a service to its requests before they reach the dispatcher. */
import type { PolicyContext, PolicyDecision } from '../policy/index.js';
import type { Answers } from './answers.js';
import { policyContextOf, policyUpstreamOf } from './policy-input.js';
import type { Admission } from './queue/admission.js';
import { retryAfterMillis } from './queue/retry-after.js';
import type { Member, RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { ServiceState } from './service-state.js';

const PASS: PolicyDecision = { type: 'pass' };
/** Interval at which the policy is evaluated again for a held request. */
const POLICY_RECHECK_INTERVAL_MILLIS = 50;

export interface PolicyGateParts {
  readonly context: RouterContext;
  readonly admission: Admission;
  /** Receives each group that the policy admits. */
  readonly admit: (group: RequestGroup) => void;
  readonly answers: Answers;
}

/** Evaluates the policy once for each request, and repeatedly while the policy holds it. */
export class PolicyGate {
  private readonly context: RouterContext;
  private readonly admission: Admission;
  private readonly admit: (group: RequestGroup) => void;
  private readonly answers: Answers;

  constructor(parts: PolicyGateParts) {
    this.context = parts.context;
    this.admission = parts.admission;
    this.admit = parts.admit;
    this.answers = parts.answers;
  }

  /** Admits, holds or refuses a group according to the policy of its service. */
  pass(group: RequestGroup): void {
    const decision = this.decide(group);
    if (decision.type === 'refuse') {
      const wait = this.retryAfter(group, decision.retryAfterMillis);
      this.answers.refuseGroup(group, 'policy-refused', wait);
      return;
    }
    if (decision.type === 'hold' && this.canHold(group, decision.holdMillis)) {
      this.hold(group);
      return;
    }
    group.phase = 'new';
    this.admit(group);
  }

  /** Evaluates the policy for a read that joins a group. It may be refused, but not held on its own. */
  passJoined(member: Member): void {
    const { group } = member;
    const decision = this.decide(group);
    if (decision.type === 'refuse') {
      const wait = this.retryAfter(group, decision.retryAfterMillis);
      this.answers.refuseJoined(member, 'policy-refused', wait);
    }
  }

  /** Evaluates the policy again for a held group. */
  recheck(group: RequestGroup): void {
    group.holdTimer = null;
    group.service.held.delete(group);
    this.pass(group);
  }

  private decide(group: RequestGroup): PolicyDecision {
    const { policy } = group.service;
    const { tracing } = this.context;
    if (policy === null && !tracing) {
      return PASS;
    }
    const context = policyContextOf(group, this.context);
    const decision = policy === null ? PASS : policy.decide(context);
    if (tracing) {
      this.trace(group.service, context, decision);
    }
    return decision;
  }

  private trace(service: ServiceState, context: PolicyContext, decision: PolicyDecision): void {
    const { now, wall } = this.context;
    const upstreams = service.candidates(now, null, 0).map((upstream) => policyUpstreamOf(upstream, now));
    const record = { at: wall, context, upstreams, decision: decision.type };
    this.context.emit({ type: 'policy-trace', record });
  }

  /** The first hold decision fixes when the hold ends; later decisions don't extend it. */
  private canHold(group: RequestGroup, holdMillis: number): boolean {
    const { now } = this.context;
    const { holdLimitMillis, queueLimit } = group.service.definition;
    group.holdUntil = Math.min(group.holdUntil, now + holdLimitMillis);
    group.policyHoldUntil ??= Math.min(group.holdUntil, now + holdMillis);
    return now < group.policyHoldUntil && group.service.waitingLength < queueLimit;
  }

  private hold(group: RequestGroup): void {
    const { now } = this.context;
    group.phase = 'held';
    group.service.held.add(group);
    const recheckAt = Math.min(group.policyHoldUntil ?? now, now + POLICY_RECHECK_INTERVAL_MILLIS);
    group.holdTimer = this.context.schedule(recheckAt, { type: 'policy-recheck', group });
  }

  private retryAfter(group: RequestGroup, policyMillis: number | null): number {
    if (policyMillis === null) {
      return this.admission.retryAfter(group);
    }
    return retryAfterMillis(policyMillis, this.context.random);
  }
}
