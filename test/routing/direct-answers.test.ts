import { expect } from 'chai';
import { DirectAnswers } from '../../src/routing/paths/direct-answers.js';
import type { UpstreamState } from '../../src/routing/upstream/upstream-state.js';

const [one, two] = [{ id: 'one' }, { id: 'two' }] as unknown as readonly [UpstreamState, UpstreamState];

describe('DirectAnswers', () => {
  it('counts answers of others alone', () => {
    const answers = new DirectAnswers();
    expect(answers.hasHeardOthers(one, 0)).to.equal(false);
    answers.record(one, 10);
    expect(answers.hasHeardOthers(one, 0)).to.equal(false);
    expect(answers.hasHeardOthers(two, 0)).to.equal(true);
  });

  it('counts those since a time, however many of the upstream itself came later', () => {
    const answers = new DirectAnswers();
    answers.record(two, 10);
    answers.record(one, 20);
    answers.record(one, 30);
    expect(answers.hasHeardOthers(one, 10)).to.equal(true);
    expect(answers.hasHeardOthers(one, 11)).to.equal(false);
  });
});
