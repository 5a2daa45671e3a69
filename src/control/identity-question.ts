/** The question to an address which run of an upstream serves it. */
import type { Address, UpstreamId } from '../model/identifiers.js';

/** Sequence number of a question, unique within one member. */
export type QuestionId = number;

export interface IdentityQuestion {
  readonly id: QuestionId;
  readonly address: Address;
  /** The run that claims the address. */
  readonly claimant: UpstreamId;
  /** Health check path of its service; `null`: the default path. */
  readonly healthPath: string | null;
}

/** The result of a question. */
export type IdentityAnswer =
  /** The run at the address returned its id. */
  | { readonly type: 'named'; readonly upstream: UpstreamId }
  /** The run at the address isn't the claimant. */
  | { readonly type: 'another' }
  /** There was no answer, or one without an id. */
  | { readonly type: 'unknown' };
