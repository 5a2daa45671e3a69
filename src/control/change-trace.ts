/**
 * One log record per operator change at this member, with its outcome and the time of each phase. A slow change shows where it
 * waited; a redirected or rejected one shows which leader this member assumed at that time.
 */
import type { RaftStatus } from '../consensus/types.js';
import type { MonotonicMillis } from '../model/identifiers.js';
import type { OperatorRequest, OperatorResponse } from './types.js';

/** Requests that are traced: manual changes, which are rare. */
export type TracedRequest = Extract<OperatorRequest, { readonly type: 'command' | 'declare' | 'evacuate' }>;

/** When a proposal reached each phase; `null`: it didn't reach it. */
export interface ProposalTimes {
  readonly proposedAt: MonotonicMillis;
  /** Committed by a quorum, and on this member's own disk. */
  readonly committedAt: MonotonicMillis | null;
  readonly appliedAt: MonotonicMillis | null;
}

/** Fields of a `change-settled` record. */
export interface ChangeRecord {
  readonly subject: string;
  readonly outcome: string;
  readonly revision: number | null;
  readonly role: RaftStatus['role'];
  readonly term: number;
  readonly leader: string | null;
  readonly committedMillis: number | null;
  readonly appliedMillis: number | null;
  readonly answeredMillis: number;
}

/** Describes a change. A declared version is written as in the audit log, so that one search finds its attempts at all members. */
export function subjectOf(request: TracedRequest): string {
  switch (request.type) {
    case 'declare':
      return `version ${request.change.version} on ${request.change.expected}`;
    case 'command':
      return `${request.command.type} ${request.requestId}`;
    case 'evacuate':
      return `${request.isOut ? 'evacuate' : 'end-evacuation'} ${request.zone}`;
  }
}

/** Builds the record of a change that is answered at `now`; each phase counts from the end of the previous one. */
export function changeRecord(
  request: TracedRequest,
  response: OperatorResponse,
  { role, term, leader }: RaftStatus,
  times: ProposalTimes | undefined,
  now: MonotonicMillis,
): ChangeRecord {
  const { proposedAt, committedAt, appliedAt } = times ?? {
    proposedAt: now,
    committedAt: null,
    appliedAt: null,
  };
  const result = response.type === 'result' ? response.result : null;
  return {
    subject: subjectOf(request),
    outcome: result?.type ?? response.type,
    revision: result?.type === 'accepted' ? result.revision : null,
    role,
    term,
    leader,
    committedMillis: millisBetween(proposedAt, committedAt),
    appliedMillis: millisBetween(committedAt, appliedAt),
    answeredMillis: Math.round(now - (appliedAt ?? committedAt ?? proposedAt)),
  };
}

function millisBetween(from: MonotonicMillis | null, to: MonotonicMillis | null): number | null {
  return from === null || to === null ? null : Math.round(to - from);
}
