import { expect } from 'chai';
import type { ControlToRouter, RouterToControl } from '../../src/control/messages.js';
import { controlToRouterCodecs, routerToControlCodecs } from '../../src/wire/index.js';

describe('message codecs', () => {
  const requests: RouterToControl[] = [
    {
      type: 'sync-request',
      router: 'router-1',
      incarnation: 'run-1',
      zone: 'zone-a',
      stamp: 12.5,
      have: 7,
    },
    {
      type: 'load-report',
      intervalMillis: 1000,
      shards: [{ shard: 's/k@1/0', workMillis: 1.5 }],
    },
    {
      type: 'settle-request',
      claimant: 'router-1/9',
      service: 'orders',
      key: 'key',
      outcome: 'ran',
      answer: null,
    },
  ];
  const responses: ControlToRouter[] = [
    { type: 'change-notice', revision: 2 ** 40 },
    {
      type: 'sync-response',
      stamp: 12.5,
      confirmed: true,
      revision: 9,
      snapshot: null,
      delta: { from: 7, to: 9, changes: [{ type: 'upstream', id: 'u1', record: null }] },
      leader: '127.0.0.1:1',
    },
  ];

  const shard = (number: number, owner: string | null) => ({
    shard: `sheets/all@5/${number}`,
    owner,
    incarnation: owner === null ? null : `${owner}#1`,
    epoch: 6 + number,
    movingTo: number === 2 ? 'u2' : null,
    revision: 8,
  });

  it('carry a snapshot and a delta of shards whole', () => {
    const shards = [shard(0, 'u1'), shard(1, null), shard(2, 'u1'), shard(10, 'u2')];
    const message: ControlToRouter = {
      type: 'sync-response',
      stamp: 1,
      confirmed: false,
      revision: 9,
      snapshot: { revision: 9, services: [], upstreams: [], shards },
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
    };
    const { kind, payload } = controlToRouterCodecs.encode(message);
    expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(message);
  });

  it('encode lists again once they are others', () => {
    const base = { type: 'sync-response', stamp: 1, confirmed: true, delta: null, leader: null } as const;
    const shards = [shard(0, 'u1')];
    const snapshots = [
      { revision: 9, services: [], upstreams: [], shards },
      { revision: 10, services: [], upstreams: [], shards },
      { revision: 11, services: [], upstreams: [], shards: [shard(0, 'u2')] },
    ];
    for (const snapshot of snapshots) {
      const message: ControlToRouter = { ...base, revision: snapshot.revision, snapshot };
      const { kind, payload } = controlToRouterCodecs.encode(message);
      expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(message);
    }
  });

  for (const message of requests) {
    it(`carry ${message.type} whole`, () => {
      const { kind, payload } = routerToControlCodecs.encode(message);
      expect(routerToControlCodecs.decode(kind, payload)).to.deep.equal(message);
    });
  }

  for (const message of responses) {
    it(`carry ${message.type} whole`, () => {
      const { kind, payload } = controlToRouterCodecs.encode(message);
      expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(message);
    });
  }
});
