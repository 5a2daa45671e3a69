/** A request's way from its arrival to the dispatcher: checks, joining, the ledger, policy. */
import type { ClaimResult, StoredAnswer } from '../ledger/types.js';
import type { RouteDefinition } from '../model/declaration.js';
import type { ServiceName, ShardId } from '../model/identifiers.js';
import type { Answers } from './answers.js';
import type { ClaimFlow, ClaimListener } from './claim-flow.js';
import { EarlyRequests } from './early-requests.js';
import type { LedgerWord } from './outcome-table.js';
import type { PolicyGate } from './policy-gate.js';
import type { Admission } from './queue/admission.js';
import { type RequestTerms, termsOfRoute, termsOfService } from './request-terms.js';
import type { RouterContext } from './router-context.js';
import type { ServiceState } from './service-state.js';
import { SplitRotation } from './split-rotation.js';
import type { ArrivedRequest, RefusalReason, RequestNumber } from './types.js';
import { isOverdue, type Member, Work } from './work.js';

/** What is said when the ledger knows that it ran but kept no answer. */
const ANSWER_NOT_KEPT: StoredAnswer = { status: 200, contentType: '', body: '', truncated: true };

/** Nobody is told to come back sooner: who gives this much less time than its route has not been here before. */
const LEAST_RETURN_MILLIS = 100;

/** A request counts for this while no answer was measured. */
const UNMEASURED_WORK_MILLIS = 10;

export interface RequestIntakeParts {
  readonly context: RouterContext;
  readonly admission: Admission;
  readonly answers: Answers;
  readonly claims: ClaimFlow;
  readonly policyGate: PolicyGate;
}

export class RequestIntake implements ClaimListener {
  private readonly context: RouterContext;
  private readonly admission: Admission;
  private readonly policyGate: PolicyGate;
  private readonly answers: Answers;
  private readonly claims: ClaimFlow;
  private readonly early: EarlyRequests;
  private readonly splits: SplitRotation;

  constructor(parts: RequestIntakeParts) {
    this.context = parts.context;
    this.admission = parts.admission;
    this.policyGate = parts.policyGate;
    this.answers = parts.answers;
    this.claims = parts.claims;
    this.early = new EarlyRequests(parts.context);
    this.splits = new SplitRotation(parts.context.random);
    parts.claims.listen(this);
  }

  arrive(request: ArrivedRequest): void {
    const { context } = this;
    const route = this.routeOf(request);
    const service = context.services.get(this.serviceOf(request, route));
    if (!context.lease.isValid(context.now)) {
      if (context.lease.confirmedAt !== null || !this.early.hold(request)) {
        this.refuseUnconfigured(request);
      }
      return;
    }
    const shard = service === undefined ? null : this.shardOf(request, service);
    const terms = service === undefined ? undefined : termsOf(service, route);
    if (service === undefined || terms === undefined) {
      this.answers.refuseArrival(request, unknownPlace(request), ledgerWordOf(request, service), null);
      return;
    }
    const fault = this.faultOf(request, service, shard, terms);
    if (fault !== undefined) {
      this.answers.refuseArrival(request, fault, ledgerWordOf(request, service), null);
      return;
    }
    const key = coalesceKeyOf(request, service, terms);
    const joined = key === null ? undefined : service.joinable.get(key);
    if (joined !== undefined && this.mayJoin(joined)) {
      this.join(joined, request);
      return;
    }
    const work = new Work(service, terms, context.tallies.of(terms, service.name));
    work.arrivedAt = context.now;
    work.shard = shard;
    work.shardRevision = context.view.revision;
    this.addMember(work, request);
    this.noteRank(work);
    if (context.crashes.isRefused(request)) {
      this.answers.refuseQuarantined(work);
      return;
    }
    this.noteLoad(work);
    this.makeJoinable(work, key);
    this.begin(work);
  }

  /** The first configuration is here. */
  arriveEarly(): void {
    for (const request of this.early.takeAll()) {
      this.arrive(request);
    }
  }

  /** The first configuration didn't come in time. */
  endEarly(number: RequestNumber): void {
    const request = this.early.take(number);
    if (request !== undefined) {
      this.refuseUnconfigured(request);
    }
  }

  /** The caller of a request that waits for the first configuration went away. */
  cancelEarly(number: RequestNumber): void {
    this.early.take(number);
  }

