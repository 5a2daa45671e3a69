/** Why a connection ended before an expected answer was complete. */

export const CONNECTION_BREAKS = {
  /** Closed by the upstream, or its process ended. */
  closed: 'closed',
  /** Reset by the upstream or its operating system. */
  reset: 'reset',
  /** Closed by the router: the received data was not an answer to the request. */
  wrongAnswer: 'wrong-answer',
  /** Closed by the router: no more data arrived. */
  stalled: 'stalled',
} as const;

export type ConnectionBreak = (typeof CONNECTION_BREAKS)[keyof typeof CONNECTION_BREAKS];

/** Whether the upstream's side ended the connection, as happens when its process ends. */
export function isBrokenByUpstream(how: ConnectionBreak | undefined): boolean {
  return how !== CONNECTION_BREAKS.wrongAnswer && how !== CONNECTION_BREAKS.stalled;
}
