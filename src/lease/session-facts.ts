/** What follows from the state of a session: what the registry is to change, and what the leader sees of it. */
import type { GranterSession } from './granter-session.js';
import type { SessionChange, SessionView } from './granter-types.js';

/** `isOver`: the lease of the incarnation that the registry knows has surely ended. */
export function changeOf(session: GranterSession, isOver: boolean): SessionChange | undefined {
  const { incarnation, answer } = session;
  const { upstream } = session.target;
  if (incarnation === null) {
    return answer === null
      ? undefined
      : { type: 'open', upstream, incarnation: answer.incarnation, previous: null };
  }
  if (session.phase !== 'ending' || !isOver) {
    return undefined;
  }
  const successor = answer !== null && answer.incarnation !== incarnation ? answer.incarnation : null;
  return successor === null
    ? { type: 'end', upstream, incarnation }
    : { type: 'open', upstream, incarnation: successor, previous: incarnation };
}

/** What the leader sees of a session. */
export function viewOf(session: GranterSession): SessionView {
  return {
    upstream: session.target.upstream,
    phase: session.phase,
    incarnation: session.incarnation,
    answer: session.followed,
    answeredAt: session.received?.receivedAt ?? null,
    failing: session.failingSince !== null,
  };
}