  private refuseUnconfigured(request: ArrivedRequest): void {
    const wait = this.admission.unmeasuredRetryAfter();
    this.answers.refuseArrival(request, 'no-configuration', ledgerWordOf(request, undefined), wait);
  }

  /** Takes a read again that joined another one and could not have its answer. It shares no attempt this time. */
  arriveAlone(member: Member): void {
    const { request, deadline, mayHaveRun } = member;
    if (mayHaveRun) {
      this.answers.refuseArrival(request, 'upstream-failed', 'silent', null);
      return;
    }
    this.arrive({ ...request, variant: null, deadlineMillis: deadline - this.context.now });
  }

  claimGranted(work: Work): void {
    work.service.claiming.delete(work);
    this.policyGate.pass(work);
  }

  claimDenied(work: Work, result: ClaimResult): void {
    switch (result.type) {
      case 'duplicate':
        this.answerDuplicate(work, result.record.state, result.record.answer);
        return;
      case 'mismatch':
        work.ledger = 'other-request';
        this.answers.refuseWork(work, 'idempotency-key-mismatch', null);
        return;
      case 'expired':
        this.answers.refuseWork(work, 'idempotency-key-expired', null);
        return;
      case 'unknown-service':
        this.answers.refuseWork(work, 'unknown-service', null);
        return;
      default:
        this.answers.refuseWork(work, 'ledger-unavailable', this.admission.unmeasuredRetryAfter());
    }
  }

  claimTimedOut(work: Work): void {
    this.answers.refuseWork(work, 'ledger-unavailable', this.admission.unmeasuredRetryAfter());
  }

  /** Answers all that wait, once the configuration can't be trusted any more. */
  refuseWaiting(service: ServiceState, reason: RefusalReason): void {
    const waiting = [...service.lanes.allWork(), ...service.held, ...service.claiming];
    for (const work of waiting) {
      this.answers.refuseWork(work, reason, this.admission.unmeasuredRetryAfter());
    }
  }

  /** Answers what waits of requests that are refused since a moment ago; what was sent may still succeed and clear itself. */
  refuseQuarantined(): void {
    for (const { lanes, held, claiming } of this.context.services.values()) {
      for (const work of [...lanes.allWork(), ...held, ...claiming]) {
        if (this.context.crashes.isRefused(work.request)) {
          this.answers.refuseQuarantined(work);
        }
      }
    }
  }

  private faultOf(
    request: ArrivedRequest,
    service: ServiceState,
    shard: ShardId | null,
    terms: RequestTerms,
  ): RefusalReason | undefined {
    const { keyed, queueLimit } = service.definition;
    if (keyed && shard === null) {
      return 'key-required';
    }
    if (terms.needsClaim && request.idempotency === null) {
      return 'idempotency-key-required';
    }
    if (request.deadlineMillis !== null && request.deadlineMillis <= 0) {
      return 'deadline-passed';
    }
    const { size } = service.claiming;
    const tooMany = size > queueLimit && size > queueLimit + service.totalSlots(this.context.now);
    return tooMany ? 'queue-full' : undefined;
  }

  /** The declared route of a request that goes by host and path. */
  private routeOf({ place }: ArrivedRequest): RouteDefinition | undefined {
    return place === undefined ? undefined : this.context.view.routes.find(place.host, place.path);
  }

  private serviceOf(request: ArrivedRequest, route: RouteDefinition | undefined): ServiceName {
    if (request.place === undefined) {
      return request.service;
    }
    return route === undefined ? '' : this.splits.next(route);
  }

  /** The shard of a request's key; `null` without one, and for services that aren't keyed. */
  private shardOf(request: ArrivedRequest, service: ServiceState): ShardId | null {
    const { key } = request;
    return key === null ? null : (this.context.view.shardOfKey(service.name, key) ?? null);
  }

  private addMember(work: Work, request: ArrivedRequest): void {
    const { now } = this.context;
    const ownMillis = work.terms.deadlineMillis;
    const deadline = now + Math.min(ownMillis, request.deadlineMillis ?? ownMillis);
    const member: Member = { request, work, deadline, mayHaveRun: false, deadlineTimer: null };
    member.deadlineTimer = this.context.schedule(deadline, { type: 'deadline', member });
    work.members.push(member);
    this.context.members.set(request.request, member);
  }

