/**
 * Records of the actual events in a fleet, one JSON object per line. `at` is the machine's monotonic clock in
 * milliseconds (`machineMillis`), which all processes of a fleet share; `wall` is for human readers.
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
  /** Name of the stand-in's process, which may host several upstreams. */
  readonly process: string;
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  /** Number of the run within one run of the stand-in's process. */
  readonly run: number;
}

/** A stand-in upstream admitted a request through its fence and began to process it. */
export interface RunStartRecord extends UpstreamRecordBase {
  readonly type: 'run-start';
  readonly service: ServiceName;
  /** The caller's id of the request; the same for each resend. */
  readonly request: string;
  /** The router's id of the request; `null` if it sent none. */
  readonly routerRequest: string | null;
  readonly key: string | null;
  readonly idempotencyKey: string | null;
  readonly shard: ShardId | null;
  readonly epoch: Epoch | null;
}
/** The run took effect; from then on the request counts as run. */
export interface RunEffectRecord extends UpstreamRecordBase {
  readonly type: 'run-effect';
}
/** The run ended; `answered` if its complete answer was written to the connection. */
export interface RunEndRecord extends UpstreamRecordBase {
  readonly type: 'run-end';
  readonly end: 'answered' | 'cancelled' | 'refused' | 'deadline' | 'broken-by-fault';
  readonly workMillis: number;
}

/** Constraint that a stand-in reports in the head of each answer. */
export interface ConstraintReport {
  readonly limitPerSecond: number | null;
  readonly restMillis: number | null;
  readonly isLeaving: boolean;
}

interface ConstraintRecordBase extends RecordBase, ConstraintReport {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  /** The router's id of the request. */
  readonly routerRequest: string | null;
}

/** A request arrived at a stand-in that reports a constraint, or reported one before. */
export interface ConstrainedArrivalRecord extends ConstraintRecordBase {
  readonly type: 'needy-arrival';
  /** The caller's own id of the request. */
  readonly request: string;
}
/** An answer that reports a constraint was written to its connection. */
export interface ConstraintReportedRecord extends ConstraintRecordBase {
  readonly type: 'need-said';
}

/** How an attempt ended, as seen by its caller. */
export type AnswerVerdict =
  /** A complete answer to this request. */
  | 'whole'
  /** The router or upstream reported a refusal or failure. */
  | 'refused'
  /** The connection ended before a complete answer, or the caller gave up. */
  | 'lost'
  /** The caller disconnected before there was an answer. */
  | 'left'
  /** An answer was accepted as complete although a part is missing or altered. */
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
  /** Whether it may have been pipelined behind another request on its connection. */
  readonly pipelined: boolean;
  /** When the request was scheduled to be sent. */
  readonly scheduledAt: number;
  readonly sentAt: number;
  readonly verdict: AnswerVerdict;
  /** `null` if no status line was received. */
  readonly status: number | null;
  /** As reported in the answer; `null` if it wasn't. */
  readonly outcome: Outcome | null;
  readonly reason: string | null;
  readonly routerRequest: string | null;
  /** Whether the caller has its answer or gives up after this attempt. */
  readonly last: boolean;
}

/** An action or observation of the fleet runner. */
export type FleetEventRecord = RecordBase & { readonly type: 'fleet-event' } & (
    | { readonly event: 'load-started' | 'load-ended' }
    /** Requests that a router still had in flight some time after the load ended; `null` if it didn't report them. */
    | { readonly event: 'router-left-over'; readonly router: string; readonly requests: number | null }
    | { readonly event: 'process-started' | 'killed' | 'frozen' | 'thawed'; readonly process: string }
    /** A planned stop: SIGTERM, then whether the process ended by itself or was killed. */
    | { readonly event: 'stopping'; readonly process: string }
    | { readonly event: 'stopped'; readonly process: string; readonly result: 'ended' | 'killed' }
    | { readonly event: 'cut' | 'healed'; readonly zones: readonly [string, string] }
    /** Connections to these processes end one after the other, until they no longer do. */
    | { readonly event: 'connections-ending' | 'connections-kept'; readonly processes: readonly string[] }
    /** Control accepted the change that drains this upstream. */
    | { readonly event: 'drain-accepted'; readonly upstream: UpstreamId }
    /** Control accepted the change that returns this upstream to service. */
    | { readonly event: 'return-accepted'; readonly upstream: UpstreamId }
    /** An operator sends a change that sets an increasing number of a service. */
    | { readonly event: 'change-sent'; readonly service: ServiceName; readonly value: number }
    /** The operator received confirmation that the change is in force everywhere. */
    | {
        readonly event: 'change-in-force';
        readonly service: ServiceName;
        readonly value: number;
        readonly revision: Revision;
      }
    /** A read that began at `since` returned this number. */
    | {
        readonly event: 'change-read';
        readonly service: ServiceName;
        readonly value: number;
        readonly since: number;
      }
    /** The revision that a router reported as applied, in response to a query at `since`. */
    | {
        readonly event: 'router-read';
        readonly router: string;
        readonly revision: Revision;
        readonly serving: boolean;
        readonly since: number;
      }
    /** A control member lost its data folder; later its replacement was reported as repaired. */
    | { readonly event: 'disk-lost' | 'repaired'; readonly process: string }
    | { readonly event: 'platform-lied' | 'platform-corrected'; readonly upstream: UpstreamId }
  );

export type UpstreamJournalRecord =
  | RunStartRecord
  | RunEffectRecord
  | RunEndRecord
  | ConstrainedArrivalRecord
  | ConstraintReportedRecord;
export type JournalRecord = UpstreamJournalRecord | AttemptRecord | FleetEventRecord;
