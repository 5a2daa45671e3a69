/** Calls that grant ranges of keys to upstreams that accept plain grants, and release them. */
import type { Address, Epoch, Incarnation, UpstreamId } from '../../model/identifiers.js';
import type { KeySpan } from '../../model/key-range.js';

/** Call number, unique across all leaderships of one member. */
export type HolderCallId = number;

interface HolderCallBase extends KeySpan {
  readonly id: HolderCallId;
  readonly upstream: UpstreamId;
  readonly address: Address;
  readonly fence: Epoch;
  /** Run of the upstream that the call is addressed to. */
  readonly run: Incarnation;
}

/** Grants keys for a limited time, or renews them. */
export interface GrantCall extends HolderCallBase {
  readonly kind: 'grant';
  readonly holdMillis: number;
  /** Handover from the previous owner; `null` if there is none. */
  readonly handover: string | null;
  /**
   * This leader or an earlier one already sent this grant, to an upstream whose runs share its id. If another run
   * accepted it now, it would hold the keys under a fence that is not higher. So the call is sent only over the
   * connection that carried the first attempt.
   */
  readonly isBound: boolean;
}

/** Releases keys; answered once no work on them is running any more. */
export interface ReleaseCall extends HolderCallBase {
  readonly kind: 'release';
}

export type HolderCall = GrantCall | ReleaseCall;

/** The outcome of a call. */
export type HolderOutcome =
  | { readonly type: 'accepted'; readonly handover: string | null }
  /** The upstream has seen a higher fence: nothing granted under this one is held any more. */
  | { readonly type: 'superseded' }
  /**
   * The connection that carried the first attempt is gone, and the process at the address now is unknown. Nothing was
   * sent.
   */
  | { readonly type: 'unbound' }
  /** The upstream gave another response. */
  | { readonly type: 'rejected'; readonly status: number }
  /** Another run answered at the address: the previous one has ended. */
  | { readonly type: 'ended' }
  /**
   * The connection was refused. This proves nothing: a device on the path can refuse connections to a live upstream
   * that holds its keys, just as the machine of an ended one does.
   */
  | { readonly type: 'refused' }
  /** No connection could be opened. */
  | { readonly type: 'not-sent' }
  /** No response in time; the connection was reset. */
  | { readonly type: 'silent' };
