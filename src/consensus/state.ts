/** State of a replica, shared by the modules of the Raft core, and the effects of the current step. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ReplicaId, Term } from '../model/identifiers.js';
import type { LeaderState } from './leader-state.js';
import { RaftLog } from './log.js';
import { isVoter } from './membership.js';
import { MembershipHistory } from './membership-history.js';
import { PersistQueue } from './persist-queue.js';
import type { IncomingSnapshot } from './snapshot-receiver.js';
import type {
  LogEntry,
  Membership,
  RaftConfig,
  RaftEffect,
  RaftMessage,
  RaftRole,
  RestoredState,
  Snapshot,
} from './types.js';

/** Role without `learner`, which is derived from the membership. */
export type ActiveRole = Exclude<RaftRole, 'learner'>;

/** A vote or pre-vote in progress. */
export interface Campaign {
  readonly granted: Set<ReplicaId>;
}

/** A read that a follower forwarded to its leader. */
export interface ForwardedRead {
  /** Id of the read in messages between this replica and the leader. */
  readonly forwardId: number;
  readonly readId: number;
  readonly deadline: number;
}

/** A read whose index is confirmed, but not applied by this replica yet. */
export interface ConfirmedRead {
  readonly readId: number;
  readonly index: number;
}

type MessageBody<M> = M extends RaftMessage ? Omit<M, 'from'> : never;
/** A message without its sender. */
export type OutgoingMessage = MessageBody<RaftMessage>;

const MICROS_PER_MILLI = 1000;
const MAX_FIRST_FORWARD_ID = 0x3fffffff;

/** Range of the randomized election delay, as multiples of the election timeout. */
type ElectionTimeoutFactors = readonly [min: number, max: number];

const REGULAR_FACTORS: ElectionTimeoutFactors = [1, 2];
/** For the first election after the start of a replica. */
const INITIAL_FACTORS: ElectionTimeoutFactors = [0.1, 0.4];
/** For later elections while `isStarting`. */
const STARTUP_FACTORS: ElectionTimeoutFactors = [0.2, 0.7];
/** Length of the startup phase in election timeouts. */
const STARTUP_ELECTION_TIMEOUTS = 4;
/** Largest factor by which failed elections in a row lengthen the time that a candidate waits for votes. */
const MAX_CANDIDATE_WAIT_FACTOR = 8;
/** After this many election timeouts a write is overdue. A slow disk's bursts must stay below it. */
const OVERDUE_WRITE_ELECTION_TIMEOUTS = 2;

export class RaftState {
  readonly config: RaftConfig;
  readonly log: RaftLog;
  readonly memberships: MembershipHistory;
  readonly persistQueue = new PersistQueue();
  readonly #random;
  #nextForwardId: number;
  readonly #startedAt: number;

  now: number;
  effects: RaftEffect[] = [];

  term: Term;
  votedFor: ReplicaId | null;
  role: ActiveRole = 'follower';
  leader: ReplicaId | null = null;
  /** Time of the last message from a leader. */
  leaderHeardAt = Number.NEGATIVE_INFINITY;
  /** Time of the last quorum contact, if this replica lost its quorum and stepped down since it last became leader. */
  quorumLostAt: number | null = null;
  electionDeadline = 0;
  campaign: Campaign | undefined;
  /** Elections in a row that this replica stood for and that brought no leader in time. */
  failedElections = 0;
  leaderState: LeaderState | undefined;

  snapshot: Snapshot | null;
  incomingSnapshot: IncomingSnapshot | undefined;
  /** An installed snapshot that isn't on disk yet; no entries are applied until it is. */
  pendingRestore: Snapshot | undefined;

  commitIndex: number;
  /** Last index of the current log that is on disk. */
  stableIndex: number;
  appliedIndex: number;

  forwardedReads: ForwardedRead[] = [];
  confirmedReads: ConfirmedRead[] = [];

  constructor(config: RaftConfig, restored: RestoredState, now: number) {
    const { snapshot, hardState, entries } = restored;
    this.config = config;
    this.now = now;
    this.#random = xoroshiro128plus(config.seed ^ Math.floor(now * MICROS_PER_MILLI));
    this.#nextForwardId = uniformInt(this.#random, 1, MAX_FIRST_FORWARD_ID);
    this.term = hardState.term;
    this.votedFor = hardState.votedFor;
    this.snapshot = snapshot;
    this.commitIndex = snapshot?.lastIndex ?? 0;
    this.appliedIndex = this.commitIndex;
    this.log = new RaftLog(this.commitIndex, snapshot?.lastTerm ?? 0, entries);
    this.stableIndex = this.log.lastIndex;
    this.memberships = MembershipHistory.restore(restored);
    this.#startedAt = now;
    this.electionDeadline = now + this.#randomTimeout(INITIAL_FACTORS, config.electionTimeoutMillis);
  }

