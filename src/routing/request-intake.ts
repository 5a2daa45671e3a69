/** Takes requests from arrival to the dispatcher: validation, coalescing, the ledger claim and the policy. */
import type { ClaimResult, StoredAnswer } from '../ledger/types.js';
import type { RouteDefinition } from '../model/declaration.js';
import type { ServiceName, ShardId } from '../model/identifiers.js';
import type { Answers } from './answers.js';
import type { ClaimFlow, ClaimListener } from './claim-flow.js';
import { EarlyRequests } from './early-requests.js';
import type { LedgerWord } from './outcome-table.js';
import { STOPPING_RETRY_MILLIS } from './planned-stop.js';
import type { PolicyGate } from './policy-gate.js';
import type { Admission } from './queue/admission.js';
import { isOverdue, type Member, RequestGroup } from './request-group.js';
import { type RequestTerms, termsOfRoute, termsOfService } from './request-terms.js';
import type { RouterContext } from './router-context.js';
import type { ServiceState } from './service-state.js';
import { SplitRotation } from './split-rotation.js';
import type { ArrivedRequest, RefusalReason, RequestNumber } from './types.js';

/** Answer for a request that has run according to the ledger, whose answer was not kept. */
const ANSWER_NOT_KEPT: StoredAnswer = { status: 200, contentType: '', body: '', truncated: true };

/** Shortest retry delay given to refused callers: a request whose deadline is shorter than its route's by at most this is a first try. */
const MIN_RETURN_MILLIS = 100;

