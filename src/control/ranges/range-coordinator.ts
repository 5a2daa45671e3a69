/**
 * The leader's work on upstreams that announce themselves: assigns ranges of keys to owners, sends grants and
 * releases, and forgets upstreams. A call is sent only while a quorum has confirmed this leadership a moment ago.
 */
import type { RangeTimings } from '../../lease/range-timings.js';
import {
  type MonotonicMillis,
  parseShardId,
  type ServiceName,
  type Term,
  type UpstreamId,
} from '../../model/identifiers.js';
import { RANGE_KEYSPACE } from '../../model/key-range.js';
import type { CapacityLimit } from '../../placement/ranges/capacity-limit.js';
import type { RangeUpdate, Registry, ServiceRecord } from '../../registry/types.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from '../identity-question.js';
import type { LoadReport } from '../messages.js';
import type { ProposeCommand } from '../propose-command.js';
import type { RangeWork } from '../types.js';
import type { HolderCall, HolderCallId, HolderOutcome } from './holder-call.js';
import { type HolderQuestion, HolderTable } from './holder-table.js';
import { createLeaderService, grantTermsOf, type LeaderService } from './leader-service.js';
import type { AnswerHeartbeat } from './open-heartbeats.js';
import type { PlannedCall } from './range-carrier.js';
import type { LogRangeEvent, RangeService } from './range-service.js';
import type { ReceivedHeartbeat } from './received-heartbeat.js';
import { RetiredServices } from './retired-services.js';
import { UnservedRanges } from './unserved-ranges.js';

/** A confirmation of this leadership permits calls for this long; no other leader is elected so soon after a heartbeat. */
const CONFIRMATION_VALID_MILLIS = 300;
/** From this age on, the next heartbeats have to confirm the leadership again. */
const RECONFIRM_AFTER_MILLIS = 100;
/** Interval of decisions without any event, which detect silent upstreams and expired grants. */
const DECISION_INTERVAL_MILLIS = 100;
/**
 * Maximum number of ranges that decisions examine per millisecond, on average. Each decision examines all ranges, and
 * each change is an update for every router. So the gap between decisions grows with the number of ranges, and all
 * events in a gap share the next decision.
 */
const RANGES_PER_MILLI = 10;
/** Upper bound of that gap, so that a lost owner is replaced in time however many ranges there are. */
const MAX_DECISION_GAP_MILLIS = 200;
/** Minimum wait before due work runs again. */
const MIN_WAIT_MILLIS = 1;
/**
 * Call numbers reserved per term. No two leaderships of a member share a number: a release may be answered seconds
 * after the member was deposed, and must not be matched with a call of its next leadership.
 */
const CALLS_PER_TERM = 2 ** 32;
/**
 * A draining or silent upstream that owns nothing is forgotten after this many heartbeat intervals without a sign of
 * life.
 */
const FORGET_DRAINING_HEARTBEATS = 8;
const FORGET_SILENT_HEARTBEATS = 60;

export interface RangeCoordinatorParts {
  readonly registry: () => Registry;
  /** Term of this leadership; unique to it. */
  readonly term: Term;
  readonly propose: ProposeCommand;
  /** Requests confirmation of this leadership by a quorum; with `mayWait`, along with the next heartbeats. */
  readonly confirm: (now: MonotonicMillis, mayWait: boolean, settle: (confirmed: boolean) => void) => void;
  readonly call: (call: HolderCall) => void;
  readonly nextQuestion: () => QuestionId;
  /** Sends a question; `RangeCoordinator.onIdentityAnswer` is called once with its result. */
  readonly ask: (question: IdentityQuestion) => void;
  readonly log: LogRangeEvent;
  /** Load limits of constrained upstreams; none if omitted. */
  readonly capacityLimits?: () => ReadonlyMap<UpstreamId, CapacityLimit>;
  readonly timings: RangeTimings;
}

interface OpenCall {
  readonly call: HolderCall;
  readonly service: ServiceName;
}

