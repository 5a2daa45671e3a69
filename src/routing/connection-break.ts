/** Why a connection ended before an expected answer was complete. */

export const CONNECTION_BREAKS = {
  /** Closed by the upstream, or its process ended. */
  closed: 'closed',
  /** Reset by the upstream or its operating system. */
  reset: 'reset',
  /** Closed by the router: the received data was not an answer to the request. */
  wrongAnswer: 'wrong-answer',
  /** The connection to the router that carried it ended; the upstream may still be at work. */
  relayLost: 'relay-lost',
  /** Closed by the router: no more data arrived. */
  stalled: 'stalled',
} as const;

export type ConnectionBreak = (typeof CONNECTION_BREAKS)[keyof typeof CONNECTION_BREAKS];

const NOT_BY_UPSTREAM: ReadonlySet<ConnectionBreak | undefined> = new Set([
  CONNECTION_BREAKS.wrongAnswer,
  CONNECTION_BREAKS.stalled,
  CONNECTION_BREAKS.relayLost,
]);

/** Whether the upstream's side ended the connection, as happens when its process ends. */
export function isBrokenByUpstream(how: ConnectionBreak | undefined): boolean {
  return !NOT_BY_UPSTREAM.has(how);
}
