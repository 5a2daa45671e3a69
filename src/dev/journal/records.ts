/**
 * Records of what really happened in a fleet, one JSON object a line. `at` is the machine's monotonic clock in
 * milliseconds (`machineMillis`), which all processes of a fleet share; `wall` is for people.
 */
import type {
  Epoch,
  Incarnation,
  Revision,
  ServiceName,
  ShardId,
  UpstreamId,
  WallMillis,
} from '../../model/identifiers.js';
import type { Outcome } from '../../model/outcome.js';

interface RecordBase {
  readonly at: number;
  readonly wall: WallMillis;
}

interface UpstreamRecordBase extends RecordBase {
  /** Name of the stand-in's process; it may hold several upstreams. */
  readonly process: string;
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  /** Number of the run within one run of the stand-in's process. */
  readonly run: number;
}

/** A stand-in upstream passed a request through its fence and began to work on it. */
export interface RunStartRecord extends UpstreamRecordBase {
  readonly type: 'run-start';
  readonly service: ServiceName;
  /** The caller's own id of the request; the same for each resend. */
  readonly request: string;
  /** The router's id of the request; `null` if it sent none. */
  readonly routerRequest: string | null;
  readonly key: string | null;
  readonly idempotencyKey: string | null;
  readonly shard: ShardId | null;
  readonly epoch: Epoch | null;
}
/** The run took effect: from here on it has run. */
export interface RunEffectRecord extends UpstreamRecordBase {
  readonly type: 'run-effect';
}
/** The run is over; `answered` when its whole answer was handed to the connection. */
export interface RunEndRecord extends UpstreamRecordBase {
  readonly type: 'run-end';
  readonly end: 'answered' | 'cancelled' | 'refused' | 'deadline' | 'broken-by-fault';
  readonly workMillis: number;
}

/** What a stand-in says of itself in the head of each answer. */
export interface SaidNeed {
  readonly limitPerSecond: number | null;
  readonly restMillis: number | null;
  readonly isLeaving: boolean;
}

interface NeedRecordBase extends RecordBase, SaidNeed {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  /** Router's own id of the request. */
  readonly routerRequest: string | null;
}

/** A request came to a stand-in that says that it is in need, or said so before. */
export interface NeedyArrivalRecord extends NeedRecordBase {
  readonly type: 'needy-arrival';
  /** The caller's own id of the request. */
  readonly request: string;
}
/** An answer that says so was handed to its connection. */
export interface NeedSaidRecord extends NeedRecordBase {
  readonly type: 'need-said';
}

/** How a caller saw one attempt end. */
export type AnswerVerdict =
  /** Complete, and the answer to this very request. */
  | 'whole'
  /** The router or upstream refused or failed it, and said so. */
  | 'refused'
  /** The connection ended before a whole answer, or the caller gave up. */
  | 'lost'
  /** The caller went away before there was an answer. */
  | 'left'
  /** An answer was taken for complete although a piece is missing or altered. */
  | 'damaged'
  /** A complete answer to another request. */
  | 'foreign';

/** One attempt of a caller. */
export interface AttemptRecord extends RecordBase {
  readonly type: 'attempt';
  readonly caller: string;
  readonly service: ServiceName;
  readonly request: string;
  /** 1 for the first attempt. */
  readonly attempt: number;
  readonly router: string;
  readonly key: string | null;
  readonly idempotencyKey: string | null;
  readonly repeatable: boolean;
  /** Whether it may have been sent behind another on its connection. */
  readonly pipelined: boolean;
  /** When the schedule wanted the request sent. */
  readonly scheduledAt: number;
  readonly sentAt: number;
  readonly verdict: AnswerVerdict;
  /** `null`: no status line came. */
  readonly status: number | null;
  /** As the answer said; `null` if it didn't. */
  readonly outcome: Outcome | null;
  readonly reason: string | null;
  readonly routerRequest: string | null;
  /** Whether the caller gives the request up after this attempt, or has its answer. */
  readonly last: boolean;
}

/** Something that the fleet runner did. */
export type FleetEventRecord = RecordBase & { readonly type: 'fleet-event' } & (
    | { readonly event: 'load-started' | 'load-ended' }
    /** What a router still had under way some time after the load had ended; `null`: it didn't say. */
    | { readonly event: 'router-left-over'; readonly router: string; readonly requests: number | null }
    | { readonly event: 'process-started' | 'killed' | 'frozen' | 'thawed'; readonly process: string }
    /** A planned stop: SIGTERM, and whether the process ended by itself. */
    | { readonly event: 'stopping'; readonly process: string }
    | { readonly event: 'stopped'; readonly process: string; readonly result: 'ended' | 'killed' }
    | { readonly event: 'cut' | 'healed'; readonly zones: readonly [string, string] }
    /** Control accepted that this upstream leaves. */
    | { readonly event: 'drain-accepted'; readonly upstream: UpstreamId }
    /** Control accepted that it is back. */
    | { readonly event: 'return-accepted'; readonly upstream: UpstreamId }
    /** An operator sends a change that sets a growing number of a service. */
    | { readonly event: 'change-sent'; readonly service: ServiceName; readonly value: number }
    /** The operator was told that it is in force everywhere. */
    | {
        readonly event: 'change-in-force';
        readonly service: ServiceName;
        readonly value: number;
        readonly revision: Revision;
      }
    /** A read that began at `since` found this number. */
    | {
        readonly event: 'change-read';
        readonly service: ServiceName;
        readonly value: number;
        readonly since: number;
      }
    /** A router said, asked at `since`, up to where it applies the configuration. */
    | {
        readonly event: 'router-read';
        readonly router: string;
        readonly revision: Revision;
        readonly serving: boolean;
        readonly since: number;
      }
    /** A control member lost its data folder; later a new replica was reported as repaired. */
    | { readonly event: 'disk-lost' | 'repaired'; readonly process: string }
    | { readonly event: 'platform-lied' | 'platform-corrected'; readonly upstream: UpstreamId }
  );

export type UpstreamJournalRecord =
  | RunStartRecord
  | RunEffectRecord
  | RunEndRecord
  | NeedyArrivalRecord
  | NeedSaidRecord;
export type JournalRecord = UpstreamJournalRecord | AttemptRecord | FleetEventRecord;
