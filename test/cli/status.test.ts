/** Tests the findings of the status page for a table of states. */
import { expect } from 'chai';
import type { StatusBody } from '../../src/cli/api-types.js';
import { controlFindings } from '../../src/cli/status/control-findings.js';
import { type Finding, sortFindings } from '../../src/cli/status/finding.js';
import { serviceFindings } from '../../src/cli/status/service-findings.js';
import { serviceLines } from '../../src/cli/status/service-lines.js';
import { type MemberReport, toStatusView } from '../../src/cli/status/status-view.js';
import type { ServiceMeasures } from '../../src/control/service-measures.js';
import type { UpstreamRecord } from '../../src/registry/types.js';

const VOTERS = ['r-1', 'r-2', 'r-3'];
const MINUTE = 60_000;

function addressOf(replica: string): string {
  return `10.0.0.${replica.slice(2)}:7400`;
}

function body(
  self: string,
  change: Partial<StatusBody> = {},
  raft: Partial<StatusBody['raft']> = {},
): StatusBody {
  const addresses = Object.fromEntries(VOTERS.map((voter) => [voter, addressOf(voter)]));
  const isLeader = self === 'r-1';
  return {
    raft: {
      self,
      role: isLeader ? 'leader' : 'follower',
      term: 4,
      leader: 'r-1',
      commitIndex: 5000,
      lastIndex: 5000,
      firstIndex: 1,
      membership: { voters: VOTERS, outgoingVoters: [], learners: [], addresses },
      matchIndexes: isLeader ? { 'r-2': 5000, 'r-3': 4999 } : {},
      ...raft,
    },
    revision: 5000,
    upstreams: [],
    services: [],
    routers: [{ router: 'router-1', revision: 5000, silentMillis: 200, connected: true }],
    leaderSinceMillis: MINUTE,
    unowned: [],
    waitingReplicas: [],
    memberSilentMillis: isLeader ? { 'r-2': 30, 'r-3': 40 } : {},
    unownedShards: 0,
    movingShards: 0,
    ...change,
  };
}

/** Returns the reports of the three members; `null` for one that doesn't answer. */
function reports(statuses: readonly (StatusBody | null)[]): MemberReport[] {
  return statuses.map((status, index) => ({
    address: `10.0.0.${index + 1}:7401`,
    status,
    problem: status === null ? 'connect ECONNREFUSED' : null,
  }));
}

function upstream(id: string, leaving = false): UpstreamRecord {
  const definition = { id, service: 'menu', address: '10.0.1.1:8000', zone: 'a', mayHold: [], leaving };
  return { definition, revision: 1 } as unknown as UpstreamRecord;
}

function findings(
  statuses: readonly (StatusBody | null)[],
  upstreams: readonly UpstreamRecord[] = [],
): Finding[] {
  const view = toStatusView(reports(statuses), upstreams);
  return sortFindings([...controlFindings(view), ...serviceFindings(view)]);
}

interface Case {
  readonly statuses: readonly (StatusBody | null)[];
  readonly upstreams?: readonly UpstreamRecord[];
  /** Severity, subject, duration, and parts of problem and advice of each finding. */
  readonly expected: readonly (readonly [Finding['severity'], string, number | null, string, string])[];
}

const followers = [body('r-2'), body('r-3')];
const leased = { upstream: 'menu-1', state: 'leased', silentMillis: 100, shards: 8, draining: 0 } as const;

const balancedMenu: ServiceMeasures = {
  service: 'menu',
  ownedShards: 8,
  unownedShards: 0,
  ownerChanges: { 'first-grant': 8, balance: 0, drain: 0, operator: 0, lost: 3, other: 0 },
  ownerChangesLastMinute: 3,
  unownedShardMillis: 900,
  handovers: 0,
  handoverGapMillis: 0,
  imbalance: 1.1,
  imbalanceOverBound: 1.1,
  imbalancedSinceMillis: null,
};
const imbalancedMenu = {
  ...balancedMenu,
  imbalance: 2.514,
  imbalanceOverBound: 2,
  imbalancedSinceMillis: MINUTE,
};

