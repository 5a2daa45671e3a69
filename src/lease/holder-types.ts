/** Interface of the holder's side of a session lease: the fence that a server which owns keys embeds. */
import type {
  ClusterId,
  Epoch,
  Incarnation,
  MonotonicMillis,
  ShardId,
  UpstreamId,
} from '../model/identifiers.js';
import type { FenceCredentials, FenceRefusal, SessionAnswer, SessionRequest } from './types.js';

/** Settings of a holder. */
export interface GrantHolderConfig {
  /** Requests of other clusters are rejected. `null`: the cluster of the first request is adopted. */
  readonly cluster: ClusterId | null;
  readonly upstream: UpstreamId;
  /** Identifies this run of the process; must never be reused. */
  readonly incarnation: Incarnation;
}

/** Identifies one request that the fence admitted. */
export interface Ticket {
  readonly number: number;
  readonly shard: ShardId;
  readonly epoch: Epoch;
}

/** Decision of the fence on a request. */
export type Admission =
  | { readonly type: 'admitted'; readonly ticket: Ticket }
  /** The request did not run. */
  | { readonly type: 'refused'; readonly refusal: FenceRefusal };

/** Event for the server that embeds the fence, which may require an action. */
export type HolderEvent =
  /** Load the shard's state, then call `markWarmed`. */
  | { readonly type: 'warm'; readonly shard: ShardId }
  /** Requests for the shard may arrive from now on. */
  | { readonly type: 'granted'; readonly shard: ShardId; readonly epoch: Epoch; readonly warmed: boolean }
  /** New work on the shard is rejected; running requests may finish. */
  | { readonly type: 'revoked'; readonly shard: ShardId; readonly remaining: number }
  /** The shard is released; its state may be dropped. */
  | { readonly type: 'released'; readonly shard: ShardId };

/** State of a holder, for health and load endpoints. */
export interface HolderStatus {
  readonly leased: boolean;
  readonly draining: boolean;
  readonly held: number;
  /** Number of revoked shards whose release hasn't been part of an answer to the leader yet. */
  readonly unreported: number;
  readonly inFlight: number;
}

/** Holder's side of a session lease. Deterministic; `now` is the holder's own monotonic clock. */
export interface GrantHolder {
  /** Processes a leader's message and returns the answer, even if the message is rejected. */
  handleSession(request: SessionRequest, now: MonotonicMillis): SessionAnswer;
  /** Checks a request at its start. Each admitted ticket must be finished. */
  admit(credentials: FenceCredentials, now: MonotonicMillis): Admission;
  /** Checks a request at the point of effect; with `false`, the request must have no effect. */
  confirmEffect(ticket: Ticket, now: MonotonicMillis): boolean;
  /** Marks a request as finished, with or without effect. Idempotent. */
  finish(ticket: Ticket, now: MonotonicMillis): void;
  /** Marks the state of a shard as loaded, after a `warm` event. */
  markWarmed(shard: ShardId): void;
  /** Returns the events since the last call, oldest first. */
  takeEvents(): HolderEvent[];
  status(now: MonotonicMillis): HolderStatus;
}
