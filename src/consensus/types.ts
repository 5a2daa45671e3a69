/** Messages, inputs and effects of the Raft core (Ongaro and Ousterhout 2014; Ongaro's thesis for the extensions). */
import type { Address, ReplicaId, Term } from '../model/identifiers.js';

/** Members of a cluster. `outgoingVoters` is non-empty only while a joint change is in progress. */
export interface Membership {
  readonly voters: readonly ReplicaId[];
  readonly outgoingVoters: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
  /** Address of the internal port of each member. */
  readonly addresses: Readonly<Record<ReplicaId, Address>>;
}

/** One entry of the replicated log, whose indexes have no gaps. */
export interface LogEntry {
  readonly index: number;
  readonly term: Term;
  /** `membership` entries contain a JSON `Membership`; `noop` entries are empty. */
  readonly kind: 'command' | 'membership' | 'noop';
  readonly data: Uint8Array;
}

/** State that must be on disk before a message that depends on it is sent. */
export interface HardState {
  readonly term: Term;
  readonly votedFor: ReplicaId | null;
}

/** The state machine as of `lastIndex`, which replaces the log up to that index. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: Term;
  readonly membership: Membership;
  /** The serialized state machine. */
  readonly data: Uint8Array;
}

interface MessageBase {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: Term;
}

/** Requests a vote for a candidate; with `preVote`, checks whether the vote would be granted, without a new term. */
export interface VoteRequest extends MessageBase {
  readonly type: 'vote-request';
  readonly preVote: boolean;
  readonly lastLogIndex: number;
  readonly lastLogTerm: Term;
  /** Set in a leadership transfer, so that followers vote even if the old leader was active recently. */
  readonly transfer: boolean;
}

/** Response to a `VoteRequest` with the same `preVote`. */
export interface VoteResponse extends MessageBase {
  readonly type: 'vote-response';
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Entries after `previousIndex`; a heartbeat if empty. */
export interface AppendRequest extends MessageBase {
  readonly type: 'append-request';
  readonly previousIndex: number;
  readonly previousTerm: Term;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Number of the leader's confirmation round. Responses echo it, which confirms reads and leases by a quorum. */
  readonly round: number;
}

/** Response to an `AppendRequest`. */
export interface AppendResponse extends MessageBase {
  readonly type: 'append-response';
  readonly success: boolean;
  /** On success, the last index known to match and be synced; on failure, a hint at which index to continue. */
  readonly matchIndex: number;
  readonly round: number;
}

/** One chunk of a snapshot, for a member that needs compacted entries. Sizes are in bytes. */
export interface SnapshotRequest extends MessageBase {
  readonly type: 'snapshot-request';
  readonly lastIndex: number;
  readonly lastTerm: Term;
  readonly membership: Membership;
  readonly offset: number;
  readonly totalBytes: number;
  readonly chunk: Uint8Array;
  readonly round: number;
}

/** Response to a `SnapshotRequest`. */
export interface SnapshotResponse extends MessageBase {
  readonly type: 'snapshot-response';
  readonly lastIndex: number;
  /** Bytes received so far; `totalBytes` once the snapshot is synced and installed. */
  readonly nextOffset: number;
  readonly installed: boolean;
  readonly round: number;
}

/** Makes a voter start an election at once, as the last step of a leadership transfer. */
export interface TimeoutNow extends MessageBase {
  readonly type: 'timeout-now';
}

/** Request of a follower to the leader for the index that a linearizable read must observe. */
export interface ReadIndexRequest extends MessageBase {
  readonly type: 'read-index-request';
  readonly readId: number;
  /** Whether the read may wait for the leader's next heartbeats. */
  readonly mayWait: boolean;
}

/** Response to a `ReadIndexRequest`. */
export interface ReadIndexResponse extends MessageBase {
  readonly type: 'read-index-response';
  readonly readId: number;
  /** `null` if the responder isn't a confirmed leader. */
  readonly index: number | null;
}

/** Messages between replicas, which may be lost, duplicated and reordered. */
export type RaftMessage =
  | VoteRequest
  | VoteResponse
  | AppendRequest
  | AppendResponse
  | SnapshotRequest
  | SnapshotResponse
  | TimeoutNow
  | ReadIndexRequest
  | ReadIndexResponse;

/** Inputs of a Raft core. */
export type RaftInput =
  | { readonly type: 'tick' }
  | { readonly type: 'message'; readonly message: RaftMessage }
  | { readonly type: 'persisted'; readonly persistId: number }
  /** Leader only. `proposal-accepted` or `proposal-rejected` returns the `proposalId`. */
  | { readonly type: 'propose'; readonly proposalId: number; readonly data: Uint8Array }
  | {
      readonly type: 'add-learner';
      readonly proposalId: number;
      readonly replica: ReplicaId;
      readonly address: Address;
    }
  /** Joint change to these voters; each new voter must be a learner that is caught up. */
  | { readonly type: 'change-voters'; readonly proposalId: number; readonly voters: readonly ReplicaId[] }
  | { readonly type: 'remove-learner'; readonly proposalId: number; readonly replica: ReplicaId }
  /** Linearizable read on any member; a follower forwards it. `mayWait`: it may wait for the next heartbeats. */
  | { readonly type: 'read'; readonly readId: number; readonly mayWait?: boolean }
  | { readonly type: 'transfer'; readonly to: ReplicaId }
  /** The state machine's bytes as of `lastIndex`; the core persists them and compacts the log up to that index. */
  | { readonly type: 'snapshot-taken'; readonly lastIndex: number; readonly data: Uint8Array };

/** Must be written in this order, then synced, then reported with `persisted`. */
export interface PersistRequest {
  /** Increases by one per request; `persisted` for one request implies all earlier ones. */
  readonly persistId: number;
  readonly hardState?: HardState;
  /** Entries from this index on are removed first. */
  readonly truncateFrom?: number;
  readonly entries?: readonly LogEntry[];
  /** Replaces the log up to its last index. */
  readonly snapshot?: Snapshot;
}

/** `pre-candidate`: checks whether an election could be won. `learner`: receives the log and has no vote. */
export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader' | 'learner';

/** Effects that the host of a Raft core must execute, in this order. */
export type RaftEffect =
  | { readonly type: 'send'; readonly message: RaftMessage }
  | { readonly type: 'persist'; readonly request: PersistRequest }
  /** Committed entries, each exactly once, in order. */
  | { readonly type: 'apply'; readonly entries: readonly LogEntry[] }
  /** Replaces the state of the state machine. */
  | { readonly type: 'restore'; readonly snapshot: Snapshot }
  | {
      readonly type: 'proposal-accepted';
      readonly proposalId: number;
      readonly index: number;
      readonly term: Term;
    }
  | {
      readonly type: 'proposal-rejected';
      readonly proposalId: number;
      readonly reason: 'not-leader' | 'membership-change-pending' | 'not-caught-up' | 'overloaded';
      readonly leader: ReplicaId | null;
    }
  /** A quorum confirmed the leader in a round started after the read was requested; `index` was committed by then. */
  | { readonly type: 'read-ready'; readonly readId: number; readonly index: number }
  | { readonly type: 'read-failed'; readonly readId: number; readonly leader: ReplicaId | null }
  /** The leader asked another voter to take over, since its own disk hasn't answered since `writeSince`. */
  | {
      readonly type: 'handed-over';
      readonly to: ReplicaId;
      /** When the outstanding write was requested, in monotonic milliseconds. */
      readonly writeSince: number;
      /** Last index on the leader's own disk. */
      readonly stableIndex: number;
    }
  | {
      readonly type: 'role-changed';
      readonly role: RaftRole;
      readonly term: Term;
      readonly leader: ReplicaId | null;
      readonly evidence: RoleEvidence;
    };

/** Contacts of a replica before its role changed, in monotonic milliseconds. */
export interface RoleEvidence {
  /** Time of the last message from another replica as leader; `null` if there was none. */
  readonly leaderHeardAt: number | null;
  /**
   * Time of the last quorum contact if this replica lost its quorum and stepped down since it last became leader, else
   * `null`.
   */
  readonly quorumLostAt: number | null;
}

/** Raft timings in milliseconds. */
export interface RaftTimings {
  /** An election starts after one to two times this without contact with a leader. */
  readonly electionTimeoutMillis: number;
  readonly heartbeatMillis: number;
}

/** Settings of one replica. */
export interface RaftConfig extends RaftTimings {
  readonly self: ReplicaId;
  /** Seed of the election jitter; should differ between runs of a process. */
  readonly seed: number;
  readonly maxEntriesPerAppend: number;
  readonly maxAppendsInFlight: number;
  /** Maximum bytes of entries in one append, except for a single larger entry; defaults to 1 MiB. */
  readonly maxAppendBytes?: number;
  readonly snapshotChunkBytes: number;
}

/** State of a replica that was loaded from disk. */
export interface RestoredState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | null;
  /** Membership to start from if there is no snapshot (set by `control init`); `null` for a joining replica. */
  readonly initialMembership: Membership | null;
  /** Entries after the snapshot. */
  readonly entries: readonly LogEntry[];
}

