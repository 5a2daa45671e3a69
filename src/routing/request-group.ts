/** Requests on their way to an upstream, grouped where identical reads share attempts, and the attempts made for them. */
import type { RunName } from '../model/crash-suspect.js';
import type { Epoch, Revision, ShardId } from '../model/identifiers.js';
import type { RelayPeer } from '../model/relay.js';
import type { OpenAnswer } from './capacity/link-pacer.js';
import type { Claim } from './claim.js';
import type { LedgerWord } from './outcome-table.js';
import type { QueueNode } from './queue/linked-queue.js';
import type { RouteTally } from './queue/route-tallies.js';
import type { ShardQueue } from './queue/shard-queues.js';
import type { RequestTerms } from './request-terms.js';
import type { RouterTimer } from './router-timer.js';
import type { ServiceState } from './service-state.js';
import type { ArrivedRequest, AttemptNumber } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';

/** One caller's request in a group. Each member gets exactly one final answer. */
export interface Member {
  readonly request: ArrivedRequest;
  readonly group: RequestGroup;
  readonly deadline: number;
  /** Whether an attempt for this request ended without proof that it did not run. */
  mayHaveRun: boolean;
  deadlineTimer: RouterTimer | null;
}

/** `claiming`: waits for the ledger. `held`: held by a policy or for link capacity. `queued`: in a shard queue. */
export type GroupPhase = 'new' | 'claiming' | 'held' | 'queued' | 'in-flight' | 'done';

/** The grant under which an attempt was sent. */
export interface SentGrant {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  /** Whether no answer can arrive after the grant ends. `false` where the owner is removed first and may finish its attempts. */
  readonly endsAttempts: boolean;
}

/** One attempt of a group on an upstream. It is kept until the I/O layer reports its end, even if no caller waits for it any more. */
export interface Attempt {
  readonly number: AttemptNumber;
  readonly group: RequestGroup;
  readonly upstream: UpstreamState;
  /** The request that was sent; members that joined later only share its answer. */
  readonly request: ArrivedRequest;
  readonly startedAt: number;
  /** The upstream run to which it was sent; `null` if the upstream's runs have no names. */
  readonly run: RunName | null;
  /** The router that carries its connection; `null`: the connection is direct. */
  readonly via: RelayPeer | null;
  /** Whether its upstream had a free slot at the start, according to reported loads. */
  readonly foundFreeSlot: boolean;
  /** The grant under which it was sent; `null` for services that aren't keyed. */
  readonly grant: SentGrant | null;
  /** When the end of the grant was detected; `null`: it hasn't ended. */
  grantEndedAt: number | null;
  /** Whether its group continues without it. */
  abandoned: boolean;
}

/** An attempt is overdue after this multiple of its upstream's usual time, but not before the minimum. */
const OVERDUE_FACTOR = 10;
const MIN_OVERDUE_MILLIS = 200;
/** While no upstream of the service was measured, an attempt is overdue after this multiple of its route's target time. */
const UNMEASURED_TARGET_FACTOR = 2;

/** Whether an attempt takes so long that its upstream has probably stopped. */
export function isOverdue({ startedAt, upstream, group }: Attempt, now: number): boolean {
  return now >= startedAt + Math.max(MIN_OVERDUE_MILLIS, overdueMillis(upstream, group));
}

/**
 * The mean of the service's other upstreams stands in for an upstream that has not answered this router yet. If the
 * shortest time is assumed instead, its first requests are abandoned after 0.2 s and repeated elsewhere, each with a new connection: 5 % of
 * reads that take 0.16 s and 13 % of those that take 0.4 s (at low load, with 69 and 61 upstreams and 76 routers).
 */
function overdueMillis(
  { measuredMillis, serviceMillis }: UpstreamState,
  { service, terms }: RequestGroup,
): number {
  const usualMillis = measuredMillis ?? service.measuredMillis();
  if (usualMillis !== null) {
    return usualMillis * OVERDUE_FACTOR;
  }
  return (terms.targetMillis ?? 0) * UNMEASURED_TARGET_FACTOR || serviceMillis * OVERDUE_FACTOR;
}

