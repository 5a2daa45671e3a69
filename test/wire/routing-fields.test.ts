import { expect } from 'chai';
import type { ControlToRouter } from '../../src/control/messages.js';
import { controlToRouterCodecs } from '../../src/wire/index.js';

const UNDECLARED = { routes: [], declaration: null, ranges: [], suspects: [] };

describe('codecs of routing data', () => {
  const shard = (number: number, owner: string | null) => ({
    shard: `sheets/all@5/${number}`,
    owner,
    incarnation: owner === null ? null : `${owner}#1`,
    epoch: 6 + number,
    movingTo: number === 2 ? 'u2' : null,
    revision: 8,
  });

  it('encode and decode a snapshot and a delta of shards', () => {
    const shards = [shard(0, 'u1'), shard(1, null), shard(2, 'u1'), shard(10, 'u2')];
    const message: ControlToRouter = {
      type: 'sync-response',
      stamp: 1,
      confirmed: false,
      revision: 9,
      snapshot: { revision: 9, services: [], upstreams: [], shards, ...UNDECLARED },
      delta: {
        from: 7,
        to: 9,
        changes: [
          { type: 'service', name: 'gone', record: null },
          { type: 'shard', shard: 'gone/all@3/0', record: null },
          ...shards.map((record) => ({ type: 'shard' as const, shard: record.shard, record })),
        ],
      },
      leader: null,
      members: ['127.0.0.1:1'],
      turn: null,
    };
    const { kind, payload } = controlToRouterCodecs.encode(message);
    expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(message);
  });

  it('encode lists again after they have changed', () => {
    const base = {
      type: 'sync-response',
      stamp: 1,
      confirmed: true,
      delta: null,
      leader: null,
      members: [],
      turn: null,
    } as const;
    const shards = [shard(0, 'u1')];
    const snapshots = [
      { revision: 9, services: [], upstreams: [], shards, ...UNDECLARED },
      { revision: 10, services: [], upstreams: [], shards, ...UNDECLARED },
      { revision: 11, services: [], upstreams: [], shards: [shard(0, 'u2')], ...UNDECLARED },
    ];
    for (const snapshot of snapshots) {
      const message: ControlToRouter = { ...base, revision: snapshot.revision, snapshot };
      const { kind, payload } = controlToRouterCodecs.encode(message);
      expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(message);
    }
  });
});
