/**
 * Inputs and effects of the router core. Bodies never pass through it; the I/O layer keeps them by request id and attempt id.
 */
import type { ConfigLeaseTimings, ControlToRouter, RouterToControl } from '../control/messages.js';
import type { FenceCredentials, FenceRefusal } from '../lease/types.js';
import type { StoredAnswer } from '../ledger/types.js';
import type { RequestFingerprint, RunName } from '../model/crash-suspect.js';
import type { CallerLimits } from '../model/declaration.js';
import type {
  Address,
  Epoch,
  Incarnation,
  MonotonicMillis,
  Revision,
  RouterId,
  ServiceName,
  UpstreamId,
  WallMillis,
  Zone,
} from '../model/identifiers.js';
import type { Outcome } from '../model/outcome.js';
import type { RelayPeer } from '../model/relay.js';
import type { ReportedLimit, UpstreamNotice } from '../model/upstream-notice.js';
import type { WarmupBounds } from '../model/warmup-bounds.js';
import type { PolicyTraceRecord } from '../policy/index.js';
import type { ConnectionBreak } from './connection-break.js';
import type { PathOutcome } from './paths/path-outcome.js';
import type { PathTryNumber } from './paths/path-tries.js';
import type { RelayFailure, RelayTarget } from './paths/path-watch.js';
import type { PickerName } from './picker/picker.js';
import type { ReturnCounts } from './queue/return-schedules.js';
import type { RouteTally } from './queue/route-tallies.js';
import type { ReturnOffer } from './request-group.js';

/** Number of a request within one run of a router. */
export type RequestNumber = number;
/** Number of an attempt within one run of a router. */
export type AttemptNumber = number;

export interface ArrivedRequest {
  readonly request: RequestNumber;
  /** Empty if the request is addressed by `place`. */
  readonly service: ServiceName;
  /** Host and path for which a declared route is looked up; if left out, the request goes to `service`. */
  readonly place?: { readonly host: string; readonly path: string };
  readonly key: string | null;
  readonly method: string;
  /** Path and query, for coalescing. */
  readonly target: string;
  /**
   * Anything else on which the answer may depend, such as cookies: only reads with an equal variant share an attempt.
   * `null`: the request never shares an attempt; left out: the answer depends on nothing else.
   */
  readonly variant?: string | null;
  /**
   * Identifies the request across retries; left out or `null`: it isn't watched for crashes. The I/O layer may compute it on
   * access, by a hash over the whole body, so it is read only where it is needed.
   */
  readonly fingerprint?: RequestFingerprint | null;
  /** Deadline set by the caller, capped by the service's own. `null`: the service's deadline applies. */
  readonly deadlineMillis: number | null;
  /** Whether it came so late in a planned stop that it is refused. */
  readonly isLate?: boolean;
  readonly idempotency: {
    readonly key: string;
    readonly issuedAt: WallMillis;
    readonly fingerprint: string;
  } | null;
}

/** Number of a request of another router to be connected to an upstream, within one run of a router. */
export type RelayRequestNumber = number;

/** How an attempt on an upstream ended. */
export type AttemptResult =
  /** The I/O layer has the whole answer (or its head, if it is longer than the service's bound). */
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly load: number | null;
      readonly stored: StoredAnswer | null;
      /** The answer is meant only for the request that was sent; requests that joined it must not get it. */
      readonly personal?: boolean;
      /** Size of the answer's body; left out or `null`: unknown when its head arrived. */
      readonly bytes?: number | null;
    }
  /** The upstream rejected the request before it started, by its fence or by load shedding. */
  | {
      readonly type: 'refused';
      readonly refusal: FenceRefusal;
      readonly retryAfterMillis: number | null;
      /** Outstanding requests reported with the refusal; left out or `null`: none were reported. */
      readonly load?: number | null;
    }
  /**
   * There was no connection, so nothing was sent. `closedOnAccept`: the upstream accepted a connection and closed it at once.
   * `refused`: nothing listens at the address. `recalled`: cancelled by `recall-unsent` while it waited for a connection.
   * `cancelled`: by `cancel-attempt` while it waited for a connection. `relayFailure`: the router that should carry the connection couldn't be used.
   */
  | {
      readonly type: 'connect-failed';
      readonly closedOnAccept?: boolean;
      readonly refused?: boolean;
      readonly recalled?: boolean;
      readonly cancelled?: boolean;
      readonly relayFailure?: RelayFailure;
    }
  /** Something was sent and no whole answer arrived. `how`: left out if the I/O layer can't determine it. */
  | { readonly type: 'broken'; readonly how?: ConnectionBreak }
  | { readonly type: 'cancelled' };

