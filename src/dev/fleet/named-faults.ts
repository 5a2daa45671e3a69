/** Named faults of a fleet run. */
import type { ScheduledFault } from './fault-schedule.js';

/** A fault without a time. */
export type UnscheduledFault = Omit<ScheduledFault, 'at'>;

/** Definition of a named fault. */
export interface NamedFault {
  readonly summary: string;
  readonly faults: readonly UnscheduledFault[];
  /** Whether only upstreams that announce themselves have it. */
  readonly needsDeclared?: true;
}

export const NAMED_FAULTS: Readonly<Record<string, NamedFault>> = {
  'kill-owner': {
    summary: 'SIGKILL of the upstream that owns the most shards',
    faults: [{ type: 'kill', target: 'owner', seconds: 4 }],
  },
  'kill-unkeyed': {
    summary: 'SIGKILL of an upstream whose service is not keyed',
    faults: [{ type: 'kill', target: 'unkeyed', seconds: 4 }],
  },
  'kill-leader': {
    summary: 'SIGKILL of the control leader',
    faults: [{ type: 'kill', target: 'leader', seconds: 3 }],
  },
  'kill-follower': {
    summary: 'SIGKILL of a control follower',
    faults: [{ type: 'kill', target: 'follower', seconds: 3 }],
  },
  'kill-router': {
    summary: 'SIGKILL of a router',
    faults: [{ type: 'kill', target: 'router', seconds: 3 }],
  },
  'kill-owner-and-leader': {
    summary: 'SIGKILL of an owner and of the control leader at the same time',
    faults: [
      { type: 'kill', target: 'owner', seconds: 5 },
      { type: 'kill', target: 'leader', seconds: 5 },
    ],
  },
  'freeze-owner': {
    summary: 'SIGSTOP of an owner for longer than its lease, then SIGCONT',
    faults: [{ type: 'freeze', target: 'owner', seconds: 5 }],
  },
  'freeze-leader': {
    summary: 'SIGSTOP of the control leader, then SIGCONT',
    faults: [{ type: 'freeze', target: 'leader', seconds: 5 }],
  },
  'freeze-router': {
    summary: 'SIGSTOP of a router for longer than its configuration lease, then SIGCONT',
    faults: [{ type: 'freeze', target: 'router', seconds: 4 }],
  },
  'lose-disk': {
    summary: 'SIGKILL of a control follower, its data folder is deleted, and a new replica replaces it',
    faults: [{ type: 'lose-disk', target: 'follower', seconds: 1 }],
  },
  'second-loss': {
    summary: 'a lost disk is repaired, and the leader is killed as soon as the repair is reported',
    faults: [{ type: 'second-loss', target: 'follower', seconds: 1 }],
  },
  'isolate-zone': {
    summary: 'one zone is partitioned from the others, without errors',
    faults: [{ type: 'isolate', target: 'zone-b', seconds: 5 }],
  },
  'cut-zones': {
    summary: 'two zones are partitioned from each other, without errors; the third reaches both',
    faults: [{ type: 'cut', target: 'zone-a|zone-b', seconds: 5 }],
  },
  'half-open': {
    summary: 'bytes from one zone to another are held, the opposite direction is open',
    faults: [{ type: 'half-open', target: 'zone-a>zone-b', seconds: 5 }],
  },
  'drain-owner': {
    summary: 'an operator drains an owner under load and undoes the drain',
    faults: [{ type: 'drain', target: 'owner', seconds: 8 }],
  },
  'drain-unkeyed': {
    summary: 'an operator drains an upstream whose service is not keyed, and undoes the drain',
    faults: [{ type: 'drain', target: 'unkeyed', seconds: 6 }],
  },
  'stop-owner': {
    summary: 'planned stop of an owner',
    faults: [{ type: 'stop', target: 'owner', seconds: 1 }],
  },
  'stop-leader': {
    summary: 'planned stop of the control leader',
    faults: [{ type: 'stop', target: 'leader', seconds: 1 }],
  },
  'roll-routers': {
    summary: 'planned stop and start of each router in turn',
    faults: [{ type: 'roll', target: 'routers', seconds: 1 }],
  },
  'roll-control': {
    summary: 'planned stop and start of each control member in turn',
    faults: [{ type: 'roll', target: 'control', seconds: 1 }],
  },
  'roll-upstreams': {
    summary: 'planned stop and start of each upstream with a dedicated process',
    faults: [{ type: 'roll', target: 'upstreams', seconds: 1 }],
  },
  'platform-lies': {
    summary: 'the platform lists a live owner as gone',
    faults: [{ type: 'platform-gone', target: 'owner', seconds: 6 }],
  },
  'platform-lags': {
    summary: 'an owner is killed and the platform still lists it as live for 30 s',
    faults: [{ type: 'kill', target: 'owner', seconds: 6 }],
  },
  'answers-fail': {
    summary: 'an upstream answers 500 to each request while its health check succeeds',
    faults: [{ type: 'fail', target: 'unkeyed', seconds: 6 }],
  },
  'answers-truncated': {
    summary: 'each answer of an upstream is truncated',
    faults: [{ type: 'truncate', target: 'unkeyed', seconds: 6 }],
  },
  'answers-wrong-length': {
    summary: 'an upstream announces longer answers than it sends',
    faults: [{ type: 'wrong-length', target: 'unkeyed', seconds: 6 }],
  },
  'answers-twice': {
    summary: 'an upstream sends each answer twice',
    faults: [{ type: 'answer-twice', target: 'unkeyed', seconds: 6 }],
  },
  'answers-late': {
    summary: 'an upstream answers long after the deadline',
    faults: [{ type: 'late', target: 'unkeyed', seconds: 6 }],
  },
  'answers-foreign': {
    summary: 'an upstream answers each request with the answer and id of the previous one',
    faults: [{ type: 'foreign', target: 'unkeyed', seconds: 6 }],
  },
  'answers-repeated': {
    summary:
      'an upstream that announces itself sends most answers again, later or in the place of the next one',
    faults: [{ type: 'repeat', target: 'unkeyed', seconds: 6 }],
    needsDeclared: true,
  },
  'answers-broken-off': {
    summary: 'answers of an upstream that announces itself end in the middle, properly or by a reset',
    faults: [{ type: 'break-off', target: 'unkeyed', seconds: 6 }],
    needsDeclared: true,
  },
  'answers-unmarked': {
    summary: 'an upstream that announces itself answers 503 to requests that ran, without a mark',
    faults: [{ type: 'unmarked', target: 'unkeyed', seconds: 6 }],
    needsDeclared: true,
  },
  'refusals-early': {
    summary: 'an upstream that announces itself refuses requests before their body has come',
    faults: [{ type: 'early', target: 'unkeyed', seconds: 6 }],
    needsDeclared: true,
  },
  'connections-end': {
    summary: 'connections into a zone end one after the other, in all ways',
    faults: [{ type: 'end-connections', target: 'zone-a', seconds: 5 }],
  },
  'owner-fails': {
    summary: 'an owner answers 500 to each request while its health check succeeds',
    faults: [{ type: 'fail', target: 'owner', seconds: 6 }],
  },
  'owner-foreign': {
    summary: 'an owner answers each request with the answer and id of the previous one',
    faults: [{ type: 'foreign', target: 'owner', seconds: 6 }],
  },
  'health-ill': {
    summary: 'the health check of an upstream fails while requests succeed',
    faults: [{ type: 'health-ill', target: 'unkeyed', seconds: 6 }],
  },
  'names-limit': {
    summary: 'an upstream reports in its answers a limit of 2 requests per second from all routers',
    faults: [{ type: 'names-limit', target: 'unkeyed', seconds: 10 }],
  },
  'owner-names-limit': {
    summary: 'an owner reports in its answers a limit of 2 requests per second from all routers',
    faults: [{ type: 'names-limit', target: 'owner', seconds: 10 }],
  },
  'asks-rest': {
    summary: 'an upstream rejects each request and requests a back-off of 2 s',
    faults: [{ type: 'asks-rest', target: 'unkeyed', seconds: 6 }],
  },
  'owner-asks-rest': {
    summary: 'an owner rejects each request and requests a back-off of 2 s',
    faults: [{ type: 'asks-rest', target: 'owner', seconds: 6 }],
  },
  'says-leaving': {
    summary: 'an upstream reports in its answers that it is draining',
    faults: [{ type: 'says-leaving', target: 'unkeyed', seconds: 6 }],
  },
  'load-frozen': {
    summary: 'the load that an upstream reports no longer changes',
    faults: [{ type: 'load-frozen', target: 'unkeyed', seconds: 6 }],
  },
  'load-wild': {
    summary: 'the load that an upstream reports alternates between none and overload',
    faults: [{ type: 'load-wild', target: 'unkeyed', seconds: 6 }],
  },
  'platform-leaving': {
    summary: 'the platform lists a live upstream whose service is not keyed as leaving',
    faults: [{ type: 'platform-leaving', target: 'unkeyed', seconds: 6 }],
  },
  'platform-leaving-all': {
    summary: 'the platform lists all live upstreams of a service that is not keyed as leaving',
    faults: [{ type: 'platform-leaving-all', target: 'unkeyed', seconds: 6 }],
  },
  'platform-lies-unkeyed': {
    summary: 'the platform lists a live upstream whose service is not keyed as gone',
    faults: [{ type: 'platform-gone', target: 'unkeyed', seconds: 6 }],
  },
};
