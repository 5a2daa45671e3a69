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