/** Whether anything accepts connections at an address; `silent` proves neither. */
export type RunCheck = 'there' | 'gone' | 'silent';

export type RouterInput =
  | { readonly type: 'tick' }
  | { readonly type: 'control-message'; readonly from: Address; readonly message: ControlToRouter }
  | { readonly type: 'control-lost'; readonly from: Address }
  /** A connection to this member, which is in `zone`, is open. */
  | { readonly type: 'control-connected'; readonly to: Address; readonly zone: Zone }
  /** The list of control members in the settings has changed. */
  | { readonly type: 'control-members'; readonly members: readonly Address[] }
  | { readonly type: 'request'; readonly request: ArrivedRequest }
  | { readonly type: 'request-cancelled'; readonly request: RequestNumber }
  | { readonly type: 'attempt-ended'; readonly attempt: AttemptNumber; readonly result: AttemptResult }
  /** The head of an answer arrived. Sent before the end of its attempt. */
  | { readonly type: 'upstream-notice'; readonly attempt: AttemptNumber; readonly notice: UpstreamNotice }
  /** A large answer was received; `millis` is the time from its first byte to its last. */
  | { readonly type: 'answer-carried'; readonly bytes: number; readonly millis: number }
  /** The machine was suspended for `millis`, which the monotonic clock doesn't include. */
  | { readonly type: 'suspended'; readonly millis: number }
  /** Outcome of `try-path`. */
  | { readonly type: 'path-tried'; readonly number: PathTryNumber; readonly outcome: PathOutcome }
  /** A router that carries connections for this one stops: it opens no more, and idle ones are closed. */
  | { readonly type: 'relay-closing'; readonly router: RouterId }
  /** Another router asks to be connected to an upstream; answered by `relay-target` at once. */
  | { readonly type: 'relay-requested'; readonly number: RelayRequestNumber; readonly upstream: UpstreamId }
  /** Result of `check-run`. */
  | { readonly type: 'run-checked'; readonly run: RunName; readonly check: RunCheck }
  /** Result of an upstream's health and load endpoints; a hint only. */
  | {
      readonly type: 'probe-result';
      readonly upstream: UpstreamId;
      readonly healthy: boolean;
      readonly load: number | null;
    }
  /**
   * A planned stop began. At `endsAt` what waits is refused; what upstreams work on is left to them until `breaksOffAt` (default: `endsAt`), when
   * every request gets its answer.
   */
  | { readonly type: 'stopping'; readonly endsAt: MonotonicMillis; readonly breaksOffAt?: MonotonicMillis }
  /** Turns `policy-trace` effects on or off. */
  | { readonly type: 'policy-trace'; readonly on: boolean }
  /** The platform's list of machines, which may be outdated; a hint only. */
  | {
      readonly type: 'platform-list';
      readonly leaving: readonly UpstreamId[];
      readonly live: readonly UpstreamId[];
    };

export type RefusalReason =
  | 'no-configuration'
  | 'unknown-service'
  | 'unknown-route'
  | 'key-required'
  | 'idempotency-key-required'
  | 'idempotency-key-mismatch'
  | 'idempotency-key-expired'
  | 'still-running'
  | 'outcome-unknown'
  | 'ledger-unavailable'
  | 'no-owner'
  | 'no-upstream'
  /** Nothing comes back from the upstream, neither to this router nor to others that were asked. */
  | 'no-path'
  | 'upstream-limited'
  | 'upstream-resting'
  | 'queue-full'
  | 'link-full'
  /** The request waited, wasn't sent, and more important requests need its place. */
  | 'gave-way'
  | 'would-miss-deadline'
  /** The router stops as planned, and the request can't be known to end before it does. */
  | 'stopping'
  | 'deadline-passed'
  | 'policy-refused'
  | 'upstream-failed'
  | 'quarantined'
  | 'retry-budget-spent'
  | 'attempts-spent';