export class RangeCoordinator {
  readonly #parts: RangeCoordinatorParts;
  readonly #holders: HolderTable;
  readonly #services = new Map<ServiceName, LeaderService>();
  readonly #retired: RetiredServices;
  readonly #unserved: UnservedRanges;
  /** Services with an open proposal. */
  readonly #proposing = new Set<ServiceName>();
  /** Services that start once a proposal of before is settled: it may take keys from owners to whom they would renew them. */
  readonly #waiting = new Set<ServiceName>();
  readonly #calls = new Map<HolderCallId, OpenCall>();
  readonly #questions = new Map<QuestionId, HolderQuestion>();
  #callCount = 0;
  /** Open confirmation requests: `true` for the one that waits for heartbeats. */
  readonly #openConfirmations = new Set<boolean>();
  #confirmedAt = Number.NEGATIVE_INFINITY;
  /** Last spans granted to each upstream by heartbeat; only changes are logged. */
  readonly #lastGranted = new Map<UpstreamId, string>();
  #decisions = 0;
  #isForgetOpen = false;
  /** Time of the next decision, and the earliest time at which one may run. */
  #decideAt: MonotonicMillis;
  #earliestDecisionAt = Number.NEGATIVE_INFINITY;
  /** Time at which calls or responses to heartbeats are due. */
  #sendAt: MonotonicMillis;
  /**
   * Whether no event that affects owners arrived since the last decision. Responses to heartbeats carry what was
   * decided.
   */
  #isDecided = false;

