/**
 * Guards against large answers that are requested faster than a router's link carries them: short urgent ones must not wait behind them,
 * the link must not idle, and callers that can't be served in time must be refused at once.
 */
import { expect } from 'chai';
import { AnswerSizes } from '../../src/routing/capacity/answer-sizes.js';
import { LinkPacer } from '../../src/routing/capacity/link-pacer.js';
import { LinkWidth } from '../../src/routing/capacity/link-width.js';
import { type LinkLoad, LinkWorld } from './link-load.js';

const WIDTH_MEGABITS = 4.2;
const WIDTH_BYTES_PER_MILLI = WIDTH_MEGABITS * 125;
const LARGE_BYTES = 90_000;
const LARGE_MILLIS = LARGE_BYTES / WIDTH_BYTES_PER_MILLI;
const SECONDS = 20;
const SEEDS = [1, 2, 3];
/** How far callers of short answers may be worse off than without large ones. */
const TOLERANCE = 0.03;

const LOAD: LinkLoad = {
  seed: 1,
  millis: SECONDS * 1000,
  configuredMegabits: WIDTH_MEGABITS,
  megabitsAt: () => WIDTH_MEGABITS,
  shortPerSecond: 17,
  largePerSecond: 7,
};

describe('a link that large answers would fill', () => {
  for (const seed of SEEDS) {
    const world = new LinkWorld({ ...LOAD, seed }).run();

    it(`keeps short urgent answers in time (seed ${seed})`, () => {
      expect(world.inTime(false)).to.be.at.least(1 - TOLERANCE);
    });

    it(`carries large answers meanwhile (seed ${seed})`, () => {
      const possible = (SECONDS * 1000) / LARGE_MILLIS;
      expect(world.largeServed()).to.be.at.least(0.8 * possible);
    });

    it(`refuses requests that can't be answered in time at once, with a retry delay (seed ${seed})`, () => {
      const refused = world.refused();
      expect(refused.length).to.be.above(0);
      for (const { sentAt, endedAt, retryAfterMillis } of refused) {
        expect(endedAt - sentAt).to.be.below(1);
        expect(retryAfterMillis).to.be.above(0);
      }
    });

    it(`serves admitted large answers in time (seed ${seed})`, () => {
      const served = world.outcomes.filter(({ isLarge, doneAt }) => isLarge && doneAt !== null);
      const late = served.filter(({ doneAt, sentAt }) => (doneAt ?? 0) - sentAt > 2500);
      expect(late.length).to.be.at.most(served.length * TOLERANCE);
    });
  }

  it('makes short answers late if its width is not configured', () => {
    const world = new LinkWorld({ ...LOAD, configuredMegabits: null }).run();
    expect(world.inTime(false)).to.be.below(0.5);
  });

  it('that narrows keeps short answers in time once large ones have revealed it', () => {
    const megabitsAt = (millis: number): number => (millis > 5000 && millis < 12_000 ? 1.5 : WIDTH_MEGABITS);
    for (const seed of SEEDS) {
      const world = new LinkWorld({ ...LOAD, seed, megabitsAt, largePerSecond: 4 }).run();
      // Large answers that were started for the wider link are carried first.
      expect(world.inTime(false, 9000, 12_000), `seed ${seed}`).to.be.at.least(0.9);
      expect(world.inTime(false, 16_000, 20_000), `seed ${seed}`).to.be.at.least(1 - TOLERANCE);
    }
  });

  it('carries all large answers if they fit', () => {
    const world = new LinkWorld({ ...LOAD, largePerSecond: 2 }).run();
    expect(world.refused()).to.have.length(0);
    expect(world.inTime(true)).to.be.at.least(1 - TOLERANCE);
  });
});

describe('a link that is not filled', () => {
  it('has no effect on answers that are short for it', () => {
    const short: LinkLoad = { ...LOAD, largeBytes: 2000, millis: 5000 };
    const withLimit = new LinkWorld(short).run();
    const withoutLimit = new LinkWorld({ ...short, configuredMegabits: null }).run();
    expect(withLimit.outcomes).to.deep.equal(withoutLimit.outcomes);
  });
});

describe('width of a link', () => {
  it('is the configured width while no large answer was received', () => {
    expect(new LinkWidth(500).bytesPerMilli(0)).to.equal(500);
  });

  it('is that of the fastest recent arrival, and at most the configured width', () => {
    const width = new LinkWidth(500);
    width.addSample(90_000, 600, 0);
    expect(width.bytesPerMilli(0)).to.equal(500);
    width.addSample(90_000, 600, 100);
    expect(width.bytesPerMilli(100)).to.equal(150);
    width.addSample(90_000, 300, 300);
    expect(width.bytesPerMilli(300)).to.equal(300);
    width.addSample(90_000, 600, 900);
    expect(width.bytesPerMilli(900)).to.equal(300);
    width.addSample(90_000, 600, 1400);
    expect(width.bytesPerMilli(1400)).to.equal(150);
    width.addSample(90_000, 10, 1500);
    expect(width.bytesPerMilli(1500)).to.equal(500);
  });

  it('is kept for a limited time while there are too few answers for an estimate', () => {
    const width = new LinkWidth(500);
    width.addSample(90_000, 600, 0);
    width.addSample(90_000, 600, 600);
    width.addSample(90_000, 900, 2000);
    expect(width.bytesPerMilli(2500)).to.equal(150);
    expect(width.bytesPerMilli(2600)).to.equal(500);
  });

  it('is at least a quarter of the configured width, so that slow upstreams do not stop large answers', () => {
    const width = new LinkWidth(500);
    width.addSample(90_000, 60_000, 0);
    width.addSample(90_000, 60_000, 0);
    expect(width.bytesPerMilli(0)).to.equal(125);
  });
});

describe('pacing of a link', () => {
  it('follows the rate at which the link carries large answers', () => {
    const pacer = new LinkPacer(500);
    expect(pacer.waitMillis(0, 0)).to.equal(0);
    pacer.onStart(90_000, 0);
    expect(pacer.waitMillis(0, 0)).to.be.closeTo(50, 1);
    expect(pacer.waitMillis(90_000, 0)).to.be.closeTo(250, 1);
    expect(pacer.waitMillis(0, 100)).to.equal(0);
  });

  it('is corrected for an answer that was smaller or failed', () => {
    const pacer = new LinkPacer(500);
    pacer.onStart(90_000, 0);
    pacer.onFailure(pacer.onStart(90_000, 0), 0);
    expect(pacer.waitMillis(0, 0)).to.be.closeTo(50, 1);
  });

  it('subtracts the traffic of short answers, and leaves at least a tenth', () => {
    const pacer = new LinkPacer(500);
    pacer.onShortAnswer(200_000, 0);
    pacer.onStart(90_000, 0);
    expect(pacer.waitMillis(0, 0)).to.be.closeTo(90_000 / 250 - 150, 1);
    pacer.onShortAnswer(10_000_000, 0);
    expect(pacer.waitMillis(90_000, 0)).to.be.closeTo(360 + 90_000 / 50 - 150, 1);
  });
});

describe('sizes of answers', () => {
  it('are smoothed for each route, and are kept for the routes that answered last', () => {
    const sizes = new AnswerSizes();
    expect(sizes.expected('files')).to.equal(0);
    sizes.add('files', 1000);
    sizes.add('files', 2000);
    expect(sizes.expected('files')).to.equal(1100);
    for (let route = 0; route < 1000; route += 1) {
      sizes.add(`other-${route}`, 1);
    }
    expect(sizes.expected('files')).to.equal(0);
    expect(sizes.expected('other-0')).to.equal(1);
  });
});
