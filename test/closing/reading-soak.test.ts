/** Callers that read at any speed while their routers are stopped and killed: no part looks whole, and what can be taken arrives. */
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { ReadingSoak } from './reading-soak.js';

const STOPS_AT_ONCE = fileURLToPath(new URL('../soak/stops-at-once.js', import.meta.url));
const PARTS_LOOK_WHOLE = fileURLToPath(new URL('./parts-look-whole.js', import.meta.url));
const NETWORK = 157;
const SABOTAGE_NETWORK = 158;
const SECONDS = 0;
const SEED = Number(process.env.SOAK_SEED ?? 1);
const LIMIT_MILLIS = 120_000;

describe('answers of all sizes to callers that read at all speeds, as processes', () => {
  // Guards against answers that a planned stop cuts though their caller has time for them, and against parts that look whole after a kill.
  it(`arrive or are seen to be cut, seed ${SEED}`, async () => {
    const report = await new ReadingSoak({
      seed: SEED,
      network: NETWORK,
      seconds: Number(process.env.SOAK_SECONDS ?? SECONDS),
      routers: Number(process.env.SOAK_ROUTERS ?? 2),
      callersPerRouter: Number(process.env.SOAK_CALLERS ?? 16),
    }).run();
    const { lost, unanswered, parts, failures, ...figures } = report;
    if (process.env.SOAK_SEED !== undefined) {
      const counts = [lost, unanswered, parts, failures].map(({ length }) => length);
      console.log(JSON.stringify({ seed: SEED, ...figures, counts }));
      console.log([lost, unanswered, parts].flat().join('\n'));
    }
    expect(report.whole).to.be.above(0);
    expect({ lost, unanswered, parts, failures }).to.deep.equal({
      lost: [],
      unanswered: [],
      parts: [],
      failures: [],
    });
  }).timeout(LIMIT_MILLIS);

  it('are seen to be lost by a router that ends at once, and to look whole where they end with their connection', async () => {
    const sabotages = [STOPS_AT_ONCE, PARTS_LOOK_WHOLE];
    const plan = { seed: SEED, network: SABOTAGE_NETWORK, seconds: 0, routers: 2, callersPerRouter: 8 };
    const { lost, parts } = await new ReadingSoak({ ...plan, sabotages }).run();
    expect(lost.filter((line) => line.includes('router-1'))).to.have.length.above(0);
    expect(parts).to.have.length.above(0);
  }).timeout(LIMIT_MILLIS);
});
