/** Service quality with uneven upstreams and zones while machines, links and leaders fail, in virtual time. */
import { expect } from 'chai';
import { UnevenFleet, type UnevenOptions, type UnevenResult } from './uneven-fleet.js';

const UNEVEN = [0.7, 0.7, 1.6];
const WAVE_MILLIS = 17_000;
/** Allowed shortfall in answers in time against a single ideal queue, and allowed unneeded traffic between zones. */
const TOLERANCE = 0.03;

function run(options: Partial<UnevenOptions>): UnevenResult {
  return new UnevenFleet({ seed: 5, speeds: UNEVEN, demand: () => 0.8, millis: 60_000, ...options }).run();
}

/** Sinusoidal demand, in opposite phase in the two zones. */
function wave(mean: number, swing: number): UnevenOptions['demand'] {
  return (zone, millis) => {
    const phase = zone === 'a' ? 0 : Math.PI;
    return mean + swing * Math.sin((2 * Math.PI * millis) / WAVE_MILLIS + phase);
  };
}

function expectNearIdealQueue(result: UnevenResult): void {
  expect(result.inTime).to.be.at.least(result.oneQueue - TOLERANCE);
}

/** Fraction of all requests that the fastest upstreams served. */
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
    it(`are used fastest first by ${2 * routersPerZone} routers with the same algorithm, without traffic between zones`, () => {
      const result = run({
        routersPerZone,
        upstreamsPerZone,
        demand: () => 0.6,
        millis: 40_000,
        countFromMillis: 20_000,
      });
      expectNearIdealQueue(result);
      expect(result.across).to.be.at.most(TOLERANCE);
      expect(fastShare(result)).to.be.above(1.6 / 3);
    });
  }

  it('that become three times slower for 0.4 s in rotation are not treated as slow', () => {
    const slowness = (index: number, millis: number): number =>
      (Math.floor(millis / 400) + index) % 5 === 0 ? 3 : 1;
    const rotation = { speeds: [1], slowness, demand: (): number => 0.5, countFromMillis: 20_000 };
    const result = run(rotation);
    expect(result.inTime).to.be.at.least(run({ ...rotation, isWithoutControl: true }).inTime);
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  it('are used well by routers that restart without state', () => {
    const restarts = [15_000, 25_000, 35_000].map((at, router) => ({ at, router }));
    expectNearIdealQueue(run({ restarts }));
  });

  it('are counted once, though reports arrive twice and late', () => {
    const result = run({ doubledReports: true });
    expectNearIdealQueue(result);
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  it('are used as well once a lost leader is followed by one without state', () => {
    expectNearIdealQueue(run({ leaderless: [{ from: 20_000, to: 32_000 }], countFromMillis: 40_000 }));
  });

  it('are served no worse than by local measurements alone while control is unreachable', () => {
    const withoutControl = run({ isWithoutControl: true, countFromMillis: 25_000 });
    const leaderless = run({ leaderless: [{ from: 15_000, to: 70_000 }], countFromMillis: 25_000 });
    expect(leaderless.inTime).to.be.at.least(withoutControl.inTime - TOLERANCE);
    expect(leaderless.across).to.be.at.most(withoutControl.across + TOLERANCE);
  });

  it('are served well if half of the routers are cut off from control', () => {
    const cut = { from: 15_000, to: 60_000, share: 0.5 };
    const withoutControl = run({ isWithoutControl: true });
    expect(run({ cut }).inTime).to.be.at.least(withoutControl.inTime - TOLERANCE);
  });

  it('keep requests in their zone while it has a little capacity left', () => {
    const result = run({ demand: () => 0.9 });
    expectNearIdealQueue(result);
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  it('send requests to other zones without need if speeds are ignored (sabotage)', () => {
    const runs = [5, 6, 7, 8].map((seed) => run({ seed, demand: () => 0.9, sabotage: 'speeds-ignored' }));
    const across = runs.reduce((sum, result) => sum + result.across, 0) / runs.length;
    expect(across).to.be.above(TOLERANCE);
  });
});

describe('demand of zones', function () {
  this.timeout(120_000);

  it('that rises and falls every 17 s goes to the other zone only while necessary', () => {
    const result = run({ demand: wave(0.75, 0.35) });
    expectNearIdealQueue(result);
    // Demand exceeds a zone's own capacity by at most 0.1, during a fifth of the time.
    expect(result.across).to.be.at.most(0.03 + TOLERANCE);
  });

  it('is served elsewhere when a third of the upstreams in a zone is lost at the peak', () => {
    const isLost: UnevenOptions['isLost'] = (zone, index, millis) =>
      zone === 'a' && index < 2 && millis >= WAVE_MILLIS / 4 + 2 * WAVE_MILLIS;
    const result = run({ speeds: [1], demand: wave(0.6, 0.2), isLost, countFromMillis: 45_000 });
    expect(result.inTime).to.be.at.least(1 - TOLERANCE);
  });

  const isZoneCut = (millis: number): boolean => millis >= 25_000 && millis < 40_000;
  const shortageInA: UnevenOptions['demand'] = (zone) => (zone === 'a' ? 1.2 : 0.5);

  it('harms no zone with free capacity while the zones cannot reach each other', () => {
    const result = run({ demand: shortageInA, isZoneCut, millis: 40_000, countFromMillis: 25_000 });
    expect(result.zones.b.inTime).to.be.at.least(1 - TOLERANCE);
  });

  it('is served elsewhere again once the zones can reach each other', () => {
    expectNearIdealQueue(run({ demand: shortageInA, isZoneCut, millis: 80_000, countFromMillis: 55_000 }));
  });

  it('that doubles for a while stays in its zone again afterwards', () => {
    const demand: UnevenOptions['demand'] = (zone, millis) => (zone === 'a' && millis < 30_000 ? 1.2 : 0.5);
    const result = run({ speeds: [1], demand, countFromMillis: 45_000 });
    expect(result.across).to.be.at.most(TOLERANCE);
  });

  const leaderLost = { leaderless: [{ from: 30_000, to: 90_000 }], countFromMillis: 40_000 };
  const shortageThenCalm: UnevenOptions['demand'] = (zone, millis) =>
    zone === 'a' && millis < 30_000 ? 1.2 : 0.5;

  it('stays in its zone again once a spill plan expires without renewal', () => {
    const withoutControl = run({
      speeds: [1],
      demand: shortageThenCalm,
      countFromMillis: 40_000,
      isWithoutControl: true,
    });
    const result = run({ speeds: [1], demand: shortageThenCalm, ...leaderLost });
    expect(result.across).to.be.at.most(withoutControl.across + TOLERANCE);
  });

  it('keeps going to the other zone if a spill plan never expires (sabotage)', () => {
    const withoutControl = run({
      speeds: [1],
      demand: shortageThenCalm,
      countFromMillis: 40_000,
      isWithoutControl: true,
    });
    const result = run({
      speeds: [1],
      demand: shortageThenCalm,
      ...leaderLost,
      sabotage: 'spill-never-lapses',
    });
    expect(result.across).to.be.above(withoutControl.across + TOLERANCE);
  });
});
