import { expect } from 'chai';
import type { ControlToRouter } from '../../../src/control/messages.js';
import { RevisionWatch } from '../../../src/dev/scale/revision-watch.js';
import { createSimulatedUpstreamRole } from '../../../src/dev/scale/roles/simulated-upstream-role.js';
import { SharedConfiguration } from '../../../src/dev/scale/shared-configuration.js';
import { SharedDecoder } from '../../../src/dev/scale/shared-decoder.js';
import { simulateReport } from '../../../src/dev/scale/simulated-report.js';
import type { SessionAnswer } from '../../../src/lease/types.js';
import { HEADERS } from '../../../src/model/outcome.js';
import type { RoutingSnapshot } from '../../../src/registry/types.js';
import { controlToRouterCodecs, type Frame } from '../../../src/wire/index.js';
import { computeSessionProof } from '../../../src/wire/session/session-proof.js';

const SECRET = 'secret of a test';

function snapshotOf(count: number, owner: string): RoutingSnapshot {
  const shards = Array.from({ length: count }, (_, number) => ({
    shard: `s/all@1/${number}`,
    owner,
    incarnation: `${owner}#${number}`,
    epoch: number,
    movingTo: null,
    revision: 9,
  }));
  const nothing = { services: [], upstreams: [], routes: [], declaration: null, ranges: [], suspects: [] };
  return { revision: 9, shards, ...nothing };
}

function frameOf(snapshot: RoutingSnapshot, stamp: number, confirmed: boolean): Frame {
  const message: ControlToRouter = {
    type: 'sync-response',
    stamp,
    confirmed,
    revision: 9,
    snapshot,
    delta: null,
    leader: null,
    members: [],
    turn: null,
  };
  return { correlation: 0, ...controlToRouterCodecs.encode(message) };
}

describe('simulated routers', () => {
  it('decode the same snapshot once, each with its own stamp and confirmation', () => {
    const decoder = new SharedDecoder();
    const snapshot = snapshotOf(2000, 'u1');
    const first = decoder.decode(frameOf(snapshot, 1.5, true));
    const second = decoder.decode(frameOf(snapshot, 2.5, false));
    expect(first).to.deep.include({ stamp: 1.5, confirmed: true, snapshot });
    expect(second).to.deep.include({ stamp: 2.5, confirmed: false, snapshot });
    const other = snapshotOf(2000, 'u2');
    expect(decoder.decode(frameOf(other, 3.5, true))).to.deep.include({ stamp: 3.5, snapshot: other });
  });

  it('share a configuration whose revision never decreases', () => {
    const shared = new SharedConfiguration();
    shared.applySnapshot(snapshotOf(2, 'u1'));
    const record = { ...snapshotOf(1, 'u2').shards[0], owner: 'u2' } as RoutingSnapshot['shards'][number];
    shared.applyDelta({ from: 9, to: 12, changes: [{ type: 'shard', shard: record.shard, record }] });
    shared.applySnapshot(snapshotOf(2, 'u1'));
    expect([...shared.owners.values()]).to.deep.equal(['u2', 'u1']);
    expect(shared.revision).to.equal(12);
  });

  it('report bounded numbers of shards with all of the work', () => {
    const shared = new SharedConfiguration();
    shared.applySnapshot(snapshotOf(1000, 'u1'));
    const { shards } = simulateReport(shared, 3);
    expect(shards.length).to.be.at.most(64);
    expect(shards.reduce((sum, { workMillis }) => sum + workMillis, 0)).to.be.closeTo(2333 * 3.25, 1);
  });

  it('are watched until the last one holds a revision', async () => {
    const held = [9, 9];
    const watch = new RevisionWatch(() => Math.min(...held));
    let isReached = false;
    const reached = watch.whenReached(10).then(() => {
      isReached = true;
    });
    held[0] = 11;
    watch.onAdvanced();
    await Promise.resolve();
    expect(isReached).to.equal(false);
    held[1] = 10;
    watch.onAdvanced();
    await reached;
    expect(isReached).to.equal(true);
  });
});

describe('simulated upstreams', () => {
  it('answer sessions as the real fence does, count grants, and are unreachable once killed', async () => {
    const role = createSimulatedUpstreamRole();
    const upstreams = [{ id: 'u1', service: 's' }];
    const { u1: address } = await role.start({ cluster: 'c1', secret: SECRET, upstreams });
    const ask = async (incarnation: string | null, sequence: number): Promise<SessionAnswer> => {
      const orders = [{ type: 'grant', shard: 's/all@1/0', epoch: 5, revision: 5 }];
      const body = JSON.stringify({
        cluster: 'c1',
        leader: 'm1',
        term: 1,
        sequence,
        upstream: 'u1',
        incarnation,
        validUntil: null,
        keyMap: {
          service: 's',
          generation: 1,
          keyspaces: [{ name: 'all', kind: 'prefix', match: '', shards: 1 }],
        },
        orders,
        complete: true,
        drain: false,
      });
      const response = await fetch(`http://${address}/ternmount/v1/session`, {
        method: 'POST',
        headers: { [HEADERS.sessionProof]: computeSessionProof(SECRET, body) },
        body,
      });
      return (await response.json()) as SessionAnswer;
    };
    const { incarnation } = await ask(null, 1);
    const granted = await ask(incarnation, 2);
    expect(granted.held).to.deep.equal([{ shard: 's/all@1/0', epoch: 5 }]);
    expect(role.grants().grants).to.equal(1);
    role.kill('u1');
    const failure = await ask(incarnation, 3).catch((error: Error) => error);
    expect(failure).to.be.instanceOf(Error);
  });
});
