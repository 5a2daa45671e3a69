/**
 * The history of a run of the system: externally observed events in the order in which they happened, recorded by the
 * simulator or any other harness. Times are true milliseconds, not those of any process's own clock.
 */

/** Identifies one sending of a request by a caller; a resend has its own id. */
export type SendId = string;

/** A process that, at the moment of observation, would accept a request for the key or let one take effect. */
export interface KeyHolder {
  readonly upstream: string;
  readonly incarnation: string;
  readonly epoch: number;
}

/** The holders of one key, all observed at the same moment. */
export interface HoldersObserved {
  readonly type: 'holders-observed';
  readonly at: number;
  /** Service and key, `service/key`. */
  readonly key: string;
  readonly holders: readonly KeyHolder[];
}

/** A request took effect: it changed the state of its key or completed its work. */
export interface RequestRan {
  readonly type: 'request-ran';
  readonly at: number;
  readonly send: SendId;
  readonly upstream: string;
  readonly incarnation: string;
  /** Keyed services: service and key, and the epoch under which the request was admitted. */
  readonly key: string | null;
  readonly epoch: number | null;
}

/** A caller sent a request. */
export interface RequestSent {
  readonly type: 'request-sent';
  readonly at: number;
  readonly send: SendId;
  readonly service: string;
  /** The content that the answer must refer to. */
  readonly content: string;
  readonly idempotencyKey: string | null;
  readonly repeatable: boolean;
  /** Whether the answer to another sending with the same content is acceptable. */
  readonly mayShareAnswer: boolean;
  /** True time by which some answer must arrive, unless a process on the path is lost. */
  readonly answerDueAt: number;
}

/** A caller received an answer written by a server. */
export interface AnswerReceived {
  readonly type: 'answer-received';
  readonly at: number;
  readonly send: SendId;
  /** The sending that the server ran, as stated in the answer. */
  readonly ranFor: SendId;
  readonly content: string;
  /** Whether the answer is complete. */
  readonly whole: boolean;
}

/** A caller received an answer written by a router. */
export interface RefusalReceived {
  readonly type: 'refusal-received';
  readonly at: number;
  readonly send: SendId;
  readonly outcome: 'not-run' | 'unknown' | 'ran';
  readonly reason: string;
}

/** A caller's connection ended without an answer. `excused`: a process crashed, or the caller cancelled. */
export interface RequestCut {
  readonly type: 'request-cut';
  readonly at: number;
  readonly send: SendId;
  readonly excused: boolean;
  readonly by: string;
}

/** The planned stop of a process aborted a request in progress. */
export interface PlannedStopCut {
  readonly type: 'planned-stop-cut';
  readonly at: number;
  readonly process: string;
  readonly send: SendId;
}

/** A router sent an attempt to an upstream. */
export interface RequestDispatched {
  readonly type: 'request-dispatched';
  readonly at: number;
  readonly send: SendId;
  readonly router: string;
  /** Revision of the configuration that the decision is based on. */
  readonly revision: number;
  readonly upstream: string;
}

/** A router's request arrived at a running upstream, whatever its result. */
export interface RequestReached {
  readonly type: 'request-reached';
  readonly at: number;
  readonly send: SendId;
  readonly upstream: string;
  /** Neither the router nor control was disturbed recently. */
  readonly isInTouch: boolean;
}

/** A run of an upstream ended because of the request that it processed. */
export interface UpstreamCrashed {
  readonly type: 'upstream-crashed';
  readonly at: number;
  readonly send: SendId;
  readonly upstream: string;
  readonly incarnation: string;
}

/** The revision that a run of a router uses. */
export interface RouterRevision {
  readonly type: 'router-revision';
  readonly at: number;
  /** Name and incarnation. */
  readonly router: string;
  readonly revision: number;
}

/** The value that a change assigns to a thing; each change has a different `marker`. */
export interface ThingValue {
  /** E.g. `service/menuboard`. */
  readonly thing: string;
  readonly marker: string;
  /** Set for upstreams. */
  readonly leaving: boolean | null;
  /** Whether the change removes the thing. */
  readonly removed: boolean;
}

/** An operator requested a change, for the first time or again. */
export interface ChangeRequested {
  readonly type: 'change-asked';
  readonly at: number;
  readonly requestId: string;
  readonly value: ThingValue;
  readonly expected: number | null;
}

/** The system answered an operator's change; `at` is when the answer left the system. */
export interface ChangeAnswered {
  readonly type: 'change-answered';
  readonly at: number;
  readonly requestId: string;
  readonly result: 'accepted' | 'conflict' | 'invalid';
  /** Accepted: its revision; conflict: the current one. */
  readonly revision: number;
  /** Whether the answer confirms that the change is in force on every router. */
  readonly inForce: boolean;
}

/** A linearizable read of every thing of one kind. */
export interface ThingsRead {
  readonly type: 'things-read';
  readonly askedAt: number;
  readonly at: number;
  /** `service` or `upstream`: the prefix of every `thing` name in this read. */
  readonly kind: 'service' | 'upstream';
  readonly things: readonly { readonly thing: string; readonly marker: string; readonly revision: number }[];
}

/** A replica committed an entry of the log. */
export interface EntryCommitted {
  readonly type: 'entry-committed';
  readonly at: number;
  readonly replica: string;
  readonly index: number;
  /** Digest of the entry's term and content. */
  readonly digest: string;
}

/** Whether a key has an owner and a request for it succeeds, after all faults ended and the time to recover passed. */
export interface RecoveryObserved {
  readonly type: 'recovery-observed';
  readonly at: number;
  readonly subject: string;
  readonly recovered: boolean;
}

/** An operator received the confirmation that a zone is out of use, or requested its use again. */
export interface EvacuationAnswered {
  readonly type: 'evacuation-answered';
  readonly at: number;
  readonly isOut: boolean;
  /** Upstreams of the zone. */
  readonly upstreams: readonly string[];
}

/** An answer with notices of its upstream in the headers reached a router. */
export interface NoticeReceived {
  readonly type: 'notice-given';
  readonly at: number;
  /** Name and incarnation. */
  readonly router: string;
  /** Run of the upstream. */
  readonly upstream: string;
  /** Time at which the upstream sent the answer. */
  readonly answeredAt: number;
  /** Requests per second that the upstream accepts from all routers together. */
  readonly limitPerSecond: number | null;
  /** Back-off that the upstream requests of the router. */
  readonly restMillis: number | null;
  /** Whether the upstream is draining. */
  readonly isLeaving: boolean;
}

/** A request arrived at an upstream that sends notices, or sent some before. */
export interface ConstrainedUpstreamReached {
  readonly type: 'needy-upstream-reached';
  readonly at: number;
  readonly router: string;
  readonly upstream: string;
  readonly send: SendId;
  /** Time since which the router's process has run without a pause; it may have started later. */
  readonly runningSince: number;
  /** The limit that the upstream currently states. */
  readonly limitPerSecond: number | null;
  /** Whether the router or the network was disturbed recently. */
  readonly isExcused: boolean;
}

export type HistoryEvent =
  | HoldersObserved
  | RequestRan
  | RequestSent
  | AnswerReceived
  | RefusalReceived
  | RequestCut
  | PlannedStopCut
  | RequestDispatched
  | RequestReached
  | UpstreamCrashed
  | RouterRevision
  | ChangeRequested
  | ChangeAnswered
  | ThingsRead
  | EntryCommitted
  | EvacuationAnswered
  | NoticeReceived
  | ConstrainedUpstreamReached
  | RecoveryObserved;
