import { expect } from 'chai';
import {
  CONTROL_MEMBERS,
  planScale,
  REAL_ROUTERS,
  SHARDS_PER_UPSTREAM,
} from '../../../src/dev/scale/scale-plan.js';
import { formatResult } from '../../../src/dev/scale/scale-table.js';
import { meanOf, ratesBetween, type UsageSample } from '../../../src/dev/scale/usage.js';

const SAMPLE: UsageSample = {
  atMillis: 1000,
  cpuMillis: 100,
  residentBytes: 4_000_000,
  heapBytes: 1_000_000,
  bytesIn: 10,
  bytesOut: 20,
  messagesIn: 1,
  messagesOut: 2,
  steps: 5,
  stepMillis: 1,
  longestStepMillis: 1,
};

describe('scale plan', () => {
  for (const { daemons, shards } of [
    { daemons: 20, shards: 600 },
    { daemons: 300, shards: 22_500 },
    { daemons: 1200, shards: 90_000 },
  ]) {
    it(`divides ${daemons} daemons and ${shards} shards without loss`, () => {
      const plan = planScale({ daemons, shards });
      const simulated = plan.routerProcesses.flat();
      expect(simulated.length + CONTROL_MEMBERS + REAL_ROUTERS).to.equal(daemons);
      expect(new Set(simulated).size).to.equal(simulated.length);
      expect(plan.upstreamProcesses.flat().length).to.equal(shards / SHARDS_PER_UPSTREAM);
      const declared = plan.services.flatMap(({ keyspaces }) => keyspaces.map((keyspace) => keyspace.shards));
      expect(declared.reduce((sum, count) => sum + count, 0)).to.equal(shards);
    });
  }
});

describe('usage rates', () => {
  const later: UsageSample = {
    ...SAMPLE,
    atMillis: 3000,
    cpuMillis: 1100,
    bytesIn: 2010,
    bytesOut: 420,
    messagesIn: 11,
    messagesOut: 12,
    steps: 25,
    longestStepMillis: 7,
  };

  it('are per second and per member of a shared process', () => {
    const rates = ratesBetween(SAMPLE, later, 10);
    expect(rates.bytesInPerSecond).to.equal(100);
    expect(rates.bytesOutPerSecond).to.equal(20);
    expect(rates.messagesPerSecond).to.equal(1);
    expect(rates.processorShare).to.equal(0.05);
    expect(rates.residentBytes).to.equal(400_000);
  });

  it('of several processes are averaged, and the longest step is the maximum', () => {
    const mean = meanOf([
      ratesBetween(SAMPLE, later),
      ratesBetween(SAMPLE, { ...later, longestStepMillis: 9 }),
    ]);
    expect(mean.bytesInPerSecond).to.equal(1000);
    expect(mean.longestStepMillis).to.equal(9);
  });

  it('are formatted as a table with one line per role', () => {
    const rates = ratesBetween(SAMPLE, later);
    const text = formatResult({
      daemons: 20,
      shards: 600,
      upstreams: 8,
      hollowRouters: 15,
      machineLoad: [1, 2],
      resends: 0,
      firstGrantsMillis: 700,
      rows: [{ role: 'control leader', count: 1, rates }],
      configurationChange: { count: 10, acceptedP50: 1, inForceP50: 2, inForceMax: 3 },
      lostServer: { shards: 75, grantedMillis: 1400, knownMillis: 1410 },
      routerRestart: { millis: 400, bytes: 9000, cpuMillis: 40, longestStepMillis: 2 },
      zoneRestart: {
        routers: 5,
        millis: 400,
        bytesPerRouter: 9000,
        longestStepMillis: 3,
        othersWithoutLease: 0,
      },
      totalBytes: 1024 * 1024,
    });
    expect(text).to.match(/^control leader +1 +1000 +200 +10\.0 +50\.00 +3\.8 +7\.0$/m);
  });
});
