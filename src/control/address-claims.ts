/**
 * Decides which of two runs of upstreams an address belongs to. A heartbeat of an unregistered run, from the address of a registered
 * one, may come from the next run at that address, or be a delayed heartbeat of an earlier run while the registered one is alive and
 * holds keys. The heartbeat doesn't show which, and neither does silence: a newly elected leader has no heartbeats yet, and those of
 * an upstream that is partitioned off don't arrive. So the leader queries the address over a new connection for the run that serves
 * it. Time decides only if the address doesn't answer.
 */
import type { RangeTimings } from '../lease/range-timings.js';
import { longestHoldMillis } from '../lease/timed-grants.js';
import type { Address, MonotonicMillis, UpstreamId } from '../model/identifiers.js';
import type { UpstreamDefinition } from '../model/service.js';
import type { Registry } from '../registry/types.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from './identity-question.js';

/**
 * Minimum time between two questions to one address, as a share of the heartbeat interval. This allows one question per heartbeat:
 * a sender without an acknowledgement tries other members in between, and heartbeats arrive a few hundredths early.
 */
const MIN_QUESTION_GAP_HEARTBEATS = 0.8;
/** A live run repeats its claim with each heartbeat; a claim that isn't repeated for this many heartbeat intervals lapses. */
const CLAIM_LIFETIME_HEARTBEATS = 3;
/** Heartbeat times of removed runs are deleted once the times outnumber the registered runs by more than this. */
const MAX_STALE_TIMES = 64;

/** Why a run replaces another one at its address. */
const ACCEPT_REASONS = {
  /** The address answered with the id of this run. */
  namedItself: 'named-itself',
  /** The address didn't answer, the claim was repeated for a longest hold, and the previous run was silent and can hold no keys. */
  bound: 'bound',
} as const;

/** Why a run doesn't replace another one at its address for now. */
const REJECT_REASONS = {
  another: 'another-run-answered',
  unknown: 'no-answer',
  recentlyAsked: 'asked-lately',
} as const;

/** Called once with the decision whether a run is accepted at its address. */
export type SettleClaim = (isAccepted: boolean, now: MonotonicMillis) => void;

export interface AddressClaimsParts {
  readonly registry: () => Registry;
  readonly timings: RangeTimings;
  /** Whether an upstream may hold keys according to this leader's state. */
  readonly mayHold: (upstream: UpstreamId, now: MonotonicMillis) => boolean;
  readonly nextQuestion: () => QuestionId;
  /** Sends the question; `AddressClaims.onAnswer` is called once with its result. */
  readonly ask: (question: IdentityQuestion) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** The claim of a run to the address of another run. */
interface Claim {
  readonly since: MonotonicMillis;
  /** When the claim was last repeated. */
  at: MonotonicMillis;
}

/** A question without an answer yet. */
interface OpenQuestion {
  readonly definition: UpstreamDefinition;
  /** Callbacks for the decision. */
  readonly waiting: SettleClaim[];
}

/** The last question to an address. */
interface LastQuestion {
  readonly question: QuestionId;
  readonly at: MonotonicMillis;
}

export class AddressClaims {
  readonly #parts: AddressClaimsParts;
  /** Time of the last heartbeat of each run in this leadership. */
  readonly #lastHeartbeatAt = new Map<UpstreamId, MonotonicMillis>();
  readonly #claims = new Map<UpstreamId, Claim>();
  readonly #lastQuestions = new Map<Address, LastQuestion>();
  readonly #openQuestions = new Map<QuestionId, OpenQuestion>();

  constructor(parts: AddressClaimsParts) {
    this.#parts = parts;
  }

