/** Interface of the granter's side of session leases, as the control leader uses it. */
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
  /** Term of the leadership; a granter lives for one leadership. */
  readonly term: Term;
  /** When the leadership began: leases of earlier leaders are bounded from here. */
  readonly electedAt: MonotonicMillis;
  readonly timings: LeaseTimings;
  /** Seed of the jitter which spreads renewals. */
  readonly seed: number;
}

/** What the registry wants of one upstream's session, beside orders about single shards. */
export interface SessionTarget {
  readonly upstream: UpstreamId;
  readonly address: Address;
  /** Incarnation that the registry holds a session of. */
  readonly incarnation: Incarnation | null;
  readonly keyMap: KeyMap;
  readonly drain: boolean;
}

/** A session request that is to be sent to an upstream. */
export interface SessionCall {
  readonly upstream: UpstreamId;
  readonly address: Address;
  readonly request: SessionRequest;
}

/** A change that the registry must make before the granter goes on. */
export type SessionChange =
  | {
      readonly type: 'open';
      readonly upstream: UpstreamId;
      readonly incarnation: Incarnation;
      readonly previous: Incarnation | null;
    }
  | { readonly type: 'end'; readonly upstream: UpstreamId; readonly incarnation: Incarnation };

/**
 * `greeting`: no session in the registry, or none that this leader heard of yet. `leased`: renewed.
 * `ending`: another incarnation answers, or the lease has run out.
 */
export type SessionPhase = 'greeting' | 'leased' | 'ending';

/** What the leader knows of a session beside the registry. */
export interface SessionView {
  readonly upstream: UpstreamId;
  readonly phase: SessionPhase;
  readonly incarnation: Incarnation | null;
  /** Last answer to a call with orders, by the incarnation that holds the session, in this leadership. */
  readonly answer: SessionAnswer | null;
  readonly answeredAt: MonotonicMillis | null;
  /** Whether the last call went unanswered. */
  readonly failing: boolean;
}