/** Inputs of a decision by rank. */
export interface OrderFacts {
  /** Rank of the route, plus one half if the demand for the request's key exceeds its owner's capacity. */
  readonly rank: number;
  /** Number of waiting requests ahead of it. */
  readonly ahead: number;
  /** Usual number of outstanding requests per slot at the service's upstreams, and the age of the last report of it. */
  readonly usualLoad: number;
  readonly loadAgoMillis: number | null;
}

/** Inputs of a decision about a request, for the log. Times in milliseconds. */
export interface DecisionFacts {
  /** `null`: the request is addressed to a service. */
  readonly route: string | null;
  readonly service: ServiceName;
  /** Version of the declaration in force at this router; 0: none. */
  readonly version: number;
  /** Revision of the configuration, and how long ago it was confirmed to be the latest; `null`: never. */
  readonly revision: Revision;
  readonly confirmedAgoMillis: number | null;
  /** Owner of the key and its fence; `null`: the key has no owner, or the service has no keys. */
  readonly owner: UpstreamId | null;
  readonly fence: Epoch | null;
  /** Number of waiting requests of the service, and the expected wait of one more. */
  readonly waiting: number;
  readonly waitMillis: number;
  /** Number of the service's upstreams that take requests. */
  readonly usable: number;
  /** Set where ranks compete or the key is hot: inputs of the queue order and the capacity by rank. */
  readonly order?: OrderFacts;
  /** Set if the owner reported a rate limit: the limit, the age of the report, and the permits available here. */
  readonly limit?: ReportedLimit & { readonly permits: number };
  /** Set if the owner requested a back-off from this router: the remaining time in milliseconds. */
  readonly restMillis?: number;
  /** Set if the settings contain the link width. */
  readonly link?: LinkStatus;
  /** Set if upstream runs ended while they served the request. */
  readonly fingerprint?: RequestFingerprint;
  /** Set if the request was refused for lack of capacity: whether its caller got a reserved retry time. */
  readonly returns?: ReturnOffer;
}

