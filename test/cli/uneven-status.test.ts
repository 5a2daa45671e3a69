/** Tests the findings on zones that spill requests to others, and on slow upstreams. */
import { expect } from 'chai';
import type { StatusBody } from '../../src/cli/api-types.js';
import { controlFindings } from '../../src/cli/status/control-findings.js';
import type { Finding } from '../../src/cli/status/finding.js';
import { toStatusView } from '../../src/cli/status/status-view.js';
import type { FleetStatus } from '../../src/control/fleet-capacity/fleet-capacity.js';

const ADDRESS = '10.0.0.1:7400';

function findingsOf(fleet: FleetStatus | null): Finding[] {
  const status: StatusBody = {
    raft: {
      self: 'r-1',
      role: 'leader',
      term: 4,
      leader: 'r-1',
      commitIndex: 5,
      lastIndex: 5,
      firstIndex: 1,
      membership: { voters: ['r-1'], outgoingVoters: [], learners: [], addresses: { 'r-1': ADDRESS } },
      matchIndexes: {},
    },
    revision: 5,
    upstreams: [],
    services: [],
    routers: [],
    leaderSinceMillis: 60_000,
    unowned: [],
    waitingReplicas: [],
    memberSilentMillis: {},
    unownedShards: 0,
    movingShards: 0,
    fleet,
  };
  const view = toStatusView([{ address: '10.0.0.1:7401', status, problem: null }], []);
  return controlFindings(view).filter(({ subject }) => /^(zone|upstream)\//.test(subject));
}

const ZONE = { service: 'menu', zone: 'a', meanMillis: 63, isUneven: true, use: 0.97, sinceMillis: 4000 };

describe('status of uneven demand', () => {
  it('reports each zone that spills, how much, and since when', () => {
    const spill = [{ zone: 'b', share: 0.214 }];
    const [finding] = findingsOf({ speeds: [], zones: [{ ...ZONE, spill }] });
    expect(finding).to.include({ severity: 'note', subject: 'zone/a', sinceMillis: 4000 });
    expect(finding?.problem).to.contain('97% busy').and.to.contain('21% to b');
  });

  it('reports upstreams that are far slower than the others', () => {
    const speeds = [
      { upstream: 'u1', speed: 0.3, sinceMillis: 9000 },
      { upstream: 'u2', speed: 0.7, sinceMillis: 9000 },
    ];
    const found = findingsOf({ speeds, zones: [] });
    expect(found.map(({ subject, sinceMillis }) => [subject, sinceMillis])).to.deep.equal([
      ['upstream/u1', 9000],
    ]);
  });

  it('reports nothing while no zone is short of capacity, or the member doesn’t lead', () => {
    expect(findingsOf({ speeds: [], zones: [{ ...ZONE, spill: [] }] })).to.deep.equal([]);
    expect(findingsOf(null)).to.deep.equal([]);
  });
});