/** Estimated work of a request while no answer time has been measured. */
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

  receive(request: ArrivedRequest): void {
    const { context } = this;
    const route = this.routeOf(request);
    const service = context.services.get(this.serviceOf(request, route));
    if (!context.lease.isValid(context.now)) {
      if (!this.holdEarly(request)) {
        this.refuseUnconfigured(request);
      }
      return;
    }
    const shard = service === undefined ? null : this.shardOf(request, service);
    const terms = service === undefined ? undefined : termsOf(service, route);
    if (service === undefined || terms === undefined) {
      this.answers.refuseArrival(request, unknownDestination(request), ledgerStateOf(request, service), null);
      return;
    }
    if (this.isTooLate(request, service, terms)) {
      const ledger = ledgerStateOf(request, service);
      this.answers.refuseArrival(request, 'stopping', ledger, STOPPING_RETRY_MILLIS);
      return;
    }
    const reason = this.validate(request, service, shard, terms);
    if (reason !== undefined) {
      this.answers.refuseArrival(request, reason, ledgerStateOf(request, service), null);
      return;
    }
    const key = coalesceKeyOf(request, service, terms);
    const joinable = key === null ? undefined : service.joinable.get(key);
    if (joinable !== undefined && this.canJoin(joinable)) {
      this.join(joinable, request);
      return;
    }
    const group = new RequestGroup(service, terms, context.tallies.tallyFor(terms, service.name));
    group.arrivedAt = context.now;
    group.shard = shard;
    group.shardRevision = context.view.revision;
    this.addMember(group, request);
    this.applyRank(group);
    if (context.crashes.isRefused(request)) {
      this.answers.refuseQuarantined(group);
      return;
    }
    this.recordLoad(group);
    this.makeJoinable(group, key);
    this.start(group);
  }

  /** Receives the requests that waited for the first configuration. */
  receiveEarly(): void {
    for (const request of this.early.dequeueAll()) {
      this.receive(request);
    }
  }

  /** Refuses a request for which the first configuration didn't arrive in time. */
  timeOutEarly(number: RequestNumber): void {
    const request = this.early.dequeue(number);
    if (request !== undefined) {
      this.refuseUnconfigured(request);
    }
  }

  /** Drops a request that waits for the first configuration, because its caller disconnected. */
  cancelEarly(number: RequestNumber): void {
    this.early.dequeue(number);
  }

  /** Refuses every request that hasn't been sent, since a planned stop has no time left for it. */
  refuseUnsent(): void {
    for (const request of this.early.dequeueAll()) {
      this.refuseUnconfigured(request);
    }
    for (const member of this.context.members.values()) {
      if (!mayHaveRun(member)) {
        this.answers.refuse(member, 'stopping', STOPPING_RETRY_MILLIS);
      }
    }
  }

  /** Answers every request, since a planned stop is at its end. */
  refuseAll(): void {
    this.refuseUnsent();
    for (const member of this.context.members.values()) {
      this.answers.refuse(member, 'stopping', null);
    }
  }

  /** Has a request wait for the first configuration; returns whether it may. */
  private holdEarly(request: ArrivedRequest): boolean {
    const { lease, plannedStop, now } = this.context;
    const mayWait = lease.confirmedAt === null && plannedStop?.isOver(now) !== true;
    return mayWait && this.early.hold(request);
  }

  /** Whether a planned stop has no time left for a request that just arrived. */
  private isTooLate(request: ArrivedRequest, service: ServiceState, terms: RequestTerms): boolean {
    const { plannedStop, now } = this.context;
    if (plannedStop === null) {
      return false;
    }
    const deadline = now + Math.min(terms.deadlineMillis, request.deadlineMillis ?? terms.deadlineMillis);
    const { repeatable: isRepeatable } = terms;
    const candidate = { deadline, expectedMillis: service.expectedMillis(now), isRepeatable };
    return request.isLate === true || !plannedStop.mayStart(candidate, now);
  }

  private refuseUnconfigured(request: ArrivedRequest): void {
    const wait = this.admission.unmeasuredRetryAfter();
    this.answers.refuseArrival(request, 'no-configuration', ledgerStateOf(request, undefined), wait);
  }

  /** Receives a read again that joined another one and couldn't share its answer. This time it shares no attempt. */
  receiveUnshared(member: Member): void {
    const { request, deadline, mayHaveRun } = member;
    if (mayHaveRun) {
      this.answers.refuseArrival(request, 'upstream-failed', 'silent', null);
      return;
    }
    this.receive({ ...request, variant: null, deadlineMillis: deadline - this.context.now });
  }

  onClaimGranted(group: RequestGroup): void {
    group.service.claiming.delete(group);
    this.policyGate.pass(group);
  }

  onClaimDenied(group: RequestGroup, result: ClaimResult): void {
    switch (result.type) {
      case 'duplicate':
        this.answerDuplicate(group, result.record.state, result.record.answer);
        return;
      case 'mismatch':
        group.ledger = 'other-request';
        this.answers.refuseGroup(group, 'idempotency-key-mismatch', null);
        return;
      case 'expired':
        this.answers.refuseGroup(group, 'idempotency-key-expired', null);
        return;
      case 'unknown-service':
        this.answers.refuseGroup(group, 'unknown-service', null);
        return;
      default:
        this.answers.refuseGroup(group, 'ledger-unavailable', this.admission.unmeasuredRetryAfter());
    }
  }

  onClaimTimedOut(group: RequestGroup): void {
    this.answers.refuseGroup(group, 'ledger-unavailable', this.admission.unmeasuredRetryAfter());
  }

  /** Refuses all waiting requests of a service, because the configuration is no longer confirmed. */
  refuseWaiting(service: ServiceState, reason: RefusalReason): void {
    const waiting = [...service.queues.allGroups(), ...service.held, ...service.claiming];
    for (const group of waiting) {
      this.answers.refuseGroup(group, reason, this.admission.unmeasuredRetryAfter());
    }
  }

  /** Refuses waiting requests that are newly quarantined. Requests already sent may still succeed and be cleared by that. */
  refuseQuarantined(): void {
    for (const { queues, held, claiming } of this.context.services.values()) {
      for (const group of [...queues.allGroups(), ...held, ...claiming]) {
        if (this.context.crashes.isRefused(group.request)) {
          this.answers.refuseQuarantined(group);
        }
      }
    }
  }

  private validate(
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
    const isQueueFull = size > queueLimit && size > queueLimit + service.totalSlots(this.context.now);
    return isQueueFull ? 'queue-full' : undefined;
  }

  /** The declared route of a request that is addressed by host and path. */
  private routeOf({ place }: ArrivedRequest): RouteDefinition | undefined {
    return place === undefined ? undefined : this.context.view.routes.find(place.host, place.path);
  }

  private serviceOf(request: ArrivedRequest, route: RouteDefinition | undefined): ServiceName {
    if (request.place === undefined) {
      return request.service;
    }
    return route === undefined ? '' : this.splits.next(route);
  }

  /** The shard of a request's key; `null` without a key, and for services that aren't keyed. */
  private shardOf(request: ArrivedRequest, service: ServiceState): ShardId | null {
    const { key } = request;
    return key === null ? null : (this.context.view.shardOfKey(service.name, key) ?? null);
  }

  private addMember(group: RequestGroup, request: ArrivedRequest): void {
    const { now } = this.context;
    const ownDeadlineMillis = group.terms.deadlineMillis;
    const deadline = now + Math.min(ownDeadlineMillis, request.deadlineMillis ?? ownDeadlineMillis);
    const member: Member = { request, group: group, deadline, mayHaveRun: false, deadlineTimer: null };
    member.deadlineTimer = this.context.schedule(deadline, { type: 'deadline', member });
    group.members.push(member);
    this.context.members.set(request.request, member);
  }

  /**
   * Records the load of a numeric key on arrival, at the speed of the key's owner: the answers of an overloaded owner don't measure
   * its demand, and their times reflect its queue more than the work. The load of other shards is recorded when work is done.
   */
  private recordLoad(group: RequestGroup): void {
    const { service, shard, request } = group;
    const keyLoadName =
      shard === null ? null : this.context.view.keyLoadName(service.name, request.key as string);
    if (shard === null || keyLoadName === null) {
      group.loadShard = shard;
      return;
    }
    const owner = this.context.ownerOf(shard)?.upstream;
    const workMillis = owner?.unqueuedMillis ?? service.unhinderedMillis() ?? UNMEASURED_WORK_MILLIS;
    this.context.reporter.add(keyLoadName, workMillis);
  }

  /** A retry has a shorter deadline than its route. The time already used counts against its target time as well. */
  private applyRank(group: RequestGroup): void {
    const { service, terms, arrivedAt, request } = group;
    const remainingMillis = request.deadlineMillis ?? terms.deadlineMillis;
    group.askedAt = arrivedAt - Math.max(0, terms.deadlineMillis - remainingMillis);
    service.presence.recordArrival(terms, arrivedAt);
    this.applyHotKeyRank(group);
    if (group.askedAt >= arrivedAt - MIN_RETURN_MILLIS) {
      service.rankRoom.shares.onArrival(terms.priority, arrivedAt);
    }
  }

  private applyHotKeyRank(group: RequestGroup): void {
    const { service, shard, request, rank, arrivedAt } = group;
    const owner = shard === null ? undefined : this.context.ownerOf(shard);
    if (owner === undefined || request.key === null) {
      return;
    }
    const { upstream } = owner;
    group.rank = service.hotKeys.rankOf({ key: request.key, rank, owner: upstream }, arrivedAt);
  }

  private makeJoinable(group: RequestGroup, key: string | null): void {
    if (key !== null) {
      group.coalesceKey = key;
      group.service.joinable.set(key, group);
    }
  }

  /** A read that joined an attempt that hangs would end as `unknown`; on its own it can end as `not-run`. */
  private canJoin({ attempt }: RequestGroup): boolean {
    return attempt === null || !isOverdue(attempt, this.context.now);
  }

  private join(group: RequestGroup, request: ArrivedRequest): void {
    this.addMember(group, request);
    const member = group.members[group.members.length - 1] as Member;
    this.policyGate.passJoined(member);
  }

  private start(group: RequestGroup): void {
    const { idempotency } = group.request;
    if (!group.needsClaim || idempotency === null) {
      this.policyGate.pass(group);
      return;
    }
    // The claim comes first: once it is granted, a refusal can correctly report that the request did not run.
    group.phase = 'claiming';
    group.service.claiming.add(group);
    this.claims.ask(group, idempotency);
  }

  private answerDuplicate(
    group: RequestGroup,
    state: 'running' | 'ran' | 'unknown',
    answer: StoredAnswer | null,
  ): void {
    if (state === 'ran') {
      this.answers.deliverStored(group, answer ?? ANSWER_NOT_KEPT);
    } else if (state === 'running') {
      this.answers.refuseGroup(group, 'still-running', this.admission.unmeasuredRetryAfter());
    } else {
      this.answers.refuseGroup(group, 'outcome-unknown', null);
    }
  }
}

