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
  /** Requests of other clusters are refused. `null`: the first cluster that is heard of is kept. */
  readonly cluster: ClusterId | null;
  readonly upstream: UpstreamId;
  /** Names this run of the process; must never repeat. */
  readonly incarnation: Incarnation;
}

/** Names one request that the fence let in. */
export interface Ticket {
  readonly number: number;
  readonly shard: ShardId;
  readonly epoch: Epoch;
}

/** The fence's word on a request. */
export type Admission =
  | { readonly type: 'admitted'; readonly ticket: Ticket }
  /** The request has not run. */
  | { readonly type: 'refused'; readonly refusal: FenceRefusal };

/** What the server that embeds the fence has to do or may want to know. */
export type HolderEvent =
  /** Load the shard's state, then call `markWarmed`. */
  | { readonly type: 'warm'; readonly shard: ShardId }
  /** Requests of the shard may come from now on. */
  | { readonly type: 'granted'; readonly shard: ShardId; readonly epoch: Epoch; readonly warmed: boolean }
  /** No new work on the shard; what runs may finish. */
  | { readonly type: 'revoked'; readonly shard: ShardId; readonly remaining: number }
  /** The shard is given up; its state may be dropped. */
  | { readonly type: 'released'; readonly shard: ShardId };

/** State of a holder, for health and load endpoints. */
export interface HolderStatus {
  readonly leased: boolean;
  readonly draining: boolean;
  readonly held: number;
  /** Shards revoked whose release no answer to the leader has carried yet. */
  readonly unreported: number;
  readonly inFlight: number;
}

/** Deterministic; `now` is the holder's own monotonic clock. */
export interface GrantHolder {
  /** Takes a leader's message and gives the answer, also when the message is refused. */
  handleSession(request: SessionRequest, now: MonotonicMillis): SessionAnswer;
  /** The fence at the start of a request. Each admitted ticket must be finished. */
  admit(credentials: FenceCredentials, now: MonotonicMillis): Admission;
  /** The fence at the point of effect: `false` means that the request must have no effect. */
  confirmEffect(ticket: Ticket, now: MonotonicMillis): boolean;
  /** The request is over, with or without effect. Finishing twice is harmless. */
  finish(ticket: Ticket, now: MonotonicMillis): void;
  /** The state of a shard that a `warm` event named is loaded. */
  markWarmed(shard: ShardId): void;
  /** Events since the last call, oldest first. */
  takeEvents(): HolderEvent[];
  status(now: MonotonicMillis): HolderStatus;
}
