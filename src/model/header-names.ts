/** Configurable names of the headers exchanged with callers and with upstreams that announce themselves. */

/** Names of headers, in lower case. */
export interface HeaderNames {
  /** Identifies a request; the upstream echoes it in its response. */
  readonly requestId: string;
  /** Remaining time of the request in milliseconds. */
  readonly deadline: string;
  /** The only run of an upstream that may accept the request. */
  readonly instance: string;
  /** Key of a request for a keyed service. */
  readonly key: string;
  /** Load reported in a response: running requests, optionally followed by waiting requests and slots, separated by commas. */
  readonly load: string;
  /** In a response: the request was rejected before it ran. */
  readonly notRun: string;
  /** In a response: rate limit of the upstream in requests per second over all routers, in effect while responses carry it. */
  readonly limit: string;
  /** In a response: the upstream is draining and accepts no new work. */
  readonly leaving: string;
}

export const DEFAULT_HEADER_NAMES: HeaderNames = {
  requestId: 'ternmount-request-id',
  deadline: 'ternmount-deadline-ms',
  instance: 'ternmount-instance',
  key: 'ternmount-key',
  load: 'ternmount-load',
  notRun: 'ternmount-not-run',
  limit: 'ternmount-limit',
  leaving: 'ternmount-leaving',
};
