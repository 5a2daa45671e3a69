/** How a connection on which an answer was owed came to its end. */

export const CONNECTION_BREAKS = {
  /** The upstream closed it, or its process ended. */
  closed: 'closed',
  /** The upstream, or the system that it ran on, reset it. */
  reset: 'reset',
  /** The router closed it: what came was no answer to the request. */
  wrongAnswer: 'wrong-answer',
  /** The router closed it: nothing more came. */
  stalled: 'stalled',
} as const;

export type ConnectionBreak = (typeof CONNECTION_BREAKS)[keyof typeof CONNECTION_BREAKS];

/** Whether the upstream's side ended it, as it does when its process ends. */
export function isBrokenByUpstream(how: ConnectionBreak | undefined): boolean {
  return how !== CONNECTION_BREAKS.wrongAnswer && how !== CONNECTION_BREAKS.stalled;
}
