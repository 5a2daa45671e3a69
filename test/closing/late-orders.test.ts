/** Orders that callers go on sending while real routers stop as planned: each is answered whole or truly refused, up to the last moment. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { VIOLATION } from '../soak/judge.js';
import { ROOT } from '../soak/machine-fleet.js';
import { LateOrders, type LateOrdersPlan } from './late-orders.js';

const NETWORK = 155;
const SABOTAGE_NETWORK = 156;
const STOPS_AT_ONCE = fileURLToPath(new URL('../soak/stops-at-once.js', import.meta.url));
const SEED = Number(process.env.SOAK_SEED ?? 1);
const LIMIT_MILLIS = 120_000;

describe('orders that come late in planned stops, as processes', () => {
  let bundle = process.env.SOAK_BUNDLE ?? '';

  before(function bundleDaemons() {
    this.timeout(LIMIT_MILLIS);
    if (bundle === '') {
      bundle = mkdtempSync(join(ROOT, 'build', 'late-'));
      const built = spawnSync(process.execPath, ['scripts/bundle/bundle.mjs', bundle], { cwd: ROOT });
      expect(built.status, String(built.stderr)).to.equal(0);
    }
  });

  after(() => {
    if (process.env.SOAK_BUNDLE === undefined) {
      rmSync(bundle, { recursive: true, force: true });
    }
  });

  async function play(plan: LateOrdersPlan): Promise<void> {
    const orders = new LateOrders(plan);
    const { violations, ...report } = await orders.run();
    if (process.env.SOAK_SEED !== undefined) {
      console.log(JSON.stringify({ seed: SEED, ...report, violations: violations.length }));
    }
    const lines = violations.map((violation) => {
      const { kind, subject, detail } = violation;
      return [`${kind} ${subject}: ${detail}`, ...orders.linesOf(violation)].join('\n  ');
    });
    expect(report.inStops).to.be.above(0);
    expect(lines.join('\n'), `logs in ${report.folder}`).to.equal('');
    orders.removeFolder();
  }

  // Guards against orders that a stopping router takes, and whose connections end with the process while they run or wait.
  it(`aren't run or read and left without an answer when the process ends, seed ${SEED}`, () =>
    play({ seed: SEED, network: NETWORK, bundle })).timeout(LIMIT_MILLIS);

  // Guards against connections that end with the process, without an answer, where it waits for an upstream that did its work and is silent.
  it(`get an answer before the process ends if their upstream is silent, seed ${SEED}`, () =>
    play({ seed: SEED, network: NETWORK, bundle, hasSilentUpstream: true })).timeout(LIMIT_MILLIS);

  it('are seen to be lost where a router ends at once', async () => {
    const plan = { seed: SEED, network: SABOTAGE_NETWORK, bundle, routersLoad: STOPS_AT_ONCE };
    const orders = new LateOrders(plan);
    const { violations } = await orders.run();
    orders.removeFolder();
    expect(violations.map(({ kind }) => kind)).to.include(VIOLATION.lostByPlannedWork);
  }).timeout(LIMIT_MILLIS);
});
