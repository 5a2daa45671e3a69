/** Interface of the granter's side of session leases, used by the control leader. */
import type {
  Address,
  ClusterId,
  Incarnation,
  MonotonicMillis,
  ReplicaId,
  Term,
  UpstreamId,
} from '../model/identifiers.js';
import type { KeyMap, LeaseTimings, SessionAnswer, SessionRequest } from './types.js';

/** Settings of a granter. */
export interface GranterConfig {
  readonly cluster: ClusterId;
  readonly leader: ReplicaId;
  /** Term of the leadership; a granter exists for one leadership. */
  readonly term: Term;
  /** Start of the leadership, from which leases of earlier leaders are bounded. */
  readonly electedAt: MonotonicMillis;
  readonly timings: LeaseTimings;
  /** Seed of the jitter that spreads renewals. */
  readonly seed: number;
}

/** Desired state of one upstream's session according to the registry, except orders about single shards. */
export interface SessionTarget {
  readonly upstream: UpstreamId;
  readonly address: Address;
  /** Incarnation with a session in the registry. */
  readonly incarnation: Incarnation | null;
  readonly keyMap: KeyMap;
  readonly drain: boolean;
}

/** A session request to be sent to an upstream. */
export interface SessionCall {
  readonly upstream: UpstreamId;
  readonly address: Address;
  readonly request: SessionRequest;
}

/** A change that the registry must apply before the granter continues. */
export type SessionChange =
  | {
      readonly type: 'open';
      readonly upstream: UpstreamId;
      readonly incarnation: Incarnation;
      readonly previous: Incarnation | null;
    }
  | { readonly type: 'end'; readonly upstream: UpstreamId; readonly incarnation: Incarnation };

/**
 * `greeting`: there is no session in the registry, or its holder hasn't answered this leader yet. `leased`: the lease is
 * being renewed. `ending`: another incarnation answers, or the lease has expired.
 */
export type SessionPhase = 'greeting' | 'leased' | 'ending';

/** State of a session that the leader keeps outside the registry. */
export interface SessionView {
  readonly upstream: UpstreamId;
  readonly phase: SessionPhase;
  readonly incarnation: Incarnation | null;
  /** Last answer to a call with orders from the incarnation that holds the session, in this leadership. */
  readonly answer: SessionAnswer | null;
  readonly answeredAt: MonotonicMillis | null;
  /** Whether the last call had no answer. */
  readonly failing: boolean;
}
