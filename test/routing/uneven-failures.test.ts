/** Uneven upstreams and zones while machines, links and leaders fail; what callers get, in virtual time. */
import { expect } from 'chai';
import { UnevenFleet, type UnevenOptions, type UnevenResult } from './uneven-fleet.js';

const UNEVEN = [0.7, 0.7, 1.6];
const WAVE_MILLIS = 17_000;
/** Of what one queue would serve in time so much may be late, or cross zones without need. */
const TOLERANCE = 0.03;

function run(options: Partial<UnevenOptions>): UnevenResult {
  return new UnevenFleet({ seed: 5, speeds: UNEVEN, demand: () => 0.8, millis: 60_000, ...options }).run();
}

/** Demand of zones that swells and ebbs, one after the other. */
function wave(mean: number, swing: number): UnevenOptions['demand'] {
  return (zone, millis) => {
    const phase = zone === 'a' ? 0 : Math.PI;
    return mean + swing * Math.sin((2 * Math.PI * millis) / WAVE_MILLIS + phase);
  };
}

function expectNearOneQueue(result: UnevenResult): void {
  expect(result.inTime).to.be.at.least(result.oneQueue - TOLERANCE);
}

/** Work that the fastest did, as a part of what all did, against its part of the capacity. */
function fastShare({ served }: UnevenResult): number {
  const fast = served.filter((_, index) => index % 3 === 2).reduce((sum, count) => sum + count, 0);
  return fast / served.reduce((sum, count) => sum + count, 0);
}

describe('uneven upstreams', function () {
  this.timeout(120_000);

  for (const [routersPerZone, upstreamsPerZone] of [
    [8, 6],
    [38, 30],
    [150, 30],
  ] as const) {
    it(`are used fast ones first by ${2 * routersPerZone} routers that decide alike, and nothing crosses`, () => {
      const result = run({
        routersPerZone,
        upstreamsPerZone,
        demand: () => 0.6,
        millis: 40_000,
        countFromMillis: 20_000,
      });
      expectNearOneQueue(result);
      expect(result.across).to.be.at.most(TOLERANCE);
      expect(fastShare(result)).to.be.above(1.6 / 3);
    });
  }

  it('that are three times slower by turns of 0.4 s are not taken for slow ones', () => {
    const slowness = (index: number, millis: number): number =>
      (Math.floor(millis / 400) + index) % 5 === 0 ? 3 : 1;
    const turns = { speeds: [1], slowness, demand: (): number => 0.5, countFromMillis: 20_000 };
    const result = run(turns);
    expect(result.inTime).to.be.at.least(run({ ...turns, isWithoutControl: true }).inTime);
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  it('are known to a router that starts again with nothing', () => {
    const restarts = [15_000, 25_000, 35_000].map((at, router) => ({ at, router }));
    expectNearOneQueue(run({ restarts }));
  });

  it('count once, though reports come twice and late', () => {
    const result = run({ doubledReports: true });
    expectNearOneQueue(result);
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  it('are used as well once a lost leader is followed by one that knows nothing', () => {
    expectNearOneQueue(run({ leaderless: [{ from: 20_000, to: 32_000 }], countFromMillis: 40_000 }));
  });

  it('are served no worse than by own evidence alone while control is away', () => {
    const alone = run({ isWithoutControl: true, countFromMillis: 25_000 });
    const away = run({ leaderless: [{ from: 15_000, to: 70_000 }], countFromMillis: 25_000 });
    expect(away.inTime).to.be.at.least(alone.inTime - TOLERANCE);
    expect(away.across).to.be.at.most(alone.across + TOLERANCE);
  });

  it('are served well by routers that are cut off from control beside others that are not', () => {
    const cut = { from: 15_000, to: 60_000, share: 0.5 };
    const alone = run({ isWithoutControl: true });
    expect(run({ cut }).inTime).to.be.at.least(alone.inTime - TOLERANCE);
  });

  it('keep their work in its zone while there is a little room', () => {
    const result = run({ demand: () => 0.9 });
    expectNearOneQueue(result);
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  it('send work across zones without need if speeds are ignored (sabotage)', () => {
    const runs = [5, 6, 7, 8].map((seed) => run({ seed, demand: () => 0.9, sabotage: 'speeds-ignored' }));
    const across = runs.reduce((sum, result) => sum + result.across, 0) / runs.length;
    expect(across).to.be.above(TOLERANCE);
  });
});

describe('demand of zones', function () {
  this.timeout(120_000);

  it('that swells and ebbs every 17 s goes across only while it needs to', () => {
    const result = run({ demand: wave(0.75, 0.35) });
    expectNearOneQueue(result);
    // Of each zone's own room 0.1 at most is short, in a fifth of the time.
    expect(result.across).to.be.at.most(0.03 + TOLERANCE);
  });

  it('goes elsewhere where a third of the upstreams is lost at the peak', () => {
    const isLost: UnevenOptions['isLost'] = (zone, index, millis) =>
      zone === 'a' && index < 2 && millis >= WAVE_MILLIS / 4 + 2 * WAVE_MILLIS;
    const result = run({ speeds: [1], demand: wave(0.6, 0.2), isLost, countFromMillis: 45_000 });
    expect(result.inTime).to.be.at.least(1 - TOLERANCE);
  });

  const isZoneCut = (millis: number): boolean => millis >= 25_000 && millis < 40_000;
  const shortInA: UnevenOptions['demand'] = (zone) => (zone === 'a' ? 1.2 : 0.5);

  it('harms no zone that has room while the way between them is cut', () => {
    const result = run({ demand: shortInA, isZoneCut, millis: 40_000, countFromMillis: 25_000 });
    expect(result.zones.b.inTime).to.be.at.least(1 - TOLERANCE);
  });

  it('goes elsewhere again once the way between zones is back', () => {
    expectNearOneQueue(run({ demand: shortInA, isZoneCut, millis: 80_000, countFromMillis: 55_000 }));
  });

  it('that doubles for a while crosses no longer once it is over', () => {
    const demand: UnevenOptions['demand'] = (zone, millis) => (zone === 'a' && millis < 30_000 ? 1.2 : 0.5);
    const result = run({ speeds: [1], demand, countFromMillis: 45_000 });
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  const fromThenOn = { leaderless: [{ from: 30_000, to: 90_000 }], countFromMillis: 40_000 };
  const shortThenCalm: UnevenOptions['demand'] = (zone, millis) =>
    zone === 'a' && millis < 30_000 ? 1.2 : 0.5;

  it('crosses no longer once a plan lapsed that nobody renews', () => {
    const alone = run({
      speeds: [1],
      demand: shortThenCalm,
      countFromMillis: 40_000,
      isWithoutControl: true,
    });
    const result = run({ speeds: [1], demand: shortThenCalm, ...fromThenOn });
    expect(result.across).to.be.at.most(alone.across + TOLERANCE);
  });

  it('goes on crossing if a plan never lapses (sabotage)', () => {
    const alone = run({
      speeds: [1],
      demand: shortThenCalm,
      countFromMillis: 40_000,
      isWithoutControl: true,
    });
    const result = run({ speeds: [1], demand: shortThenCalm, ...fromThenOn, sabotage: 'spill-never-lapses' });
    expect(result.across).to.be.above(alone.across + TOLERANCE);
  });
});