function termsOf(service: ServiceState, route: RouteDefinition | undefined): RequestTerms {
  const { definition } = service;
  return route === undefined ? termsOfService(definition) : termsOfRoute(route, definition);
}

function unknownDestination({ place }: ArrivedRequest): RefusalReason {
  return place === undefined ? 'unknown-service' : 'unknown-route';
}

/** An idempotency key may have been used on another router before, unless its service is known not to need the ledger. */
function ledgerStateOf(request: ArrivedRequest, service: ServiceState | undefined): LedgerWord {
  const repeatable = service?.definition.repeatable ?? false;
  return request.idempotency === null || repeatable ? 'not-needed' : 'silent';
}

/** Only reads without an idempotency key can share an attempt. */
function coalesceKeyOf(request: ArrivedRequest, service: ServiceState, terms: RequestTerms): string | null {
  const { coalesce } = service.definition;
  const { repeatable } = terms;
  const { key, target, variant = '' } = request;
  const isShareable = request.method === 'GET' && request.idempotency === null && variant !== null;
  if (!coalesce || !repeatable || !isShareable) {
    return null;
  }
  return `${key ?? ''}\n${target}\n${variant}`;
}

function mayHaveRun(member: Member): boolean {
  return member.mayHaveRun || member.group.attempt !== null;
}
