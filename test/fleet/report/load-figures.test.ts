import { expect } from 'chai';
import { buildHistory } from '../../../src/dev/fleet/checker/fleet-history.js';
import { imbalanceOf, loadFigures } from '../../../src/dev/fleet/report/load-figures.js';
import type { AttemptRecord } from '../../../src/dev/journal/records.js';
import { attempt, run } from '../checker/journal-fixtures.js';

function figuresOf(...attempts: AttemptRecord[]) {
  const [figures] = loadFigures(buildHistory(attempts));
  return figures;
}

const refused = { verdict: 'refused', outcome: 'not-run' } as const;

describe('loadFigures', () => {
  it('counts a request once, by its last attempt', () => {
    const figures = figuresOf(
      attempt({ request: 'a', attempt: 1, last: false, ...refused }),
      attempt({ request: 'a', attempt: 2, last: true }),
      attempt({ request: 'b', verdict: 'refused', outcome: 'unknown' }),
      attempt({ request: 'c', verdict: 'lost', status: null }),
      attempt({ request: 'd', ...refused }),
    );
    expect(figures).to.include({ requests: 4, answered: 1, refused: 1, unknown: 2, failed: 0 });
  });

  it('counts a key as unavailable from a refused request to its next answer', () => {
    const figures = figuresOf(
      attempt({ request: 'a', key: 'k', scheduledAt: 1000, at: 1010, ...refused }),
      attempt({ request: 'b', key: 'k', scheduledAt: 1500, at: 1510, ...refused }),
      attempt({ request: 'c', key: 'k', scheduledAt: 2900, at: 3000 }),
      attempt({ request: 'd', key: 'other', scheduledAt: 1200, at: 1210 }),
    );
    expect(figures?.unavailableKeySeconds).to.equal(2);
  });

  it('counts a request that was answered late', () => {
    const figures = figuresOf(attempt({ request: 'a', key: 'k', scheduledAt: 1000, at: 2500 }));
    expect(figures?.unavailableKeySeconds).to.equal(1.5);
  });
});

describe('imbalanceOf', () => {
  it('divides the most loaded upstream by the mean over all, idle ones included', () => {
    const runs = ['up-1', 'up-1', 'up-1', 'up-2'].flatMap((upstream) => run({ upstream }));
    const imbalance = imbalanceOf(buildHistory(runs), new Map([['menuboard', 4]]));
    expect(imbalance.get('menuboard')).to.equal(3);
  });
});
