/** How much a new replica receives and applies before it has a vote, after many large changes. */
import { expect } from 'chai';
import type { ReplicaId } from '../../src/model/identifiers.js';
import { Cluster } from './cluster-harness.js';

const ROUTES = 1500;
const VERSIONS = 60;
const JOIN_MILLIS = 3000;
/** Two snapshot intervals: entries may follow the last snapshot, and one may be in progress. */
const MAX_APPLIED_BYTES = 4 * 1024 * 1024;

function document(version: number) {
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    name: `route-${index}`,
    host: 'a.example',
    prefix: `/prefix-${index}/`,
    type: 'safe',
    timeoutMillis: 800 + version,
    service: 'menu',
  }));
  const change = {
    type: 'declaration-apply',
    version,
    expected: version - 1,
    extent: 'whole',
    routes,
    services: [{ name: 'menu' }],
    limits: null,
    removedRoutes: [],
    removedServices: [],
  } as const;
  return { type: 'declare', actor: 'test', change } as const;
}

/** Runs until the replica has a vote in place of the lost one; returns the bytes of the entries that it applied until then. */
function bytesUntilVote(cluster: Cluster, replica: ReplicaId): number {
  const entryBytes = JSON.stringify(document(VERSIONS)).length;
  const { core } = cluster.addMember(replica);
  cluster.requestJoin(replica);
  const hasVote = (): boolean => {
    const { voters, outgoingVoters } = cluster.leader().core.status().membership;
    return voters.includes(replica) && outgoingVoters.length === 0;
  };
  cluster.runUntil(hasVote, JOIN_MILLIS);
  expect(hasVote(), 'it has a vote').to.equal(true);
  return core.work().appliedEntries * entryBytes;
}

describe('a new replica after many large changes', () => {
  it('gets a vote without all that was ever written, so that the next lost disk finds a majority', () => {
    const cluster = new Cluster({ config: { replaceAfterMillis: 2000 } });
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    for (let version = 1; version <= VERSIONS; version += 1) {
      const response = cluster.ask(document(version));
      expect(response).to.have.nested.property('result.type', 'accepted');
    }
    const lost = [...cluster.members.values()].find(({ id }) => id !== cluster.leader().id);
    if (lost !== undefined) {
      cluster.kill(lost);
    }
    cluster.run(2000);
    expect(bytesUntilVote(cluster, 'm4')).to.be.below(MAX_APPLIED_BYTES);
  });
});
