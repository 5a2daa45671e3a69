/**
 * Two zones with 8 routers and 12 upstreams; demand is a fraction of each zone's own capacity. Nearly as many requests must be answered in
 * time as by one ideal queue over all slots that uses the fastest free slot first, and almost none may go to the other zone without need.
 */
import { expect } from 'chai';
import { UnevenFleet, type UnevenResult } from './uneven-fleet.js';

/** Allowed difference from the ideal fractions of requests in time and across zones. */
const TOLERANCE = 0.03;
const SEEDS = [1, 2, 3, 4];
const EVEN = [1];
const UNEVEN = [0.7, 0.7, 1.6];

interface Row {
  readonly a: number;
  readonly b: number;
  readonly speeds: readonly number[];
}

function runsOf({ a, b, speeds }: Row): UnevenResult[] {
  const demand = (zone: 'a' | 'b'): number => (zone === 'a' ? a : b);
  return SEEDS.map((seed) => new UnevenFleet({ seed, speeds, demand, millis: 70_000 }).run());
}

function meanOf(runs: readonly UnevenResult[], of: (run: UnevenResult) => number): number {
  return runs.reduce((sum, run) => sum + of(run), 0) / runs.length;
}

function expectNearBest(row: Row): void {
  const runs = runsOf(row);
  const best = meanOf(runs, ({ oneQueue }) => oneQueue);
  const neededAcross = Math.max(0, row.a - 1, row.b - 1) / (row.a + row.b);
  expect(
    meanOf(runs, ({ across }) => across),
    'across',
  ).to.be.at.most(neededAcross + TOLERANCE);
  expect(
    meanOf(runs, ({ inTime }) => inTime),
    'in time',
  ).to.be.at.least(best - TOLERANCE);
}

describe('two zones with uneven demand and upstreams', function () {
  this.timeout(60_000);
  const rows: readonly Row[] = [
    { a: 0.6, b: 0.6, speeds: EVEN },
    { a: 0.6, b: 0.6, speeds: UNEVEN },
    { a: 0.8, b: 0.8, speeds: UNEVEN },
    { a: 1.1, b: 0.5, speeds: EVEN },
    { a: 1.1, b: 0.5, speeds: UNEVEN },
  ];
  for (const row of rows) {
    it(`serve nearly as one queue would at ${row.a} and ${row.b}, speeds ${row.speeds.join(', ')}`, () => {
      expectNearBest(row);
    });
  }

  it('serve nearly as one queue would where all room together is hardly enough', () => {
    expectNearBest({ a: 0.95, b: 0.95, speeds: UNEVEN });
    expectNearBest({ a: 1.4, b: 0.5, speeds: UNEVEN });
  });
});
