/** Derives from the state of a session the change that the registry must apply, and the leader's view of the session. */
import type { GranterSession } from './granter-session.js';
import type { SessionChange, SessionView } from './granter-types.js';

/** Returns the change that the registry must apply. `isLeaseOver`: whether the lease of the registered incarnation has certainly ended. */
export function changeOf(session: GranterSession, isLeaseOver: boolean): SessionChange | undefined {
  const { incarnation, answer } = session;
  const { upstream } = session.target;
  if (incarnation === null) {
    return answer === null
      ? undefined
      : { type: 'open', upstream, incarnation: answer.incarnation, previous: null };
  }
  if (session.phase !== 'ending' || !isLeaseOver) {
    return undefined;
  }
  const successor = answer !== null && answer.incarnation !== incarnation ? answer.incarnation : null;
  return successor === null
    ? { type: 'end', upstream, incarnation }
    : { type: 'open', upstream, incarnation: successor, previous: incarnation };
}

/** Returns the leader's view of a session. */
export function viewOf(session: GranterSession): SessionView {
  return {
    upstream: session.target.upstream,
    phase: session.phase,
    incarnation: session.incarnation,
    answer: session.lastOrderAnswer,
    answeredAt: session.received?.receivedAt ?? null,
    failing: session.failingSince !== null,
  };
}
