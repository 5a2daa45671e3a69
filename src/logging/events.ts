/**
 * Every event that daemons log: which process logs it and with which fields. docs/operators/log-events.md is the page for
 * readers; tests hold that sources, this table and the page agree. Each record also has `time` (ISO 8601, the time of day,
 * which may jump), `level`, `process`, `zone`, `namespace` and `event`.
 */

/** Which daemon logs an event. */
export type EventSource = 'router' | 'control' | 'both';

export interface EventDescription {
  readonly source: EventSource;
  /** Names of its own fields; times end in `Millis`. */
  readonly fields: readonly string[];
}

const REQUEST_FIELDS = ['id', 'method', 'host', 'path', 'key', 'status', 'tookMillis', 'attempts'] as const;

export const EVENTS: Readonly<Record<string, EventDescription>> = {
  started: { source: 'both', fields: ['replica', 'listen', 'admin'] },
  stopping: { source: 'both', fields: ['replica', 'openRequests'] },
  stopped: { source: 'both', fields: ['replica'] },
  failed: { source: 'both', fields: ['replica', 'error'] },
  'settings-reloaded': { source: 'both', fields: ['why'] },
  'settings-unusable': { source: 'both', fields: ['why', 'error'] },
  'records-dropped': { source: 'both', fields: ['dropped'] },
  'request-answered': { source: 'router', fields: REQUEST_FIELDS },
  'request-cancelled': { source: 'router', fields: REQUEST_FIELDS },
  'request-refused': {
    source: 'router',
    fields: [
      ...REQUEST_FIELDS,
      'reason',
      'outcome',
      'retryAfterMillis',
      'route',
      'service',
      'version',
      'revision',
      'confirmedAgoMillis',
      'owner',
      'fence',
      'waiting',
      'waitMillis',
      'usable',
      'fingerprint',
    ],
  },
  'answer-failed': { source: 'router', fields: ['request', 'reason'] },
  'answer-missing': { source: 'router', fields: ['request', 'attempt'] },
  'upstream-ejected': { source: 'router', fields: ['upstream', 'service', 'until'] },
  'settlement-not-acknowledged': { source: 'router', fields: ['claimant', 'service', 'key'] },
  'configuration-lease-held': { source: 'router', fields: ['revision'] },
  'configuration-lease-over': { source: 'router', fields: ['revision'] },
  'configuration-applied': { source: 'router', fields: ['revision', 'version', 'changes'] },
  'control-connected': { source: 'router', fields: ['address', 'replica'] },
  'control-lost': { source: 'router', fields: ['address', 'reason'] },
  'control-queue-full': { source: 'router', fields: ['to', 'message'] },
  'platform-list-failed': { source: 'router', fields: ['url', 'reason'] },
  'disk-full': { source: 'control', fields: ['error'] },
  'disk-has-room': { source: 'control', fields: ['waitedMillis'] },
  'role-changed': {
    source: 'control',
    fields: ['role', 'term', 'leader', 'leaderHeardAgoMillis', 'quorumHeardAgoMillis'],
  },
  'core-load': {
    source: 'control',
    fields: [
      'spanMillis',
      'steps',
      'busyMillis',
      'longestMillis',
      'longestInput',
      'lateMillis',
      'ranges',
      'openCalls',
      'calls',
      'decisions',
    ],
  },
  'peer-connected': { source: 'control', fields: ['peer', 'address'] },
  'peer-lost': { source: 'control', fields: ['peer', 'address', 'reason'] },
  'peer-queue-full': { source: 'control', fields: ['peer', 'message'] },
  'join-peer-lost': { source: 'control', fields: ['peer', 'reason'] },
  'router-connected': { source: 'control', fields: ['router', 'connection'] },
  'router-queue-full': { source: 'control', fields: ['router'] },
  'connection-closed': { source: 'control', fields: ['peer', 'kind', 'reason'] },
  'upstream-changed': { source: 'control', fields: ['upstream', 'incarnation', 'leaving'] },
  'shards-changed': { source: 'control', fields: ['owned', 'unowned'] },
  'address-contested': { source: 'control', fields: ['upstream', 'address', 'living'] },
  'ranges-decided': { source: 'control', fields: ['service', 'use', 'updates'] },
  'heartbeat-granted': {
    source: 'control',
    fields: ['upstream', 'sequence', 'spans', 'revision', 'confirmedAgoMillis'],
  },
  'range-changed': { source: 'control', fields: ['service', 'from', 'to', 'owner', 'fence', 'former'] },
  suspended: { source: 'router', fields: ['millis'] },
  'run-ended': { source: 'router', fields: ['run', 'address', 'proof', 'unanswered'] },
  'request-suspected': {
    source: 'both',
    fields: ['fingerprint', 'service', 'run', 'own', 'crashes', 'runs', 'quarantinedAt', 'trialBy', 'until'],
  },
  'request-quarantined': {
    source: 'both',
    fields: ['fingerprint', 'service', 'crashes', 'runs', 'by', 'quarantinedAt', 'trialBy', 'until'],
  },
  'quarantine-trial': { source: 'router', fields: ['fingerprint'] },
  'crashes-reported': { source: 'control', fields: ['router', 'isLeader', 'crashes'] },
  'suspects-succeeded': { source: 'control', fields: ['router', 'isLeader', 'cleared'] },
  'suspect-released': { source: 'control', fields: ['fingerprint'] },
  'zone-evacuation-changed': { source: 'both', fields: ['zone', 'isEvacuated', 'revision'] },
  'declaration-changed': { source: 'control', fields: ['version', 'revision', 'changedRoutes'] },
  'holder-call-ended': { source: 'control', fields: ['kind', 'upstream', 'from', 'to', 'fence', 'outcome'] },
  'session-failed': { source: 'control', fields: ['upstream', 'reason'] },
  'operator-change': {
    source: 'control',
    fields: [
      'actor',
      'from',
      'method',
      'path',
      'action',
      'subject',
      'requestId',
      'outcome',
      'revision',
      'problem',
      'leader',
      'tookMillis',
    ],
  },
  'announcement-refused': {
    source: 'control',
    fields: ['from', 'method', 'path', 'outcome', 'problem', 'sent'],
  },
  'operation-failed': { source: 'control', fields: ['operation', 'error'] },
  'request-failed': { source: 'both', fields: ['method', 'path', 'error', 'reason'] },
  'request-broken': { source: 'control', fields: ['error'] },
  'tokens-unreadable': { source: 'control', fields: ['path', 'error'] },
  'tokens-reloaded': { source: 'control', fields: ['path'] },
};
