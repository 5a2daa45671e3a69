import { expect } from 'chai';
import { OutlierEjection } from '../../src/routing/upstream/outlier-ejection.js';

const UPSTREAMS = 4;
const NONE_EJECTED = 0;

function failTimes(ejection: OutlierEjection, now: number, times: number): boolean[] {
  return Array.from({ length: times }, () => ejection.failed(now, NONE_EJECTED, UPSTREAMS));
}

describe('ejection of an upstream whose requests fail', () => {
  it('happens after three failures in a row', () => {
    const ejection = new OutlierEjection();
    expect(failTimes(ejection, 0, 3)).to.deep.equal([false, false, true]);
    expect(ejection.isEjected(0)).to.equal(true);
  });

  it('happens after one failure if nothing succeeded since the previous ejection, and lasts twice as long', () => {
    const ejection = new OutlierEjection();
    failTimes(ejection, 0, 3);
    const end = ejection.ejectedUntil;
    expect(failTimes(ejection, end, 1)).to.deep.equal([true]);
    expect(ejection.ejectedUntil - end).to.equal(2 * end);
  });

  it('requires three failures again after a success', () => {
    const ejection = new OutlierEjection();
    failTimes(ejection, 0, 3);
    const end = ejection.ejectedUntil;
    ejection.succeeded(end);
    expect(failTimes(ejection, end, 3)).to.deep.equal([false, false, true]);
  });

  it('is not prolonged by requests that were in flight at its start', () => {
    const ejection = new OutlierEjection();
    failTimes(ejection, 0, 3);
    const end = ejection.ejectedUntil;
    failTimes(ejection, 1, 5);
    expect(ejection.ejectedUntil).to.equal(end);
    expect(failTimes(ejection, end, 1)).to.deep.equal([true]);
  });

  it('excludes at most half of the upstreams', () => {
    const ejection = new OutlierEjection();
    const results = Array.from({ length: 5 }, () => ejection.failed(0, UPSTREAMS / 2, UPSTREAMS));
    expect(results).to.not.include(true);
  });
});