  get self(): ReplicaId {
    return this.config.self;
  }

  get membership(): Membership {
    return this.memberships.current;
  }

  get isSelfVoter(): boolean {
    return isVoter(this.membership, this.self);
  }

  /** Role as reported to the host, with learners distinguished from followers. */
  get reportedRole(): RaftRole {
    return this.role === 'follower' && !this.isSelfVoter ? 'learner' : this.role;
  }

  emit(effect: RaftEffect): void {
    this.effects.push(effect);
  }

  send(message: OutgoingMessage): void {
    this.emit({ type: 'send', message: { ...message, from: this.self } as RaftMessage });
  }

  /** Sends once all changes made so far are on disk, unless the term has changed by then. */
  sendAfterPersist(message: OutgoingMessage): void {
    const { term } = this;
    this.persistQueue.afterPersist(() => {
      if (this.term === term) {
        this.send(message);
      }
    });
  }

  /** Sends once the current term and vote are on disk; entries may still be pending. */
  sendAfterHardStatePersisted(message: OutgoingMessage): void {
    if (this.persistQueue.isHardStatePending) {
      this.sendAfterPersist(message);
    } else {
      this.send(message);
    }
  }

  setHardState(term: Term, votedFor: ReplicaId | null): void {
    this.term = term;
    this.votedFor = votedFor;
    this.persistQueue.setHardState({ term, votedFor });
  }

  /** Appends to the log in memory and queues the entries for persistence. */
  appendEntries(entries: readonly LogEntry[]): void {
    this.log.append(entries);
    this.memberships.recordAppended(entries);
    this.persistQueue.appendEntries(entries);
  }

  /** Removes entries from `index` on; the membership reverts to that of the remaining entries. */
  truncateFrom(index: number): void {
    this.log.truncateFrom(index);
    this.memberships.truncateFrom(index);
    this.persistQueue.truncateFrom(index);
    this.stableIndex = Math.min(this.stableIndex, index - 1);
  }

  /**
   * Returns an id for a read forwarded to the leader. Ids start at a random number, so that a response to an earlier run
   * of this process isn't mistaken for a response to this run.
   */
  allocateForwardId(): number {
    const id = this.#nextForwardId;
    this.#nextForwardId += 1;
    return id;
  }

  /** Schedules an election after one to two election timeouts without a leader; sooner during startup. */
  resetElectionDeadline(): void {
    this.#resetDeadline(this.config.electionTimeoutMillis);
  }

  /** Schedules the end of this replica's own candidacy, which doubles with each failed one: the voters' disks may be slow. */
  resetCandidateDeadline(): void {
    const factor = Math.min(2 ** this.failedElections, MAX_CANDIDATE_WAIT_FACTOR);
    this.#resetDeadline(factor * this.config.electionTimeoutMillis);
  }

  #resetDeadline(electionTimeoutMillis: number): void {
    const factors = this.isStarting ? STARTUP_FACTORS : REGULAR_FACTORS;
    this.electionDeadline = this.now + this.#randomTimeout(factors, electionTimeoutMillis);
  }

  /**
   * Whether this replica started recently and has had no contact with a leader: if all replicas were down, there is none.
   * If there is one, the other replicas ignore the pre-votes, so an early election causes no disruption.
   */
  get isStarting(): boolean {
    const hasNoLeaderContact = this.leaderHeardAt === Number.NEGATIVE_INFINITY;
    return (
      hasNoLeaderContact &&
      this.now - this.#startedAt < STARTUP_ELECTION_TIMEOUTS * this.config.electionTimeoutMillis
    );
  }

  #randomTimeout([min, max]: ElectionTimeoutFactors, electionTimeoutMillis: number): number {
    const from = Math.ceil(electionTimeoutMillis * min);
    return uniformInt(this.#random, from, Math.max(from, Math.ceil(electionTimeoutMillis * max) - 1));
  }

  /** Whether this replica's disk hangs, or takes no bytes: its write has been outstanding for too long to lead or to be elected. */
  get isWriteOverdue(): boolean {
    const { outstandingSince } = this.persistQueue;
    const overdueMillis = OVERDUE_WRITE_ELECTION_TIMEOUTS * this.config.electionTimeoutMillis;
    return outstandingSince !== null && this.now - outstandingSince >= overdueMillis;
  }

  /** Whether the leader has been in contact within the last election timeout, so that no election is needed. */
  get hasRecentLeader(): boolean {
    const silentMillis = this.now - this.leaderHeardAt;
    return this.leader !== null && silentMillis < this.config.electionTimeoutMillis;
  }
}
