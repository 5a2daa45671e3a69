import { expect } from 'chai';
import { FaultSyntaxError, parseFaults } from '../../src/dev/fleet/fault-schedule.js';
import { NAMED_FAULTS } from '../../src/dev/fleet/named-faults.js';

describe('parseFaults', () => {
  it('parses type, target, time and duration, in order of time', () => {
    expect(parseFaults('freeze:menuboard-1@9+2.5,kill:leader@4', 20)).to.deep.equal([
      { type: 'kill', target: 'leader', at: 4, seconds: 3 },
      { type: 'freeze', target: 'menuboard-1', at: 9, seconds: 2.5 },
    ]);
  });

  it('parses zones', () => {
    const [cut, halfOpen] = parseFaults('cut:zone-a|zone-b@1+1,half-open:zone-a>zone-b@2+1', 20);
    expect(cut?.target).to.equal('zone-a|zone-b');
    expect(halfOpen?.target).to.equal('zone-a>zone-b');
  });

  it('spreads named faults over the load', () => {
    const times = parseFaults('kill-owner,kill-leader', 20).map(({ at }) => at);
    expect(times).to.deep.equal([4, 10]);
  });

  it('accepts each named fault', () => {
    for (const name of Object.keys(NAMED_FAULTS)) {
      expect(parseFaults(name, 20), name).to.have.length.above(0);
    }
  });

  for (const text of ['kill', 'kill:owner', 'kill:owner@x', 'melt:owner@4', 'kill:@4', 'kill:owner@4+']) {
    it(`rejects ${text}`, () => {
      expect(() => parseFaults(text, 20)).to.throw(FaultSyntaxError);
    });
  }
});
