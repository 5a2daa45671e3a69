import { expect } from 'chai';
import { keyedService, startLoadedWorld } from '../../../src/dev/bench/models/loaded-world.js';
import { runRush } from '../../../src/dev/bench/models/rush.js';
import { BenchWorld } from '../../../src/dev/bench/world/bench-world.js';
import { worldOptions } from '../../../src/dev/bench/world/world-from-deployment.js';
import type { Deployment } from '../../../src/settings/deployment.js';
import { deploymentSchema } from '../../../src/settings/deployment.js';

/** A small installation that keeps each run below a second. */
const DEPLOYMENT: Deployment = deploymentSchema.parse({
  name: 'small',
  zones: ['zone-a', 'zone-b', 'zone-c'],
  network: { betweenZones: '1ms', client: '1ms' },
  services: [
    {
      name: 'sheets',
      repeatable: true,
      priority: 'interactive',
      deadline: '2s',
      slotsPerUpstream: 2,
      queueLimit: 64,
      holdLimit: '1500ms',
      keyspaces: [{ name: 'all', prefix: '', shards: 9 }],
    },
    {
      name: 'orders',
      keyed: false,
      repeatable: false,
      priority: 'critical',
      deadline: '2s',
      slotsPerUpstream: 2,
    },
  ],
  upstreams: [
    {
      service: 'sheets',
      count: 3,
      slots: 2,
      connections: 50,
      connect: '1ms',
      probe: '5ms',
      serviceTime: '8ms',
    },
    {
      service: 'orders',
      count: 2,
      slots: 2,
      connections: 50,
      connect: '1ms',
      probe: '5ms',
      serviceTime: '8ms',
    },
  ],
  workload: {
    callers: 10,
    phases: [
      {
        name: 'rush',
        duration: '1s',
        requestsPerSecond: 200,
        mix: [
          { service: 'sheets', share: 9, keys: 20, skew: 0.5 },
          { service: 'orders', share: 1, method: 'POST' },
        ],
      },
    ],
  },
});

function rush(seed: number, reads: number): Map<string, number> {
  const readings = runRush(DEPLOYMENT, seed, { reads, orders: 0.3 });
  return new Map(readings.map(({ name, value }) => [name, value]));
}

describe('BenchWorld', () => {
  it('produces the same figures for the same seed and different ones for another seed', () => {
    expect([...rush(1, 0.5)]).to.deep.equal([...rush(1, 0.5)]);
    expect([...rush(1, 0.5)]).to.not.deep.equal([...rush(2, 0.5)]);
  });

  it('serves all of a light load and refuses part of a heavy one without affecting orders', () => {
    const light = rush(1, 0.3);
    expect(light.get('sheets good share')).to.equal(100);
    const heavy = rush(1, 3);
    expect(heavy.get('sheets good share')).to.be.below(60);
    expect(heavy.get('orders good share')).to.equal(100);
    expect(heavy.get('unknown')).to.equal(0);
  });

  it('moves the shards of a killed server to others', () => {
    const { name } = keyedService(DEPLOYMENT);
    const { world, probe } = startLoadedWorld(DEPLOYMENT, 1, { watched: name, loadMillis: 1000, returns: 0 });
    const [server] = world.upstreamsOf(name);
    const shards = probe.shardsOf(server?.definition.id ?? '');
    expect(shards).to.have.length(3);
    server?.kill();
    expect(probe.availableShare(shards)).to.equal(0);
    world.run(4000);
    expect(probe.availableShare(shards)).to.equal(1);
    expect(probe.shardsOf(server?.definition.id ?? '')).to.deep.equal([]);
  });

  it('cuts a zone off and heals it', () => {
    const world = new BenchWorld(worldOptions(DEPLOYMENT, 3));
    world.start();
    const zone = world.options.zones.find((candidate) => candidate !== world.control.leader()?.zone) ?? '';
    world.network.cut(zone);
    world.run(4000);
    expect(world.routers.map((router) => router.serving)).to.deep.equal(
      world.routers.map((router) => router.zone !== zone),
    );
    world.network.heal(zone);
    world.run(4000);
    expect(world.routers.every((router) => router.serving)).to.equal(true);
  });
});
