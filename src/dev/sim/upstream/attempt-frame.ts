/** Messages on a connection between a router and an upstream. */
import type { FenceCredentials, FenceRefusal } from '../../../lease/types.js';
import type { SendId } from '../../checker/history.js';
import type { UpstreamConstraint } from './upstream-constraint.js';

/** A request as sent by a router. */
export interface AttemptFrame {
  readonly requestId: string;
  readonly send: SendId;
  readonly content: string;
  readonly credentials: FenceCredentials | null;
  /** Name and incarnation of the router. */
  readonly router: string;
}

/** The constraint that an upstream reports in the head of an answer. */
export interface ReportedConstraint {
  /** Run of the upstream. */
  readonly incarnation: string;
  readonly constraint: UpstreamConstraint;
  /** True time of the report. */
  readonly at: number;
}

/** A part of an answer. `end` follows `head`; a refusal is complete by itself. */
export type AnswerFrame =
  | {
      readonly type: 'head';
      readonly requestId: string;
      readonly ranFor: SendId;
      readonly content: string;
      readonly reported?: ReportedConstraint;
    }
  | { readonly type: 'end'; readonly requestId: string; readonly load: number }
  | {
      readonly type: 'refusal';
      readonly requestId: string;
      readonly refusal: FenceRefusal;
      readonly reported?: ReportedConstraint;
    };

/** Channel for an upstream's answer. */
export interface ReplyToAttempt {
  send(frame: AnswerFrame): void;
  refuse(refusal: FenceRefusal, reported?: ReportedConstraint): void;
  /** Closes the connection. */
  close(): void;
}
