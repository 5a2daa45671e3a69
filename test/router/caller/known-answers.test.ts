/** Which answers are expected to be read whole, by what came lately. */
import { expect } from 'chai';
import { answerPlaceOf, KnownAnswers } from '../../../src/router/caller/known-answers.js';

const MINUTES = 60_000;
const PLACE = answerPlaceOf('a.example', '/reads/1');

describe('known answers', () => {
  it('are those of a host and the first part of a path', () => {
    expect(answerPlaceOf('a.example', '/reads?page=2')).to.equal(PLACE);
    expect(answerPlaceOf('a.example', '/files/reads')).not.to.equal(PLACE);
    expect(answerPlaceOf('b.example', '/reads/1')).not.to.equal(PLACE);
  });

  it('count as large until one was read whole', () => {
    const known = new KnownAnswers();
    expect(known.isSmall(PLACE, 0)).to.equal(false);
    known.recordWhole(PLACE, 0);
    expect(known.isSmall(PLACE, 0)).to.equal(true);
  });

  it('count as large for minutes after one was streamed, whatever is read whole meanwhile', () => {
    const known = new KnownAnswers();
    known.recordWhole(PLACE, 0);
    known.recordStreamed(PLACE, 0);
    known.recordWhole(PLACE, MINUTES);
    expect(known.isSmall(PLACE, 2 * MINUTES)).to.equal(false);
    known.recordWhole(PLACE, 10 * MINUTES);
    expect(known.isSmall(PLACE, 10 * MINUTES)).to.equal(true);
  });

  it('are forgotten where least was asked lately, beyond a bound', () => {
    const known = new KnownAnswers();
    known.recordWhole(PLACE, 0);
    known.recordWhole('other', 0);
    for (let index = 0; index < 999; index += 1) {
      known.recordWhole(`place-${index}`, 0);
      known.recordWhole(PLACE, 0);
    }
    expect([known.isSmall(PLACE, 0), known.isSmall('other', 0)]).to.deep.equal([true, false]);
  });
});
