/** What a soak has seen on its own sockets and of its processes. Times are milliseconds of the monotonic clock of the test. */

export const CONNECTION_END = {
  /** The router ended it, or said in an answer that it does. */
  router: 'router',
  /** The router's end was a reset. */
  reset: 'reset',
  /** The caller gave up, some time after the request's deadline. */
  givenUp: 'given-up',
} as const;
export type ConnectionEnd = (typeof CONNECTION_END)[keyof typeof CONNECTION_END];

export interface AnswerRecord {
  readonly at: number;
  readonly status: number;
  /** Whether it carries the seal of an upstream. */
  readonly isSealed: boolean;
  /** Whether id, seal and body are what the upstream sent. */
  readonly isRight: boolean;
  /** Whether it closes its connection. */
  readonly closes: boolean;
}

/** A request that was sent whole. */
export interface RequestRecord {
  readonly id: string;
  readonly router: string;
  readonly caller: string;
  /** Whether it may run at most once. */
  readonly isOrder: boolean;
  /** Time of its first byte, from which its deadline counts. */
  readonly startedAt: number;
  /** Time of its last byte. */
  readonly sentAt: number;
  readonly deadlineMillis: number;
  /** Whether the caller had closed its side before the answer. */
  readonly isHalfClosed: boolean;
  /** Whether none came behind it before its answer. */
  readonly isLast: boolean;
  readonly answer: AnswerRecord | null;
  /** When its connection ended, if that came before an answer. */
  readonly endedAt: number | null;
  readonly end: ConnectionEnd | null;
}

export const RUN_RESULT = {
  /** The upstream wrote its whole answer. */
  sound: 'sound',
  /** The connection ended while the upstream worked. */
  cut: 'cut',
  /** The upstream broke its answer or ended. */
  broken: 'broken',
  /** The upstream's work ended, and it wrote nothing and kept the connection. */
  silent: 'silent',
} as const;
export type RunResult = (typeof RUN_RESULT)[keyof typeof RUN_RESULT];

export interface RunRecord {
  readonly id: string;
  readonly upstream: string;
  readonly startedAt: number;
  endedAt: number | null;
  result: RunResult | null;
}

export const DISTURBANCE = {
  term: 'SIGTERM',
  hup: 'SIGHUP',
  kill: 'SIGKILL',
  freeze: 'SIGSTOP',
  wipe: 'wipe',
  start: 'start',
  reset: 'reset of upstream connections',
  busy: 'busy processor',
} as const;
export type DisturbanceKind = (typeof DISTURBANCE)[keyof typeof DISTURBANCE];

export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly process: string;
  readonly from: number;
  readonly until: number;
}

export interface ExitRecord {
  readonly process: string;
  readonly at: number;
  /** How long the process had run. */
  readonly ranMillis: number;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** The signal that was meant to end it. */
  readonly cause: 'SIGTERM' | 'SIGKILL' | null;
  /** The last signal before the end, with its age, for messages. */
  readonly lastSignal: string;
}

/** A time in which a process that runs without a disturbance didn't say that it is ready. */
export interface UnreadyRecord {
  readonly process: string;
  readonly from: number;
  readonly until: number;
}

export interface AcknowledgedChange {
  readonly version: number;
  readonly marks: string;
  readonly at: number;
}

export interface ConfigurationRead {
  readonly member: string;
  readonly sentAt: number;
  readonly version: number;
  readonly marks: string;
}

export interface SoakRecords {
  readonly requests: readonly RequestRecord[];
  readonly runs: readonly RunRecord[];
  readonly disturbances: readonly Disturbance[];
  readonly exits: readonly ExitRecord[];
  readonly unready: readonly UnreadyRecord[];
  readonly changes: readonly AcknowledgedChange[];
  readonly reads: readonly ConfigurationRead[];
  /** The configuration at the end, or `null` if none came. */
  readonly last: ConfigurationRead | null;
}