const CASES: Record<string, Case> = {
  'nothing is wrong': { statuses: [body('r-1'), ...followers], expected: [] },
  'a silent voter of three': {
    statuses: [body('r-1', { memberSilentMillis: { 'r-2': 30, 'r-3': MINUTE } }), body('r-2'), null],
    expected: [
      ['critical', 'control/r-3', MINUTE, 'one more loss stops control', 'control replace r-3 NEW --address'],
    ],
  },
  'a voter in contact with the leader, whose admin address does not answer': {
    statuses: [body('r-1'), body('r-2'), null],
    expected: [['note', 'control/10.0.0.3:7401', null, 'ECONNREFUSED', 'network between']],
  },
  'no leader because too few voters answer': {
    statuses: [null, body('r-2', { leaderSinceMillis: 9000 }, { role: 'pre-candidate', leader: null }), null],
    expected: [
      [
        'critical',
        'control',
        9000,
        '1 of 3 voters answer, 2 are needed',
        'start 1 or more of: r-1 at 10.0.0.1:7400, r-3',
      ],
    ],
  },
  'no leader although enough answer': {
    statuses: [null, ...followers.map((status) => ({ ...status, leaderSinceMillis: 500 }))],
    expected: [['critical', 'control', 500, '2 of 3 voters answer', 'an election should end in seconds']],
  },
  'no member answers': {
    statuses: [null, null, null],
    expected: [
      ['critical', 'control', null, 'no member answers', 'ternmount control run'],
      ['note', 'control/10.0.0.1:7401', null, '', ''],
      ['note', 'control/10.0.0.2:7401', null, '', ''],
      ['note', 'control/10.0.0.3:7401', null, '', ''],
    ],
  },
  'a follower far behind': {
    statuses: [body('r-1', {}, { matchIndexes: { 'r-2': 5000, 'r-3': 100 } }), ...followers],
    expected: [['warning', 'control/r-3', null, '4900 entries behind', 'catches up by itself']],
  },
  'a change of voters under way, and a replica that waits': {
    statuses: [
      body(
        'r-1',
        { waitingReplicas: [{ replica: 'r-9', address: '10.0.0.9:7400' }] },
        { membership: { ...body('r-1').raft.membership, outgoingVoters: ['r-1', 'r-2', 'r-4'] } },
      ),
      ...followers,
    ],
    expected: [
      ['warning', 'control', null, 'r-1, r-2, r-4 to r-1, r-2, r-3', 'take no member down'],
      ['note', 'control/r-9', null, 'waits to be taken in', 'control add r-9 --address 10.0.0.9:7400'],
    ],
  },
  'a replica that was replaced and still runs': {
    statuses: [body('r-1'), body('r-2'), body('r-7')],
    expected: [['warning', 'control/r-7', null, 'at 10.0.0.3:7401 is no member', 'move its folder away']],
  },
  'a lost upstream whose shards have no owner, and none that could take them': {
    statuses: [
      body('r-1', {
        upstreams: [{ ...leased, state: 'unreachable', silentMillis: 8000 }],
        unowned: [{ service: 'menu', shards: 8, sinceMillis: 6000 }],
      }),
      ...followers,
    ],
    upstreams: [upstream('menu-1')],
    expected: [
      ['critical', 'service/menu', 6000, '8 shards have no owner', 'no upstream of menu is leased'],
      ['warning', 'upstream/menu-1', 8000, "at 10.0.1.1:8000 doesn't answer", 'upstream remove menu-1'],
    ],
  },
  'shards that are moving to a new owner': {
    statuses: [
      body('r-1', { upstreams: [leased], unowned: [{ service: 'menu', shards: 2, sinceMillis: 900 }] }),
      ...followers,
    ],
    upstreams: [upstream('menu-1')],
    expected: [['note', 'service/menu', 900, '2 shards', 'within 3 s']],
  },
  'a service with a lasting imbalance': {
    statuses: [body('r-1', { services: [imbalancedMenu] }), ...followers],
    expected: [
      ['warning', 'service/menu', MINUTE, 'carries 2.51 times the mean load', 'raise movesPerMinute'],
    ],
  },
  'nothing for a balanced load, or an imbalance of less than a minute': {
    statuses: [
      body('r-1', {
        services: [balancedMenu, { ...imbalancedMenu, service: 'seats', imbalancedSinceMillis: MINUTE - 1 }],
      }),
      ...followers,
    ],
    expected: [],
  },
  'an upstream that never answered': {
    statuses: [
      body('r-1', { upstreams: [{ ...leased, state: 'greeting', silentMillis: null, shards: 0 }] }),
      ...followers,
    ],
    upstreams: [upstream('menu-1')],
    expected: [['warning', 'upstream/menu-1', null, 'never did since this leader began', 'start it']],
  },
  'draining upstreams': {
    statuses: [
      body('r-1', { upstreams: [leased, { ...leased, upstream: 'menu-2', shards: 0 }] }),
      ...followers,
    ],
    upstreams: [upstream('menu-1', true), upstream('menu-2', true)],
    expected: [
      ['note', 'upstream/menu-1', null, '8 shards are left', 'move by themselves'],
      ['note', 'upstream/menu-2', null, 'owns nothing', 'stop it'],
    ],
  },
  'routers that hang or are gone, as reported by the member with the latest contact': {
    statuses: [
      body('r-1', {
        routers: [
          { router: 'router-1', revision: 1, silentMillis: 9000, connected: true },
          { router: 'router-2', revision: 1, silentMillis: 8000, connected: true },
          { router: 'router-3', revision: 1, silentMillis: 7000, connected: false },
        ],
      }),
      ...followers,
    ],
    expected: [
      ['warning', 'router/router-2', 8000, 'refuses every request', 'log and its network'],
      ['note', 'router/router-3', 7000, 'its connections ended', 'start it if it should run'],
    ],
  },
};

describe('status page', () => {
  it('has a line for each keyed service, sorted by name', () => {
    const idle = {
      ...balancedMenu,
      service: 'beds',
      unownedShards: 2,
      imbalance: null,
      imbalanceOverBound: null,
    };
    const view = toStatusView(reports([body('r-1', { services: [balancedMenu, idle] }), ...followers]), []);
    expect(serviceLines(view)).to.deep.equal([
      'service/beds: 8 shards owned, 2 unowned; imbalance - of the mean, - of the lower bound; 3 changes of owner in the last minute',
      'service/menu: 8 shards owned, 0 unowned; imbalance 1.10 of the mean, 1.10 of the lower bound; 3 changes of owner in the last minute',
    ]);
    expect(serviceLines(toStatusView(reports([null, ...followers]), []))).to.deep.equal([]);
  });

  for (const [name, { statuses, upstreams, expected }] of Object.entries(CASES)) {
    it(`reports: ${name}`, () => {
      const found = findings(statuses, upstreams);
      const headings = found.map(({ severity, subject, sinceMillis }) => [severity, subject, sinceMillis]);
      expect(headings).to.deep.equal(
        expected.map(([severity, subject, since]) => [severity, subject, since]),
      );
      expected.forEach(([, , , problem, advice], index) => {
        expect(found[index]?.problem).to.contain(problem);
        expect(found[index]?.advice).to.contain(advice);
      });
    });
  }
});
