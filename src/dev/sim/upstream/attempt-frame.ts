/** What goes over a connection between a router and an upstream. */
import type { FenceCredentials, FenceRefusal } from '../../../lease/types.js';
import type { SendId } from '../../checker/history.js';

/** A request as a router sends it. */
export interface AttemptFrame {
  readonly requestId: string;
  readonly send: SendId;
  readonly content: string;
  readonly credentials: FenceCredentials | null;
}

/** A part of an answer. `end` follows on `head`; a refusal is whole by itself. */
export type AnswerFrame =
  | { readonly type: 'head'; readonly requestId: string; readonly ranFor: SendId; readonly content: string }
  | { readonly type: 'end'; readonly requestId: string; readonly load: number }
  | { readonly type: 'refusal'; readonly requestId: string; readonly refusal: FenceRefusal };

/** Where an upstream sends its answer. */
export interface ReplyToAttempt {
  send(frame: AnswerFrame): void;
  refuse(refusal: FenceRefusal): void;
  /** Closes the connection. */
  close(): void;
}
