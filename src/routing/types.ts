/**
 * Inputs and effects of the router core. Bodies never pass through it: the shell keeps them by request id and attempt id.
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
  Revision,
  RouterId,
  ServiceName,
  UpstreamId,
  WallMillis,
  Zone,
} from '../model/identifiers.js';
import type { Outcome } from '../model/outcome.js';
import type { HeardLimit, UpstreamNotice } from '../model/upstream-notice.js';
import type { WarmupBounds } from '../model/warmup-bounds.js';
import type { PolicyTraceRecord } from '../policy/index.js';
import type { ConnectionBreak } from './connection-break.js';
import type { PickerName } from './picker/picker.js';
import type { ReturnCounts } from './queue/return-times.js';
import type { RouteTally } from './queue/route-tallies.js';
import type { ReturnWord } from './work.js';

/** Number of a request within one run of a router. */
export type RequestNumber = number;
/** Number of an attempt within one run of a router. */
export type AttemptNumber = number;

export interface ArrivedRequest {
  readonly request: RequestNumber;
  /** Empty if `place` says where it goes. */
  readonly service: ServiceName;
  /** Host and path, for which a declared route is looked up; left out: it goes to `service`. */
  readonly place?: { readonly host: string; readonly path: string };
  readonly key: string | null;
  readonly method: string;
  /** Path and query, for coalescing. */
  readonly target: string;
  /**
   * What else of the request the answer may depend on, such as its cookies: only reads with the same one share an
   * attempt. `null`: it shares none; left out: nothing else.
   */
  readonly variant?: string | null;
  /**
   * What it asks for, however often it is sent; left out or `null`: it isn't watched for crashes. The shell may make it when it is
   * asked for, which takes a hash over the whole body, so it is asked for only where it is needed.
   */
  readonly fingerprint?: RequestFingerprint | null;
  /** Asked for by the caller; capped by the service's own. `null`: the service's. */
  readonly deadlineMillis: number | null;
  readonly idempotency: {
    readonly key: string;
    readonly issuedAt: WallMillis;
    readonly fingerprint: string;
  } | null;
}

/** How an attempt on an upstream ended. */
export type AttemptResult =
  /** The whole answer is in the shell's hands (or its head, if it is longer than the service's bound). */
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly load: number | null;
      readonly stored: StoredAnswer | null;
      /** Meant for the request that was sent alone: nobody who joined it may have it. */
      readonly personal?: boolean;
      /** Size of the answer's body; left out or `null`: not known when its head came. */
      readonly bytes?: number | null;
    }
  /** The upstream's fence or shedding turned it away before it started. */
  | {
      readonly type: 'refused';
      readonly refusal: FenceRefusal;
      readonly retryAfterMillis: number | null;
      /** Outstanding work that the refusal reported; left out or `null`: none. */
      readonly load?: number | null;
    }
  /** No connection was made: nothing was sent. */
  /** `turnedAway`: the upstream took a connection and ended it at once. `refused`: nothing listens at the address. */
  /** `recalled`: it was taken back by `recall-unsent` while it waited for a connection. */
  | {
      readonly type: 'connect-failed';
      readonly turnedAway?: boolean;
      readonly refused?: boolean;
      readonly recalled?: boolean;
    }
  /** Something was sent and no whole answer came. `how`: left out if the shell can't tell. */
  | { readonly type: 'broken'; readonly how?: ConnectionBreak }
  | { readonly type: 'cancelled' };

/** Whether anything takes connections at an address: `silent` proves nothing. */
export type RunCheck = 'there' | 'gone' | 'silent';

