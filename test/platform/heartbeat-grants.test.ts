/** Ranges granted in heartbeat responses, on real processes: from the declaration to the response to a request. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { type AnnouncedUpstream, callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 79;
const BY_HEARTBEAT = {
  ...DOCUMENT,
  services: [{ name: 'menu', keyed: true, grantedBy: 'heartbeat' }, { name: 'pantry' }],
};

describe('grants by heartbeat on real processes', function suite() {
  this.timeout(60_000);
  const cluster = new DeclaredCluster(NETWORK, 3);
  let router = '';
  const menus: AnnouncedUpstream[] = [];

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(BY_HEARTBEAT, 0)).to.equal(200);
    for (const id of ['menu-1', 'menu-2', 'menu-3']) {
      menus.push(await cluster.addUpstream({ id, service: 'menu', keyed: true, byHeartbeat: true }));
    }
    router = await cluster.startRouter();
    await cluster.untilHeld(menus);
  });

  after(() => cluster.close());

  async function expectAllServed(): Promise<void> {
    for (let key = 0; key < 65_536; key += 4096) {
      const answer = await callRouter(router, '/sheets/a', { key });
      expect(answer, `key ${key}: ${answer.body}`).to.include({ status: 200 });
    }
  }

  it('serves each key from its owner', async () => {
    await expectAllServed();
    expect(menus.every((menu) => menu.rows.length > 0)).to.equal(true);
  });

  it('refuses an unknown value of grantedBy with its path', async () => {
    const [member = ''] = cluster.control;
    const document = { ...BY_HEARTBEAT, version: 9, services: [{ name: 'menu', grantedBy: 'pigeon' }] };
    const response = await fetch(`http://${member}/v1/declaration`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json', 'if-match': '1' },
      body: JSON.stringify(document),
    });
    expect(response.status).to.equal(422);
    expect(await response.text()).to.include('services[0].grantedBy');
  });

  const heartbeat = {
    service: 'menu',
    address: '127.0.0.1:9',
    zone: 'zone-1',
    slots: 2,
    state: 'ready',
    sequence: 1,
  };
  const malformed: readonly (readonly [string, object, string])[] = [
    ['a key out of range', { holds: [[0, 65_536, 1]] }, 'holds[0][1]'],
    ['a negative key', { holds: [[-1, 5, 1]] }, 'holds[0][0]'],
    ['a fence that isn’t a whole number', { holds: [[0, 5, 1.5]] }, 'holds[0][2]'],
    [
      'overlapping rows of one fence',
      {
        holds: [
          [0, 9, 4],
          [9, 20, 4],
        ],
      },
      'holds[1]',
    ],
    ['a row whose last key is before its first', { released: [[9, 3, '']] }, 'released[0]'],
    ['10,000 rows', { holds: Array.from({ length: 10_000 }, (_, key) => [key, key, 1]) }, 'holds'],
    ['a sequence that isn’t a number', { sequence: 'x' }, 'sequence'],
  ];
  for (const [name, fields, place] of malformed) {
    it(`refuses a heartbeat with ${name}, and changes nothing`, async () => {
      const [member = ''] = cluster.control;
      const response = await fetch(`http://${member}/v1/upstreams/stranger/heartbeat`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...heartbeat, ...fields }),
      });
      expect(response.status).to.equal(400);
      expect(await response.text()).to.include(place);
      const upstreams = await fetch(`http://${member}/v1/upstreams`);
      expect(await upstreams.text()).not.to.include('stranger');
    });
  }

  it('moves the keys of a draining upstream without losing a request', async () => {
    const draining = menus[0] as AnnouncedUpstream;
    draining.state = 'draining';
    expect(await draining.announce()).to.equal(200);
    await expectAllServed();
    await sleep(1000);
    expect(draining.rows).to.deep.equal([]);
    const handovers = menus
      .slice(1)
      .flatMap(({ grants }) => grants.flatMap(({ handover }) => handover ?? []));
    expect(handovers.some((handover) => handover.startsWith('menu-1:'))).to.equal(true);
  });

  it('moves the keys of an upstream that stops without notice', async () => {
    const lost = menus[1] as AnnouncedUpstream;
    await lost.stop();
    await sleep(2500);
    await expectAllServed();
  });
});
