/** A piece of work on its way to an upstream, and the callers' requests that it answers. */
import type { RunName } from '../model/crash-suspect.js';
import type { Epoch, Revision, ShardId } from '../model/identifiers.js';
import type { Claim } from './claim.js';
import type { LedgerWord } from './outcome-table.js';
import type { Lane } from './queue/lane-table.js';
import type { QueueNode } from './queue/linked-queue.js';
import type { RouteTally } from './queue/route-tallies.js';
import type { RequestTerms } from './request-terms.js';
import type { OpenAnswer } from './room/link-room.js';
import type { RouterTimer } from './router-timer.js';
import type { ServiceState } from './service-state.js';
import type { ArrivedRequest, AttemptNumber } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';

/** One caller's request. It gets one final answer of its own. */
export interface Member {
  readonly request: ArrivedRequest;
  readonly work: Work;
  readonly deadline: number;
  /** An attempt on its behalf ended without proof that it did not run. */
  mayHaveRun: boolean;
  deadlineTimer: RouterTimer | null;
}

/** `claiming`: waits for the ledger. `held`: by policy. `queued`: in a lane. */
export type WorkPhase = 'new' | 'claiming' | 'held' | 'queued' | 'in-flight' | 'done';

/** The grant under which an attempt was sent. */
export interface SentGrant {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  /** Whether no answer comes any more once the grant is over. Not so where the owner is taken off first. */
  readonly endsAttempts: boolean;
}

/** One try of a work on an upstream. It is kept until the shell says how it ended, also when nobody waits for it. */
export interface Attempt {
  readonly number: AttemptNumber;
  readonly work: Work;
  readonly upstream: UpstreamState;
  /** The request that was sent; those who joined it only wait for its answer. */
  readonly request: ArrivedRequest;
  readonly startedAt: number;
  /** The run of the upstream that it was sent to; `null`: runs have no names there. */
  readonly run: RunName | null;
  /** Whether its upstream had a free slot then, as far as reported loads told. */
  readonly foundFreeSlot: boolean;
  /** Shard and epoch of the grant under which it was sent; `null` for services that aren't keyed. */
  readonly grant: SentGrant | null;
  /** Since when that grant is over. */
  overSince: number | null;
  /** Its work goes on without it. */
  abandoned: boolean;
}

/** An attempt is overdue after this many of its upstream's usual times, and not before the least time. */
const OVERDUE_FACTOR = 10;
const LEAST_OVERDUE_MILLIS = 200;
/** While nothing was measured at any upstream of the service, an attempt is overdue after this many times what its route aims at. */
const UNMEASURED_TARGETS = 2;

/** Whether an attempt takes so long that its upstream has probably stopped. */
export function isOverdue({ startedAt, upstream, work }: Attempt, now: number): boolean {
  return now >= startedAt + Math.max(LEAST_OVERDUE_MILLIS, overdueMillis(upstream, work));
}

/**
 * An upstream that this router has no answer of yet is taken to be as fast as the others of its service. Taken to be as fast as
 * any, its first requests were given up after 0.2 s and made again elsewhere: of reads that take 0.16 s, 5 %, and of those that take
 * 0.4 s, 13 %, each with its connection (a quiet day of 69 and 61 upstreams and 76 routers).
 */
function overdueMillis({ measuredMillis, serviceMillis }: UpstreamState, { service, terms }: Work): number {
  const usual = measuredMillis ?? service.measuredMillis();
  if (usual !== null) {
    return usual * OVERDUE_FACTOR;
  }
  return (terms.targetMillis ?? 0) * UNMEASURED_TARGETS || serviceMillis * OVERDUE_FACTOR;
}

/** Requests that take alike: those of a route, or those addressed to a service. */
export function workNameOf({ service, terms }: Work): string {
  return terms.route ?? service.name;
}

/** Whether a refused caller was told a time of its own to come back; `none-in-time`: there is none before it gives up. */
export type ReturnWord = 'promised' | 'none-in-time';

/** Usually one request; several when identical reads share an attempt. */
export class Work {
  phase: WorkPhase = 'new';
  readonly members: Member[] = [];
  /** Set when the work can be joined by identical reads. */
  coalesceKey: string | null = null;
  /** Keyed services only. */
  shard: ShardId | null = null;
  /** Revision of the configuration by which `shard` was found. */
  shardRevision: Revision = -1;
  /** Shard whose work its answer is reported as; `null`: none, or its load was reported when it came. */
  loadName: ShardId | null = null;
  /** That of its terms, or behind it and before the next one if its key is hot. */
  rank: number;
  /** When its first request came. */
  arrivedAt = 0;
  /** When its caller first asked, as the time shows that it still gives: one that comes back has less of it. */
  askedAt = 0;
  lane: Lane | null = null;
  node: QueueNode<Work> | null = null;
  /** What its answer was counted for on the router's link before it came; `null`: it isn't counted. */
  linkAnswer: OpenAnswer | null = null;
  /** When the bounded wait ends; `Infinity` until it first waits. */
  holdUntil = Number.POSITIVE_INFINITY;
  holdTimer: RouterTimer | null = null;
  policyHoldUntil: number | null = null;
  attempts = 0;
  /** Attempts that reached an upstream, whatever it made of them. */
  sentAttempts = 0;
  attempt: Attempt | null = null;
  /** An attempt ended without proof that it did not run. */
  mayHaveRun = false;
  /** A caller was told that the deadline passed. */
  timedOut = false;
  claim: Claim | null = null;
  ledger: LedgerWord = 'not-needed';
  /** Where the last attempt failed; others are tried first. */
  avoid: UpstreamState | null = null;

  /** It came when it was told to after a refusal, so it goes before those who come first. */
  isExpected = false;
  /** What it was told of its return when it was refused for want of room; `null`: it wasn't. */
  returnWord: ReturnWord | null = null;

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

  /** Its service may have been declared non-repeatable while it waited. */
  get needsClaim(): boolean {
    return this.terms.route === null ? !this.service.definition.repeatable : this.terms.needsClaim;
  }

  /** Whether it may be run again after an attempt that may have run. */
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

  /** An attempt ended without proof that it did not run. */
  noteMayHaveRun(): void {
    this.mayHaveRun = true;
    for (const member of this.members) {
      member.mayHaveRun = true;
    }
  }
}
