import { expect } from 'chai';
import { OutlierEjection } from '../../src/routing/upstream/outlier-ejection.js';

const UPSTREAMS = 4;
const NONE_EJECTED = 0;

function failTimes(ejection: OutlierEjection, now: number, times: number): boolean[] {
  return Array.from({ length: times }, () => ejection.failed(now, NONE_EJECTED, UPSTREAMS));
}

describe('ejection of an upstream whose requests fail', () => {
  it('takes three failures in a row', () => {
    const ejection = new OutlierEjection();
    expect(failTimes(ejection, 0, 3)).to.deep.equal([false, false, true]);
    expect(ejection.isEjected(0)).to.equal(true);
  });

  it('takes one failure if nothing succeeded since the ejection before, and lasts twice as long', () => {
    const ejection = new OutlierEjection();
    failTimes(ejection, 0, 3);
    const back = ejection.ejectedUntil;
    expect(failTimes(ejection, back, 1)).to.deep.equal([true]);
    expect(ejection.ejectedUntil - back).to.equal(2 * back);
  });

  it('takes three again after a success', () => {
    const ejection = new OutlierEjection();
    failTimes(ejection, 0, 3);
    const back = ejection.ejectedUntil;
    ejection.succeeded(back);
    expect(failTimes(ejection, back, 3)).to.deep.equal([false, false, true]);
  });

  it('is not prolonged by requests that were under way when it began', () => {
    const ejection = new OutlierEjection();
    failTimes(ejection, 0, 3);
    const until = ejection.ejectedUntil;
    failTimes(ejection, 1, 5);
    expect(ejection.ejectedUntil).to.equal(until);
    expect(failTimes(ejection, until, 1)).to.deep.equal([true]);
  });

  it('leaves half of the upstreams in', () => {
    const ejection = new OutlierEjection();
    const results = Array.from({ length: 5 }, () => ejection.failed(0, UPSTREAMS / 2, UPSTREAMS));
    expect(results).to.not.include(true);
  });
});
