import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { parseFaults } from '../../src/dev/fleet/fault-schedule.js';
import { FLEET_DEFAULTS } from '../../src/dev/fleet/fleet-options.js';
import { runFleet } from '../../src/dev/fleet/fleet-run.js';
import { reserveNetwork } from '../../src/dev/fleet/network-reservation.js';
import { deploymentSchema, loadDeployment } from '../../src/settings/deployment.js';

const SECONDS = 5;
const NEEDS_SECONDS = 16;
const SOAK_SECONDS = 30;
const SOAK_SEED = 1;
const CROWDED = fileURLToPath(new URL('../../../deployments/crowded.yaml', import.meta.url));

const deployment = deploymentSchema.parse({
  name: 'small',
  zones: ['zone-a', 'zone-b'],
  network: { betweenZones: '1ms', client: '1ms' },
  services: [
    { name: 'items', repeatable: true, keyspaces: [{ name: 'all', prefix: '', shards: 12 }] },
    { name: 'orders', repeatable: false },
  ],
  upstreams: [
    {
      service: 'items',
      count: 4,
      slots: 2,
      connections: 50,
      connect: '1ms',
      probe: '1ms',
      serviceTime: '2ms',
    },
    {
      service: 'orders',
      count: 2,
      slots: 2,
      connections: 50,
      connect: '1ms',
      probe: '1ms',
      serviceTime: '2ms',
    },
  ],
  workload: {
    callers: 10,
    phases: [
      {
        name: 'steady',
        duration: '5s',
        requestsPerSecond: 60,
        mix: [
          { service: 'items', share: 4, keys: 40, skew: 0.5 },
          { service: 'orders', share: 1, method: 'POST' },
        ],
      },
    ],
  },
});

describe('a fleet of real processes', () => {
  it('keeps every promise while an owner and the control leader are killed', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'ternmount-fleet-test-'));
    const { network, release } = await reserveNetwork(FLEET_DEFAULTS.network);
    try {
      const options = {
        ...FLEET_DEFAULTS,
        deployment,
        seconds: SECONDS,
        faults: parseFaults('kill:owner@1+3,kill:leader@2+1', SECONDS),
        folder,
        ownProcesses: { keyed: 1, unkeyed: 0 },
        callers: 1,
        network,
      };
      const report = await runFleet(options, new AbortController().signal, () => {});
      expect(report.problems).to.deep.equal([]);
      expect(report.promises.flatMap(({ violations }) => violations)).to.deep.equal([]);
      expect(report.faults.map(({ type }) => type)).to.deep.equal(['kill', 'kill']);
      expect(report.ownerLosses).to.have.length(1);
    } finally {
      await release();
      rmSync(folder, { recursive: true });
    }
  }).timeout(120_000);

  it('complies with the limits, back-offs and draining that upstreams report', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'ternmount-fleet-test-'));
    const { network, release } = await reserveNetwork(FLEET_DEFAULTS.network);
    const faults = 'names-limit:owner@1+9,says-leaving:unkeyed@1+6,asks-rest:owner@11+4';
    try {
      const options = {
        ...FLEET_DEFAULTS,
        deployment,
        seconds: NEEDS_SECONDS,
        faults: parseFaults(faults, NEEDS_SECONDS),
        folder,
        ownProcesses: { keyed: 1, unkeyed: 1 },
        callers: 1,
        network,
      };
      const report = await runFleet(options, new AbortController().signal, () => {});
      const needs = report.promises.find(({ promise }) => promise === 'needs-heeded');
      expect(report.promises.flatMap(({ violations }) => violations)).to.deep.equal([]);
      expect(needs?.checked).to.be.at.least(20);
    } finally {
      await release();
      rmSync(folder, { recursive: true });
    }
  }).timeout(120_000);

  it('keeps every promise with pipelined reads, callers that disconnect and upstreams of unequal speed', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'ternmount-fleet-test-'));
    const { network, release } = await reserveNetwork(FLEET_DEFAULTS.network);
    try {
      const options = {
        ...FLEET_DEFAULTS,
        deployment,
        seconds: SECONDS,
        faults: parseFaults('stop:router@2+1', SECONDS),
        folder,
        ownProcesses: { keyed: 1, unkeyed: 0 },
        callers: 2,
        pipelining: 8,
        leaveShare: 0.2,
        speeds: [0.2, 1, 1.6],
        rateScale: 4,
        network,
      };
      const report = await runFleet(options, new AbortController().signal, () => {});
      const leftOver = report.promises.find(({ promise }) => promise === 'nothing-left-over');
      expect(report.promises.flatMap(({ violations }) => violations)).to.deep.equal([]);
      expect(leftOver?.checked).to.be.at.least(1);
    } finally {
      await release();
      rmSync(folder, { recursive: true });
    }
  }).timeout(120_000);

  it('keeps every promise with declared routes while answers are repeated, connections end and processes are killed, stopped and frozen', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'ternmount-fleet-test-'));
    const { network, release } = await reserveNetwork(FLEET_DEFAULTS.network);
    try {
      const options = {
        ...FLEET_DEFAULTS,
        deployment: loadDeployment(CROWDED),
        seconds: SOAK_SECONDS,
        faults: [],
        folder,
        seed: SOAK_SEED,
        declared: true,
        randomFaults: true,
        network,
      };
      const report = await runFleet(options, new AbortController().signal, () => {});
      const notRun = report.promises.find(({ promise }) => promise === 'not-run-is-true');
      expect(report.promises.flatMap(({ violations }) => violations)).to.deep.equal([]);
      expect(report.problems).to.deep.equal([]);
      expect(notRun?.checked).to.be.at.least(100);
    } finally {
      await release();
      rmSync(folder, { recursive: true });
    }
  }).timeout(120_000);
});