  /**
   * Discards heartbeat times, claims and open questions when a leadership begins or ends, and rejects the claims that wait. An answer
   * that arrives later may be older than a registration by a leader in between.
   */
  onRoleChange(now: MonotonicMillis): void {
    const open = [...this.#openQuestions.values()];
    this.#lastHeartbeatAt.clear();
    this.#claims.clear();
    this.#openQuestions.clear();
    for (const settle of open.flatMap(({ waiting }) => waiting)) {
      settle(false, now);
    }
  }

  /** Records a heartbeat of a registered run. */
  onHeartbeat(upstream: UpstreamId, now: MonotonicMillis): void {
    this.#lastHeartbeatAt.set(upstream, now);
    const known = this.#parts.registry().upstreams();
    if (this.#lastHeartbeatAt.size > known.size + MAX_STALE_TIMES) {
      deleteWhere(this.#lastHeartbeatAt, (_at, run) => !known.has(run));
    }
  }

  /** Handles the claim of an unregistered run to its address. `settle` is called synchronously unless the address is queried. */
  claim(definition: UpstreamDefinition, now: MonotonicMillis, settle: SettleClaim): void {
    const known = this.#knownRunAt(definition);
    if (known === undefined) {
      settle(true, now);
      return;
    }
    this.#deleteLapsed(now);
    const { id, address } = definition;
    const { since } = this.#claims.get(id) ?? { since: now };
    this.#claims.set(id, { since, at: now });
    const last = this.#lastQuestions.get(address);
    const open = last && this.#openQuestions.get(last.question);
    if (open?.definition.id === id) {
      open.waiting.push(settle);
    } else if (open !== undefined || (last !== undefined && now < this.#nextQuestionAt(last))) {
      this.#reject(definition, known, REJECT_REASONS.recentlyAsked);
      settle(false, now);
    } else {
      this.#ask(definition, settle, now);
    }
  }

  /** Handles the result of a question. */
  onAnswer(question: QuestionId, answer: IdentityAnswer, now: MonotonicMillis): void {
    const open = this.#openQuestions.get(question);
    this.#openQuestions.delete(question);
    if (open === undefined) {
      return;
    }
    const { definition, waiting } = open;
    const known = this.#knownRunAt(definition);
    const isAccepted = known === undefined || this.#decide(definition, known, answer, now);
    for (const settle of waiting) {
      settle(isAccepted, now);
    }
  }

  #decide(
    definition: UpstreamDefinition,
    known: UpstreamId,
    answer: IdentityAnswer,
    now: MonotonicMillis,
  ): boolean {
    const { id } = definition;
    if (answer.type === 'named' && answer.upstream === id) {
      this.#accept(definition, known, ACCEPT_REASONS.namedItself, now);
      return true;
    }
    if (answer.type === 'unknown' && this.#isPastBound(id, known, now)) {
      this.#accept(definition, known, ACCEPT_REASONS.bound, now);
      return true;
    }
    const isUnknown = answer.type === 'unknown';
    if (!isUnknown) {
      this.#claims.delete(id);
    }
    this.#reject(definition, known, isUnknown ? REJECT_REASONS.unknown : REJECT_REASONS.another);
    return false;
  }

  /**
   * A heartbeat is at most seconds late and arrives once, so a run that repeats its claim for a whole longest hold is alive. A run
   * without heartbeats in that time has lost its keys, unless `mayHold` still counts it as a possible holder.
   */
  #isPastBound(claimant: UpstreamId, known: UpstreamId, now: MonotonicMillis): boolean {
    const { timings, mayHold } = this.#parts;
    const { since } = this.#claims.get(claimant) ?? { since: now };
    const hasHeartbeat = (this.#lastHeartbeatAt.get(known) ?? Number.NEGATIVE_INFINITY) >= since;
    return !hasHeartbeat && now - since >= longestHoldMillis(timings) && !mayHold(known, now);
  }

  #ask(definition: UpstreamDefinition, settle: SettleClaim, now: MonotonicMillis): void {
    const { id: claimant, address, service } = definition;
    const id = this.#parts.nextQuestion();
    this.#lastQuestions.set(address, { question: id, at: now });
    this.#openQuestions.set(id, { definition, waiting: [settle] });
    const healthPath = this.#parts.registry().services().get(service)?.definition.healthPath ?? null;
    this.#parts.ask({ id, address, claimant, healthPath });
  }

  #nextQuestionAt({ at }: LastQuestion): MonotonicMillis {
    return at + this.#parts.timings.heartbeatMillis * MIN_QUESTION_GAP_HEARTBEATS;
  }

  #knownRunAt({ id, address }: UpstreamDefinition): UpstreamId | undefined {
    for (const { definition } of this.#parts.registry().upstreams().values()) {
      const isOther = definition.id !== id && definition.address === address;
      if (isOther && definition.announced !== undefined) {
        return definition.id;
      }
    }
    return undefined;
  }

  #accept(
    { id, address }: UpstreamDefinition,
    previous: UpstreamId,
    reason: string,
    now: MonotonicMillis,
  ): void {
    const claimedAgoMillis = Math.round(now - (this.#claims.get(id)?.since ?? now));
    const lastHeartbeatAt = this.#lastHeartbeatAt.get(previous);
    const heardAgoMillis = lastHeartbeatAt === undefined ? null : Math.round(now - lastHeartbeatAt);
    this.#claims.delete(id);
    this.#parts.log('address-taken', {
      upstream: id,
      address,
      before: previous,
      proof: reason,
      claimedAgoMillis,
      heardAgoMillis,
    });
  }

  #reject({ id, address }: UpstreamDefinition, registered: UpstreamId, reason: string): void {
    this.#parts.log('address-contested', { upstream: id, address, living: registered, doubt: reason });
  }

  /** Keeps only the claims and questions of the last few heartbeat intervals. */
  #deleteLapsed(now: MonotonicMillis): void {
    const lapsed = now - this.#parts.timings.heartbeatMillis * CLAIM_LIFETIME_HEARTBEATS;
    deleteWhere(this.#claims, ({ at }) => at < lapsed);
    deleteWhere(this.#lastQuestions, ({ at, question }) => at < lapsed && !this.#openQuestions.has(question));
  }
}

function deleteWhere<Key, Value>(map: Map<Key, Value>, matches: (value: Value, key: Key) => boolean): void {
  for (const [key, value] of map) {
    if (matches(value, key)) {
      map.delete(key);
    }
  }
}
