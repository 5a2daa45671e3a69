/** Slow callers of routers that are stopped and started again: what was made for them arrives, whatever they send. */
import { expect } from 'chai';
import { ClosingSoak } from './closing-soak.js';

const NETWORK = 93;
const SABOTAGE_NETWORK = 94;
const SECONDS = 8;
const SEED = Number(process.env.SOAK_SEED ?? 1);
const LIMIT_MILLIS = 120_000;

describe('closings of connections with slow callers, as processes', () => {
  // Guards against answers that the system held for a slow caller and threw away, wherever its connection was closed.
  it(`lose no answer that was made, seed ${SEED}`, async () => {
    const report = await new ClosingSoak({
      seed: SEED,
      network: NETWORK,
      seconds: Number(process.env.SOAK_SECONDS ?? SECONDS),
      routers: Number(process.env.SOAK_ROUTERS ?? 2),
      callersPerRouter: Number(process.env.SOAK_CALLERS ?? 8),
    }).run();
    if (process.env.SOAK_SEED !== undefined) {
      console.log(JSON.stringify({ ...report, lost: report.lost.length }));
    }
    expect(report.made).to.be.above(0);
    expect({
      lost: report.lost,
      untold: report.untold,
      parts: report.parts,
      failures: report.failures,
    }).to.deep.equal({
      lost: [],
      untold: [],
      parts: [],
      failures: [],
    });
  }).timeout(LIMIT_MILLIS);

  it('are seen to lose answers if connections are closed at once', async () => {
    const plan = { seed: SEED, network: SABOTAGE_NETWORK, seconds: 2, routers: 1, callersPerRouter: 8 };
    const { lost } = await new ClosingSoak({ ...plan, closesAtOnce: true }).run();
    expect(lost).to.have.length.above(0);
  }).timeout(LIMIT_MILLIS);
});