export type RouterInput =
  | { readonly type: 'tick' }
  | { readonly type: 'control-message'; readonly from: Address; readonly message: ControlToRouter }
  | { readonly type: 'control-lost'; readonly from: Address }
  /** Messages to this member, which is in `zone`, reach it from now on. */
  | { readonly type: 'control-connected'; readonly to: Address; readonly zone: Zone }
  /** The settings name other control members now. */
  | { readonly type: 'control-members'; readonly members: readonly Address[] }
  | { readonly type: 'request'; readonly request: ArrivedRequest }
  | { readonly type: 'request-cancelled'; readonly request: RequestNumber }
  | { readonly type: 'attempt-ended'; readonly attempt: AttemptNumber; readonly result: AttemptResult }
  /** The head of an answer came; told before the end of its attempt. */
  | { readonly type: 'upstream-notice'; readonly attempt: AttemptNumber; readonly notice: UpstreamNotice }
  /** A large answer came in, from its first byte to its last in `millis`. */
  | { readonly type: 'answer-carried'; readonly bytes: number; readonly millis: number }
  /** The machine was suspended so long, which the monotonic clock doesn't show. */
  | { readonly type: 'suspended'; readonly millis: number }
  /** Answers `check-run`. */
  | { readonly type: 'run-checked'; readonly run: RunName; readonly check: RunCheck }
  /** Evidence from an upstream's health and load endpoints: hints only. */
  | {
      readonly type: 'probe-result';
      readonly upstream: UpstreamId;
      readonly healthy: boolean;
      readonly load: number | null;
    }
  /** Whether `policy-trace` effects are wanted from now on. */
  | { readonly type: 'policy-trace'; readonly on: boolean }
  /** The platform's list of machines, which lags: hints only. */
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
  | 'upstream-limited'
  | 'upstream-resting'
  | 'queue-full'
  | 'link-full'
  /** It waited, wasn't sent, and more important work needs its place. */
  | 'gave-way'
  | 'would-miss-deadline'
  | 'deadline-passed'
  | 'policy-refused'
  | 'upstream-failed'
  | 'quarantined'
  | 'retry-budget-spent'
  | 'attempts-spent';

/** What a decision by rank relied on. */
export interface OrderFacts {
  /** That of its route; a half more if its key asks for more than its owner can do. */
  readonly rank: number;
  /** Waiting requests that go before it. */
  readonly ahead: number;
  /** Outstanding requests for each slot that are usual at the service's upstreams, and how long ago that was learnt last. */
  readonly usualLoad: number;
  readonly loadAgoMillis: number | null;
}

/** What a decision about a request relied on, for the log. Times in milliseconds. */
export interface DecisionFacts {
  /** `null`: addressed to a service. */
  readonly route: string | null;
  readonly service: ServiceName;
  /** Version of the declared document in force here; 0: none. */
  readonly version: number;
  /** Revision of the configuration, and how long ago it was confirmed to be the latest; `null`: never. */
  readonly revision: Revision;
  readonly confirmedAgoMillis: number | null;
  /** Owner of the key and its fence; `null`: there is none, or the service has no keys. */
  readonly owner: UpstreamId | null;
  readonly fence: Epoch | null;
  /** Requests of the service that wait, and how long one more would. */
  readonly waiting: number;
  readonly waitMillis: number;
  /** Upstreams of the service that take work. */
  readonly usable: number;
  /** Where ranks compete, or the key is hot: what the order and the room went by. */
  readonly order?: OrderFacts;
  /** Of an owner that named a limit: what it names, how long ago that was heard, and the permits at hand. */
  readonly limit?: HeardLimit & { readonly permits: number };
  /** Of an owner that asked this router for rest: what is left of it, in milliseconds. */
  readonly restMillis?: number;
  /** Where the settings say how wide the link is. */
  readonly link?: LinkStatus;
  /** Of a request under which upstreams ended. */
  readonly fingerprint?: RequestFingerprint;
  /** Of a request refused for want of room: whether it was told a time of its own to come back. */
  readonly returns?: ReturnWord;
}

