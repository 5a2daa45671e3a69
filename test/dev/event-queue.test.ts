import { expect } from 'chai';
import { EventQueue } from '../../src/dev/virtual/event-queue.js';
import { RandomSource, ZipfDistribution } from '../../src/dev/virtual/random-source.js';

describe('event queue', () => {
  it('runs actions by time, then by order of scheduling, and keeps later ones', () => {
    const queue = new EventQueue();
    const random = new RandomSource(1);
    const seen: number[] = [];
    const times = Array.from({ length: 200 }, () => random.below(50));
    for (const time of times) {
      queue.at(time, () => seen.push(time));
    }
    queue.at(60, () => seen.push(60));
    queue.runUntil(55);
    expect(seen).to.deep.equal([...times].sort((left, right) => left - right));
    expect(queue.now).to.equal(55);
  });

  it('skips cancelled actions, and stops when the condition is met', () => {
    const queue = new EventQueue();
    const seen: number[] = [];
    const cancel = queue.at(1, () => seen.push(1));
    for (const time of [2, 3, 4]) {
      queue.at(time, () => seen.push(time));
    }
    cancel();
    queue.runUntil(10, () => seen.length === 2);
    expect(seen).to.deep.equal([2, 3]);
    expect(queue.now).to.equal(3);
  });
});

describe('zipf distribution', () => {
  it('draws the first rank with its probability', () => {
    const zipf = new ZipfDistribution(100, 1);
    const random = new RandomSource(7);
    const draws = Array.from({ length: 20_000 }, () => zipf.draw(random));
    const first = draws.filter((rank) => rank === 0).length / draws.length;
    expect(first).to.be.closeTo(zipf.firstShare(), 0.02);
  });
});
