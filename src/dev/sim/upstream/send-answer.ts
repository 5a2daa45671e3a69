/** Sends an upstream's answer, sometimes truncated, duplicated or with another request's id. */
import type { Random } from '../random.js';
import type { AttemptFrame, ReplyToAttempt, ReportedConstraint } from './attempt-frame.js';

export function sendAnswer(
  frame: AttemptFrame,
  reply: ReplyToAttempt,
  random: Random,
  badShare: number,
  load: number,
  reported: ReportedConstraint | undefined,
): void {
  const { requestId, send, content } = frame;
  const head = { type: 'head', requestId, ranFor: send, content, ...(reported && { reported }) } as const;
  const end = { type: 'end', requestId, load } as const;
  if (!random.chance(badShare)) {
    reply.send(head);
    reply.send(end);
    return;
  }
  switch (random.integer(0, 2)) {
    case 0:
      reply.send(head);
      reply.close();
      return;
    case 1:
      for (const part of [head, end, head, end]) {
        reply.send(part);
      }
      return;
    default:
      reply.send({ ...head, requestId: `${requestId}?`, ranFor: 'nobody', content: 'something else' });
      reply.send({ ...end, requestId: `${requestId}?` });
  }
}