export type RouterEffect =
  | { readonly type: 'send-control'; readonly to: Address; readonly message: RouterToControl }
  | {
      readonly type: 'dispatch';
      readonly request: RequestNumber;
      readonly attempt: AttemptNumber;
      readonly upstream: UpstreamId;
      readonly address: Address;
      /** Shards of upstreams with a fence only. */
      readonly credentials: FenceCredentials | null;
      /** The run of an upstream that announced itself, which alone may take the request. */
      readonly instance: UpstreamId | null;
      /** Time left. */
      readonly deadlineMillis: number;
      /** Revision of the configuration that chose the upstream, and the owner's fence. */
      readonly revision: Revision;
      readonly fence: Epoch | null;
      /** The shell reads answers whole up to this size before reporting `answered`. */
      readonly wholeAnswerBytes: number;
    }
  /** Make a connection to this address and say at once whether it was taken; nothing is sent on it. */
  | { readonly type: 'check-run'; readonly run: RunName; readonly address: Address }
  | { readonly type: 'cancel-attempt'; readonly attempt: AttemptNumber }
  /** Take back the attempts on this upstream that wait for a connection; each ends as `connect-failed`, `recalled`. */
  | { readonly type: 'recall-unsent'; readonly upstream: UpstreamId }
  /** Give the caller the answer of this attempt. */
  | { readonly type: 'deliver'; readonly request: RequestNumber; readonly attempt: AttemptNumber }
  /** Give the caller an answer that the ledger kept. */
  | { readonly type: 'deliver-stored'; readonly request: RequestNumber; readonly answer: StoredAnswer }
  /** Give the caller an answer of the router's own, at once. */
  | {
      readonly type: 'refuse';
      readonly request: RequestNumber;
      readonly status: number;
      readonly outcome: Outcome;
      readonly reason: RefusalReason;
      readonly retryAfterMillis: number | null;
      /** `null`: it was turned away before anything was looked at. */
      readonly facts: DecisionFacts | null;
    }
  /** What callers may send from now on. */
  | { readonly type: 'limit-callers'; readonly limits: CallerLimits }
  /** What a policy saw of a request; only while they are wanted. */
  | { readonly type: 'policy-trace'; readonly record: PolicyTraceRecord }
  | {
      readonly type: 'log';
      readonly level: 'info' | 'warn' | 'error';
      readonly event: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** What a router does whose configuration lease is over. */
export type WhenOutOfTouch = 'refuse' | 'serve';

/** `spread`: all about the time at which there is room. `reserved`: each a time of its own, which is kept for it. */
export type ReturnTimesMode = 'spread' | 'reserved';

export interface RouterConfig {
  readonly router: RouterId;
  readonly incarnation: Incarnation;
  readonly zone: Zone;
  readonly seed: number;
  readonly control: readonly Address[];
  readonly configLease: ConfigLeaseTimings;
  /** Wait for an answer of the ledger before giving up with `not-run` is not proved: the claim is then released or left `unknown`. */
  readonly claimTimeoutMillis: number;
  /** What a router does that hears nothing confirmed for long: it refuses (if left out), or serves what it last knew. */
  readonly whenOutOfTouch?: WhenOutOfTouch;
  /** Whether requests that come before the first configuration wait for it a short while; they are refused if left out. */
  readonly holdsEarlyRequests?: boolean;
  /** How far routers may go together beyond what cold upstreams bear; the defaults if left out. */
  readonly warmupBounds?: WarmupBounds;
  /** How upstreams of services that aren't keyed are picked; `least-work` if left out. */
  readonly picker?: PickerName;
  /** Whether less important requests, and those of a hot key, leave room for the others; they don't if left out. */
  readonly roomByRank?: boolean;
  /** What callers are told who are refused for want of room; `spread` if left out. */
  readonly returnTimes?: ReturnTimesMode;
  /** Width of the router's link, each way; large answers aren't held back for it if left out. */
  readonly linkBytesPerMilli?: number;
}

/** How the router's link stands. */
export interface LinkStatus {
  /** Requests for large answers that wait for room on it. */
  readonly waiting: number;
  /** Bytes a millisecond that it carries, as far as is known. */
  readonly bytesPerMilli: number;
}

export interface RouterStatus {
  readonly revision: number;
  readonly serving: boolean;
  readonly queued: number;
  readonly inFlight: number;
  /** Upstreams with a limit in force here. */
  readonly limited: number;
  /** Upstreams that this router leaves alone, as they asked. */
  readonly resting: number;
  /** Upstreams that said in their answers that they leave. */
  readonly leaving: number;
  /** Left out where the settings don't say how wide the link is. */
  readonly link?: LinkStatus;
  /** Times that refused callers were told, and what came of them. */
  readonly returns: ReturnCounts;
  /** What became of the requests of each route so far. */
  readonly routes: readonly RouteTally[];
}

/** Deterministic core of a router. `wall` is for ages of idempotency keys only. */
export interface RouterCore {
  step(input: RouterInput, now: number, wall: WallMillis): RouterEffect[];
  nextDeadline(): number;
  status(): RouterStatus;
}