/** Status of a replica for operators. */
export interface RaftStatus {
  readonly self: ReplicaId;
  readonly role: RaftRole;
  readonly term: Term;
  readonly leader: ReplicaId | null;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly firstIndex: number;
  readonly membership: Membership;
  /** Leader only: last synced index of each other member. */
  readonly matchIndexes: Readonly<Record<ReplicaId, number>>;
}

/** How far another member has come, as its leader knows it. */
export interface MemberProgress {
  readonly replica: ReplicaId;
  /** `probe`: its last matching entry is searched for; `snapshot`: it needs entries that were compacted. */
  readonly state: 'probe' | 'replicate' | 'snapshot';
  /** Last index that it has synced. */
  readonly matchIndex: number;
  /** Bytes of the snapshot that it has received; `null`: it isn't sent one. */
  readonly snapshotBytes: number | null;
}

/** What a replica knows of elections, of its own writes and, as the leader, of the other members. */
export interface RaftDetails {
  /** Replicas that granted the vote or pre-vote in progress, this one included; `null`: none is in progress. */
  readonly votes: readonly ReplicaId[] | null;
  /** When the write that isn't on disk yet was requested, in monotonic milliseconds; `null`: there is none. */
  readonly writeSince: number | null;
  /** Empty on replicas that don't lead. */
  readonly members: readonly MemberProgress[];
  /** Members that have synced what was committed an election timeout ago; empty on replicas that don't lead. */
  readonly caughtUp: readonly ReplicaId[];
}

/** The Raft core: deterministic, without clock, random source, socket or file of its own. */
export interface RaftCore {
  /** Processes one input at `now` (monotonic milliseconds) and returns the effects to execute. */
  step(input: RaftInput, now: number): RaftEffect[];
  /** Time at which the next `tick` is due. */
  nextDeadline(): number;
  status(): RaftStatus;
  details(): RaftDetails;
}