  /**
   * Numeric keys count by what arrives, at the speed of their owner: what an overwhelmed owner answers is no measure of
   * what is asked of it, and how long it takes tells more of its queue than of the work. Shards count by what was done.
   */
  private noteLoad(work: Work): void {
    const { service, shard, request } = work;
    const keyName =
      shard === null ? null : this.context.view.keyLoadName(service.name, request.key as string);
    if (shard === null || keyName === null) {
      work.loadName = shard;
      return;
    }
    const owner = this.context.ownerOf(shard)?.upstream;
    const workMillis = owner?.unhinderedMillis ?? service.unhinderedMillis() ?? UNMEASURED_WORK_MILLIS;
    this.context.reporter.add(keyName, workMillis);
  }

  /** A caller that comes back gives less time than its route; what is gone of it is gone of its target as well. */
  private noteRank(work: Work): void {
    const { service, terms, arrivedAt, request } = work;
    const givenMillis = request.deadlineMillis ?? terms.deadlineMillis;
    work.askedAt = arrivedAt - Math.max(0, terms.deadlineMillis - givenMillis);
    service.presence.note(terms, arrivedAt);
    this.noteHotKey(work);
    if (work.askedAt >= arrivedAt - LEAST_RETURN_MILLIS) {
      service.rankRoom.shares.came(terms.priority, arrivedAt);
    }
  }

  private noteHotKey(work: Work): void {
    const { service, shard, request, rank, arrivedAt } = work;
    const owner = shard === null ? undefined : this.context.ownerOf(shard);
    if (owner === undefined || request.key === null) {
      return;
    }
    const { upstream } = owner;
    work.rank = service.hotKeys.rankOf({ key: request.key, rank, owner: upstream }, arrivedAt);
  }

  private makeJoinable(work: Work, key: string | null): void {
    if (key !== null) {
      work.coalesceKey = key;
      work.service.joinable.set(key, work);
    }
  }

  /** Whoever joined an attempt that hangs would be left with `unknown`; on its own it can be told `not-run`. */
  private mayJoin({ attempt }: Work): boolean {
    return attempt === null || !isOverdue(attempt, this.context.now);
  }

  private join(work: Work, request: ArrivedRequest): void {
    this.addMember(work, request);
    const member = work.members[work.members.length - 1] as Member;
    this.policyGate.passJoined(member);
  }

  private begin(work: Work): void {
    const { idempotency } = work.request;
    if (!work.needsClaim || idempotency === null) {
      this.policyGate.pass(work);
      return;
    }
    // The ledger comes first: a refusal after the grant can truly say that the order did not run.
    work.phase = 'claiming';
    work.service.claiming.add(work);
    this.claims.ask(work, idempotency);
  }

  private answerDuplicate(
    work: Work,
    state: 'running' | 'ran' | 'unknown',
    answer: StoredAnswer | null,
  ): void {
    if (state === 'ran') {
      this.answers.deliverStored(work, answer ?? ANSWER_NOT_KEPT);
    } else if (state === 'running') {
      this.answers.refuseWork(work, 'still-running', this.admission.unmeasuredRetryAfter());
    } else {
      this.answers.refuseWork(work, 'outcome-unknown', null);
    }
  }
}

function termsOf(service: ServiceState, route: RouteDefinition | undefined): RequestTerms {
  const { definition } = service;
  return route === undefined ? termsOfService(definition) : termsOfRoute(route, definition);
}

function unknownPlace({ place }: ArrivedRequest): RefusalReason {
  return place === undefined ? 'unknown-service' : 'unknown-route';
}

/** A key may have been used on another router before, unless its service is known not to need the ledger. */
function ledgerWordOf(request: ArrivedRequest, service: ServiceState | undefined): LedgerWord {
  const repeatable = service?.definition.repeatable ?? false;
  return request.idempotency === null || repeatable ? 'not-needed' : 'silent';
}

/** Only reads that carry no key of their own are alike. */
function coalesceKeyOf(request: ArrivedRequest, service: ServiceState, terms: RequestTerms): string | null {
  const { coalesce } = service.definition;
  const { repeatable } = terms;
  const { key, target, variant = '' } = request;
  const isAlike = request.method === 'GET' && request.idempotency === null && variant !== null;
  if (!coalesce || !repeatable || !isAlike) {
    return null;
  }
  return `${key ?? ''}\n${target}\n${variant}`;
}