export type RouterEffect =
  | { readonly type: 'send-control'; readonly to: Address; readonly message: RouterToControl }
  | {
      readonly type: 'dispatch';
      readonly request: RequestNumber;
      readonly attempt: AttemptNumber;
      readonly upstream: UpstreamId;
      readonly address: Address;
      /** Only for shards of upstreams with a fence. */
      readonly credentials: FenceCredentials | null;
      /** Run of an upstream that announced itself; no other run may accept the request. */
      readonly instance: UpstreamId | null;
      /** Remaining time. */
      readonly deadlineMillis: number;
      /** Revision of the configuration that chose the upstream, and the owner's fence. */
      readonly revision: Revision;
      readonly fence: Epoch | null;
      /** Time since this router last received anything from the upstream; `null`: never. */
      readonly heardAgoMillis: number | null;
      /** The I/O layer buffers whole answers up to this size before it reports `answered`. */
      readonly wholeAnswerBytes: number;
      /** The router that carries the connection; `null`: the connection is direct. */
      readonly via: RelayPeer | null;
    }
  /** Opens a connection to an upstream over a path, closes it, and reports the outcome; nothing is sent on it. */
  | {
      readonly type: 'try-path';
      readonly number: PathTryNumber;
      readonly upstream: UpstreamId;
      readonly address: Address;
      readonly via: RelayPeer | null;
    }
  /** Answer to `relay-requested`. */
  | { readonly type: 'relay-target'; readonly number: RelayRequestNumber; readonly target: RelayTarget }
  /** Closes the idle connections of a path, and busy ones once they are idle. `via`: `null` for the direct path. */
  | { readonly type: 'close-path'; readonly address: Address; readonly via: RouterId | null }
  /** Opens a connection to this address and reports at once whether it was accepted; nothing is sent on it. */
  | { readonly type: 'check-run'; readonly run: RunName; readonly address: Address }
  | { readonly type: 'cancel-attempt'; readonly attempt: AttemptNumber }
  /** Cancels the attempts on this upstream that wait for a connection; each ends as `connect-failed`, `recalled`. */
  | { readonly type: 'recall-unsent'; readonly upstream: UpstreamId }
  /** Sends the answer of this attempt to the caller. */
  | { readonly type: 'deliver'; readonly request: RequestNumber; readonly attempt: AttemptNumber }
  /** Sends an answer stored in the ledger to the caller. */
  | { readonly type: 'deliver-stored'; readonly request: RequestNumber; readonly answer: StoredAnswer }
  /** Sends the router's own answer to the caller at once. */
  | {
      readonly type: 'refuse';
      readonly request: RequestNumber;
      readonly status: number;
      readonly outcome: Outcome;
      readonly reason: RefusalReason;
      readonly retryAfterMillis: number | null;
      /** `null`: the request was refused before any state was examined. */
      readonly facts: DecisionFacts | null;
    }
  /** The time for answers in a planned stop is over: every request that was handed on has its answer. */
  | { readonly type: 'stop-ended' }
  /** Sets the limits on callers. */
  | { readonly type: 'limit-callers'; readonly limits: CallerLimits }
  /** Input of a policy decision; emitted only while policy tracing is on. */
  | { readonly type: 'policy-trace'; readonly record: PolicyTraceRecord }
  | {
      readonly type: 'log';
      readonly level: 'info' | 'warn' | 'error';
      readonly event: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** Behavior of a router after its configuration lease ends. */
export type WhenOutOfTouch = 'refuse' | 'serve';

/** Retry times of refused callers. `spread`: all around the time of expected capacity. `reserved`: one per caller, with capacity kept for it. */
export type ReturnTimesMode = 'spread' | 'reserved';

export interface RouterConfig {
  readonly router: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: Zone;
  readonly seed: number;
  readonly control: readonly Address[];
  readonly configLease: ConfigLeaseTimings;
  /** How long to wait for a claim response from the ledger. After that `not-run` isn't proved: the claim is released or left `unknown`. */
  readonly claimTimeoutMillis: number;
  /** Behavior without a confirmed configuration for long: refuses requests (the default), or serves with the last one received. */
  readonly whenOutOfTouch?: WhenOutOfTouch;
  /** Whether requests that arrive before the first configuration wait for it for a short time; refused if left out. */
  readonly holdsEarlyRequests?: boolean;
  /** How far all routers together may exceed the capacity of cold upstreams; the defaults if left out. */
  readonly warmupBounds?: WarmupBounds;
  /** Picker for upstreams of services that aren't keyed; `least-work` if left out. */
  readonly picker?: PickerName;
  /** Whether less important requests, and those of a hot key, leave headroom for the others; they don't if left out. */
  readonly roomByRank?: boolean;
  /** Retry times of callers that are refused for lack of capacity; `spread` if left out. */
  readonly returnTimes?: ReturnTimesMode;
  /** Address of this router's port for other routers; if left out, it carries no connections of others and learns of no peers. */
  readonly relayAddress?: Address;
  /** The region of each zone, so that no relay in a third region is preferred; not heeded for zones that are left out. */
  readonly regions?: Readonly<Record<Zone, string>>;
  /** Width of the router's link in each direction; if left out, large answers aren't delayed for it. */
  readonly linkBytesPerMilli?: number;
}

/** State of the router's link. */
export interface LinkStatus {
  /** Number of requests for large answers that wait for link capacity. */
  readonly waiting: number;
  /** Estimated throughput in bytes per millisecond. */
  readonly bytesPerMilli: number;
}

export interface RouterStatus {
  readonly revision: number;
  readonly serving: boolean;
  readonly queued: number;
  readonly inFlight: number;
  /** Number of claims whose settlement the ledger hasn't acknowledged. */
  readonly unsettled: number;
  /** Number of upstreams with a rate limit in force at this router. */
  readonly limited: number;
  /** Number of upstreams with a back-off in force at this router. */
  readonly resting: number;
  /** Number of upstreams that reported in their answers that they are draining. */
  readonly leaving: number;
  /** Number of upstreams that are reached through other routers, and the number of these routers. */
  readonly relayed: { readonly upstreams: number; readonly relays: number };
  /** Left out if the settings contain no link width. */
  readonly link?: LinkStatus;
  /** Retry times given to refused callers, and their results. */
  readonly returns: ReturnCounts;
  /** Outcome counts of each route. */
  readonly routes: readonly RouteTally[];
}

/** Deterministic core of a router. `wall` is used only for the ages of idempotency keys. */
export interface RouterCore {
  step(input: RouterInput, now: number, wall: WallMillis): RouterEffect[];
  nextDeadline(): number;
  status(): RouterStatus;
}