/** Name under which times are measured: the route, or the service for requests addressed to one. */
export function measurementNameOf({ service, terms }: RequestGroup): string {
  return terms.route ?? service.name;
}

/** `promised`: a refused caller got a reserved retry time. `none-in-time`: none is free before its deadline. */
export type ReturnOffer = 'promised' | 'none-in-time';

/** Usually one request; several if identical reads share an attempt. */
export class RequestGroup {
  phase: GroupPhase = 'new';
  readonly members: Member[] = [];
  /** Set if identical reads can join the group. */
  coalesceKey: string | null = null;
  /** Shard of the key; `null` for services that aren't keyed. */
  shard: ShardId | null = null;
  /** Revision of the configuration from which `shard` was determined. */
  shardRevision: Revision = -1;
  /** Shard to which the work of its answer is attributed; `null`: none, or the load was recorded on arrival. */
  loadShard: ShardId | null = null;
  /** Rank of its terms; if its key is hot, between that and the next rank. */
  rank: number;
  /** Arrival time of its first request. */
  arrivedAt = 0;
  /** Estimated time of the caller's first try: a retry has a shorter deadline by the time already used. */
  askedAt = 0;
  shardQueue: ShardQueue | null = null;
  node: QueueNode<RequestGroup> | null = null;
  /** Link capacity accounted for its answer in advance; `null`: none is. */
  linkAnswer: OpenAnswer | null = null;
  /** End of the bounded wait; `Infinity` until the group first waits. */
  holdUntil = Number.POSITIVE_INFINITY;
  holdTimer: RouterTimer | null = null;
  policyHoldUntil: number | null = null;
  attempts = 0;
  /** Number of attempts that reached an upstream, whatever their result. */
  sentAttempts = 0;
  attempt: Attempt | null = null;
  /** Whether an attempt ended without proof that it did not run. */
  mayHaveRun = false;
  /** Whether a member was refused because its deadline passed. */
  timedOut = false;
  claim: Claim | null = null;
  ledger: LedgerWord = 'not-needed';
  /** Number of times that no connection to its upstream was opened because a relay failed or was slow. */
  relayFailures = 0;
  /** Upstream of the last failed attempt; other upstreams are preferred. */
  avoid: UpstreamState | null = null;

  /** Whether the request arrived at its reserved retry time; it then goes ahead of first tries. */
  isPromisedReturn = false;
  /** Whether it got a reserved retry time when it was refused for lack of capacity; `null`: it wasn't refused for that. */
  returnOffer: ReturnOffer | null = null;

  constructor(
    readonly service: ServiceState,
    readonly terms: RequestTerms,
    readonly tally: RouteTally,
  ) {
    this.rank = terms.priority;
  }

  get request(): ArrivedRequest {
    return (this.members[0] as Member).request;
  }

  /** Evaluated anew each time, because its service may become non-repeatable while it waits. */
  get needsClaim(): boolean {
    return this.terms.route === null ? !this.service.definition.repeatable : this.terms.needsClaim;
  }

  /** Whether the request may run again after an attempt that may have run. */
  get isRepeatable(): boolean {
    const repeatable = this.terms.route === null ? this.service.definition.repeatable : this.terms.repeatable;
    return this.claim === null && repeatable;
  }

  /** The latest deadline of its members. */
  get deadline(): number {
    let latest = 0;
    for (const member of this.members) {
      latest = Math.max(latest, member.deadline);
    }
    return latest;
  }

  /** The earliest deadline of its members. */
  get firstDeadline(): number {
    return this.members.reduce(
      (earliest, member) => Math.min(earliest, member.deadline),
      Number.POSITIVE_INFINITY,
    );
  }

  /** Called when an attempt ended without proof that it did not run. */
  markMayHaveRun(): void {
    this.mayHaveRun = true;
    for (const member of this.members) {
      member.mayHaveRun = true;
    }
  }
}
