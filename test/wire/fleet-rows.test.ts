/** Compatibility of reports of upstreams without keys between two versions. */
import { expect } from 'chai';
import type { FleetUpdate, LoadReport } from '../../src/control/messages.js';
import { real } from '../../src/wire/fields.js';
import { FRAME_KINDS } from '../../src/wire/frame.js';
import { controlToRouterCodecs, routerToControlCodecs } from '../../src/wire/index.js';
import { defineMessage } from '../../src/wire/message-codec.js';
import { shardWorkField } from '../../src/wire/router/shard-work-field.js';

/** Codec of a version without support for upstreams without keys. */
const olderCodec = defineMessage<LoadReport>(FRAME_KINDS.loadReport, 'load-report', {
  intervalMillis: real,
  shards: shardWorkField,
});

const SHARDS = [{ shard: 's/k@1/0', workMillis: 1.5, requests: 2 }];
const REPORT: LoadReport = {
  type: 'load-report',
  intervalMillis: 1000,
  shards: SHARDS,
  fleet: {
    zone: 'north/1',
    number: 70_000,
    have: { term: 7, number: 12 },
    upstreams: [
      { upstream: 'i-1', kind: 'sheets', requests: 4, workMillis: 1000, isOut: false },
      { upstream: 'i-2', kind: '', requests: 0, workMillis: 0, isOut: true },
    ],
    demand: [{ service: 'menu', kind: 'sheets', requests: 9 }],
  },
  relay: { peer: { router: 'r1', zone: 'north/1', address: '10.0.0.1:7' }, lostPaths: 2 },
};

describe('reports of upstreams without keys', () => {
  it('survive encoding and decoding', () => {
    const { kind, payload } = routerToControlCodecs.encode(REPORT);
    expect(routerToControlCodecs.decode(kind, payload)).to.deep.equal(REPORT);
  });

  it('give an older member the loads of shards, followed by rows of nonexistent services', () => {
    const { payload } = routerToControlCodecs.encode(REPORT);
    const read = olderCodec.decode(payload);
    expect(read.shards.slice(0, SHARDS.length)).to.deep.equal(SHARDS);
    for (const { shard } of read.shards.slice(SHARDS.length)) {
      expect(shard.startsWith('.'), shard).to.equal(true);
    }
  });

  it('are absent from reports of an older router', () => {
    const payload = olderCodec.encode({ type: 'load-report', intervalMillis: 1000, shards: SHARDS });
    const read = routerToControlCodecs.decode(FRAME_KINDS.loadReport, payload);
    expect(read).to.deep.equal({ type: 'load-report', intervalMillis: 1000, shards: SHARDS });
  });

  it('get a minimal response if nothing has changed', () => {
    const update: FleetUpdate = {
      type: 'fleet-news',
      version: { term: 7, number: 12 },
      isWhole: false,
      speeds: [],
      zones: [],
    };
    const { kind, payload } = controlToRouterCodecs.encode(update);
    expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(update);
    expect(payload.length).to.be.at.most(32);
  });

  it('get a response with speeds and zone capacity', () => {
    const update: FleetUpdate = {
      type: 'fleet-news',
      version: { term: 7, number: 13 },
      isWhole: true,
      speeds: [{ upstream: 'i-1', speed: 0.72 }],
      zones: [
        {
          service: 'menu',
          zone: 'a',
          meanMillis: 63.5,
          isUneven: true,
          use: 0.97,
          spill: [{ zone: 'b', share: 0.21 }],
        },
      ],
    };
    const { kind, payload } = controlToRouterCodecs.encode(update);
    expect(controlToRouterCodecs.decode(kind, payload)).to.deep.equal(update);
  });
});