  constructor(parts: RangeCoordinatorParts, now: MonotonicMillis) {
    this.#parts = parts;
    const runOf = (upstream: UpstreamId) => parts.registry().upstreams().get(upstream)?.incarnation ?? null;
    this.#holders = new HolderTable(parts.timings, now, runOf);
    this.#retired = new RetiredServices(parts);
    this.#unserved = new UnservedRanges({
      ...parts,
      isServed: (service) => hasRanges(parts.registry().services().get(service)),
      propose: (service, updates) => this.#proposeUpdates(service, updates, () => {}),
    });
    this.#decideAt = now;
    this.#sendAt = now;
  }

  /** Handles a change of the registry; new owners are notified at once. */
  onRegistryChange(now: MonotonicMillis): void {
    this.#decideSoon(now);
    this.#sendAt = now;
  }

  /**
   * Handles a heartbeat of an upstream. `answer` is called exactly once, at the latest when the heartbeat reaches its
   * longest wait; its keys matter only for services that are granted ranges by heartbeats.
   */
  onHeartbeat(heartbeat: ReceivedHeartbeat, answer: AnswerHeartbeat, now: MonotonicMillis): void {
    const { upstream, report } = heartbeat;
    this.#holders.onHeartbeat(upstream, now);
    this.#updateServices(now);
    const service = this.#parts.registry().upstreams().get(upstream)?.definition.service ?? '';
    const heartbeats = this.#services.get(service)?.heartbeats ?? null;
    if (heartbeats === null || report === null) {
      this.#onHeard(upstream, now);
      answer(null, now);
      return;
    }
    heartbeats.onHeartbeat({ ...heartbeat, report }, answer, now);
    this.#decideSoon(now);
  }

  /** Returns whether an upstream owns or owned ranges, also of a removed service, and may still hold keys of them. */
  mayHold(upstream: UpstreamId, now: MonotonicMillis): boolean {
    this.#updateServices(now);
    const services = [...this.#services.values()];
    const mayHold = services.some(({ ranges }) => ranges.mayHold(upstream, now));
    return mayHold || this.#waiting.size > 0 || this.#mayHoldUnserved(upstream);
  }

  /** Answers waiting heartbeats without keys at the end of the leadership. */
  end(now: MonotonicMillis): void {
    for (const { heartbeats } of this.#services.values()) {
      heartbeats?.end(now);
    }
  }

  onLoadReport({ shards }: LoadReport, now: MonotonicMillis): void {
    for (const { shard, ...work } of shards) {
      const parts = parseShardId(shard);
      if (parts?.keyspace === RANGE_KEYSPACE) {
        this.#services.get(parts.service)?.ranges.onLoadReport(parts.number, work, now);
      }
    }
  }

  onCallEnd(id: HolderCallId, outcome: HolderOutcome, now: MonotonicMillis): void {
    const open = this.#calls.get(id);
    this.#calls.delete(id);
    if (open === undefined) {
      return;
    }
    const { call, service } = open;
    const isRoutine =
      call.kind === 'grant' && outcome.type === 'accepted' && this.#holders.isResponsive(call.upstream);
    this.#holders.onCallEnd(call, outcome, now);
    const ranges = this.#services.get(service)?.ranges;
    ranges?.onCallEnd(call, outcome, now);
    if (!isRoutine) {
      this.#decideSoon(now);
    }
    this.#sendAt = Math.min(this.#sendAt, ranges?.nextCallAt() ?? Number.POSITIVE_INFINITY);
  }

  /** Handles the result of a question; one of others or of an earlier leadership has no effect. */
  onIdentityAnswer(id: QuestionId, answer: IdentityAnswer, now: MonotonicMillis): void {
    const question = this.#questions.get(id);
    this.#questions.delete(id);
    if (question !== undefined) {
      this.#holders.onQuestionEnd(question, answer, now);
      this.#onHeard(question.upstream, now);
      this.#decideSoon(now);
    }
  }

  /** Sends what an upstream's sign of life permits. */
  #onHeard(upstream: UpstreamId, now: MonotonicMillis): void {
    const service = this.#parts.registry().upstreams().get(upstream)?.definition.service ?? '';
    const ranges = this.#services.get(service)?.ranges;
    if (ranges !== undefined && this.#holders.isResponsive(upstream)) {
      ranges.onHeard(upstream, now);
      this.#sendAt = Math.min(this.#sendAt, ranges.nextCallAt());
    }
  }

  run(now: MonotonicMillis): void {
    if (now >= this.#decideAt) {
      this.#decideOwners(now);
    }
    if (now >= this.#sendAt) {
      this.#sendDue(now);
    }
  }

  nextDeadline(): MonotonicMillis {
    return Math.min(this.#decideAt, this.#sendAt);
  }

  #countRanges(): number {
    const registry = this.#parts.registry();
    return [...this.#services.keys()].reduce((sum, name) => sum + registry.ranges(name).length, 0);
  }

  /** Schedules a decision after an event that affects owners. */
  #decideSoon(now: MonotonicMillis): void {
    this.#decideAt = Math.min(this.#decideAt, Math.max(now, this.#earliestDecisionAt));
    this.#isDecided = false;
  }

  #decideOwners(now: MonotonicMillis): void {
    this.#earliestDecisionAt =
      now + Math.min(MAX_DECISION_GAP_MILLIS, this.#countRanges() / RANGES_PER_MILLI);
    this.#decideAt = Math.max(now + DECISION_INTERVAL_MILLIS, this.#earliestDecisionAt);
    this.#sendAt = now;
    this.#decisions += 1;
    this.#isDecided = true;
    this.#updateServices(now);
    for (const [name, { ranges }] of this.#services) {
      this.#decideService(name, ranges, now);
    }
    this.#forgetUpstreams(now);
    for (const { ranges } of this.#services.values()) {
      const nextAt = Math.max(now + MIN_WAIT_MILLIS, this.#earliestDecisionAt, ranges.nextDecisionAt());
      this.#decideAt = Math.min(this.#decideAt, nextAt);
    }
  }

  /** Sends due calls and responses. They wait until this leadership is confirmed. */
  #sendDue(now: MonotonicMillis): void {
    this.#sendAt = Number.POSITIVE_INFINITY;
    if (this.#services.size === 0 || !this.#isConfirmed(now)) {
      return;
    }
    this.#sendCalls(now);
    for (const { ranges } of this.#services.values()) {
      this.#sendAt = Math.min(this.#sendAt, Math.max(now + MIN_WAIT_MILLIS, ranges.nextCallAt()));
    }
  }

  /** Returns the current amount of work and the counters of work done. */
  work(): RangeWork {
    const ranges = this.#countRanges();
    const calls = this.#callCount;
    const moves = [...this.#services.values()].map((service) => service.ranges.weighedMoves());
    return {
      ranges,
      openCalls: this.#calls.size,
      calls,
      decisions: this.#decisions,
      weighedMoves: moves.reduce((sum, { started }) => sum + started, 0),
      moveCostMillis: moves.reduce((sum, { costMillis }) => sum + costMillis, 0),
      moveGainMillis: moves.reduce((sum, { gainMillis }) => sum + gainMillis, 0),
    };
  }

  /** Number of spans of keys compared while moves were planned. */
  get searchedSpans(): number {
    let spans = 0;
    for (const { ranges } of this.#services.values()) {
      spans += ranges.searchedSpans;
    }
    return spans;
  }

  /** Adds and removes services. A service whose carrier was changed is started anew. */
  #updateServices(now: MonotonicMillis): void {
    const { registry } = this.#parts;
    const services = registry().services();
    for (const [name, { terms, heartbeats }] of [...this.#services]) {
      const record = services.get(name);
      if (!hasRanges(record) || grantTermsOf(record).carrier !== terms.carrier) {
        heartbeats?.end(now);
        this.#services.delete(name);
      }
    }
    this.#waiting.clear();
    for (const [name, record] of services) {
      if (!hasRanges(record) || this.#services.has(name)) {
        continue;
      }
      if (this.#proposing.has(name)) {
        this.#waiting.add(name);
      } else {
        this.#services.set(name, this.#createService(name, record, now));
      }
    }
    this.#retired.update(now);
    this.#unserved.update(now);
  }

  #createService(service: ServiceName, record: ServiceRecord, now: MonotonicMillis): LeaderService {
    const { registry, timings, log, capacityLimits: loadLimits = noLoadLimits } = this.#parts;
    const parts = {
      service,
      terms: grantTermsOf(record),
      registry,
      timings,
      holders: this.#holders,
      log,
      loadLimits,
    };
    return createLeaderService(parts, now);
  }

  #decideService(name: ServiceName, service: RangeService, now: MonotonicMillis): void {
    if (this.#proposing.has(name)) {
      return;
    }
    const updates = service.decide(now);
    if (updates.length === 0) {
      return;
    }
    const fields = { service: name, use: service.describeUse(), updates: updates.length };
    this.#parts.log('ranges-decided', fields);
    this.#proposeUpdates(name, updates, (isApplied) => service.onProposalSettled(isApplied));
  }

  /** Proposes changes of a service's ranges unless a proposal for it is open. */
  #proposeUpdates(
    service: ServiceName,
    updates: readonly RangeUpdate[],
    settle: (isApplied: boolean) => void,
  ): void {
    if (this.#proposing.has(service)) {
      return;
    }
    this.#proposing.add(service);
    this.#parts.propose({ type: 'range-update', service, updates }, (outcome, settledAt) => {
      this.#proposing.delete(service);
      this.#decideSoon(settledAt);
      this.#sendAt = settledAt;
      settle(outcome.type === 'applied');
    });
  }

  /** Returns whether a quorum confirmed this leadership a moment ago; requests the next confirmation in time. */
  #isConfirmed(now: MonotonicMillis): boolean {
    const age = now - this.#confirmedAt;
    if (age > CONFIRMATION_VALID_MILLIS) {
      this.#confirm(now, false);
      return false;
    }
    if (age > RECONFIRM_AFTER_MILLIS) {
      this.#confirm(now, true);
    }
    return true;
  }

  #sendCalls(now: MonotonicMillis): void {
    for (const [name, service] of this.#services) {
      for (const planned of service.ranges.dequeueCalls(now)) {
        this.#send(name, planned, now);
      }
      for (const upstream of service.ranges.dequeueQuestions()) {
        this.#ask(upstream, now);
      }
      if (this.#isDecided) {
        this.#answerHeartbeats(name, service, now);
      }
    }
  }

  /** Answers due heartbeats. A response lists all granted keys, so it is sent only while this leadership is confirmed. */
  #answerHeartbeats(name: ServiceName, { heartbeats }: LeaderService, now: MonotonicMillis): void {
    for (const { upstream, sequence, keys } of heartbeats?.answerDue(this.#proposing.has(name), now) ?? []) {
      const spans = keys?.spans ?? [];
      const granted = JSON.stringify(spans.map(({ from, to, fence }) => [from, to, fence]));
      if (this.#lastGranted.get(upstream) !== granted) {
        this.#lastGranted.set(upstream, granted);
        const { revision } = this.#parts.registry();
        const confirmedAgoMillis = Math.round(now - this.#confirmedAt);
        this.#parts.log('heartbeat-granted', { upstream, sequence, spans, revision, confirmedAgoMillis });
      }
    }
  }

  #send(service: ServiceName, planned: PlannedCall, now: MonotonicMillis): void {
    this.#callCount += 1;
    const call: HolderCall = { ...planned, id: this.#parts.term * CALLS_PER_TERM + this.#callCount };
    this.#calls.set(call.id, { call, service });
    this.#holders.onCallSent(call, now);
    this.#parts.call(call);
  }

  /** Asks the address of an upstream whether its run is there, unless it was asked a moment ago. */
  #ask(upstream: UpstreamId, now: MonotonicMillis): void {
    const definition = this.#parts.registry().upstreams().get(upstream)?.definition;
    if (definition === undefined || !this.#holders.mayAsk(upstream, now)) {
      return;
    }
    const { address, service } = definition;
    const heardAt = this.#holders.heardAt(upstream);
    const heardAgoMillis = Number.isFinite(heardAt) ? Math.round(now - heardAt) : null;
    const healthPath = this.#parts.registry().services().get(service)?.definition.healthPath ?? null;
    const id = this.#parts.nextQuestion();
    this.#questions.set(id, this.#holders.onQuestionSent(upstream, now));
    this.#parts.log('holder-asked', { upstream, address, heardAgoMillis });
    this.#parts.ask({ id, address, claimant: upstream, healthPath });
  }

  /** Requests a confirmation. Its age counts from the request. */
  #confirm(now: MonotonicMillis, mayWait: boolean): void {
    if (this.#openConfirmations.has(mayWait)) {
      return;
    }
    this.#openConfirmations.add(mayWait);
    this.#parts.confirm(now, mayWait, (confirmed) => {
      this.#openConfirmations.delete(mayWait);
      if (confirmed) {
        this.#confirmedAt = Math.max(this.#confirmedAt, now);
        this.#sendAt = mayWait ? this.#sendAt : now;
      }
    });
  }

  /** Forgets upstreams that have been silent for long and own nothing. */
  #forgetUpstreams(now: MonotonicMillis): void {
    if (this.#isForgetOpen) {
      return;
    }
    const { registry, propose, timings } = this.#parts;
    const upstreams: UpstreamId[] = [];
    for (const { definition } of registry().upstreams().values()) {
      const { id, leaving, announced } = definition;
      const heartbeats = leaving ? FORGET_DRAINING_HEARTBEATS : FORGET_SILENT_HEARTBEATS;
      const isSilent = now - this.#holders.lastSeenAt(id) > heartbeats * timings.heartbeatMillis;
      if (announced !== undefined && isSilent && !this.#isHolder(id)) {
        upstreams.push(id);
      }
    }
    if (upstreams.length > 0) {
      this.#isForgetOpen = true;
      propose({ type: 'upstream-forget', upstreams }, () => {
        this.#isForgetOpen = false;
        for (const upstream of upstreams) {
          this.#lastGranted.delete(upstream);
        }
      });
    }
  }

  #isHolder(upstream: UpstreamId): boolean {
    const services = [...this.#services.values()];
    return services.some(({ ranges }) => ranges.isHolder(upstream)) || this.#mayHoldUnserved(upstream);
  }

  #mayHoldUnserved(upstream: UpstreamId): boolean {
    return this.#retired.mayHold(upstream) || this.#unserved.mayHold(upstream);
  }
}

const NO_LOAD_LIMITS: ReadonlyMap<UpstreamId, CapacityLimit> = new Map();
const noLoadLimits = (): ReadonlyMap<UpstreamId, CapacityLimit> => NO_LOAD_LIMITS;

/** Returns whether the keys of a service are numbers owned in ranges. */
export function hasRanges(record: ServiceRecord | undefined): record is ServiceRecord {
  return record?.definition.keyspaces.some(({ kind }) => kind === 'range') ?? false;
}
