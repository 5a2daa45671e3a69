/** Moves of keys under loads with changing hot keys, and the share of requests in time. The bounds state what moves must achieve. */
import { expect } from 'chai';
import { MAX_KEY, spanLength } from '../../src/model/key-range.js';
import { heatAgeMillis, MAX_HEAT_MILLIS, remainingMillis } from '../../src/placement/ranges/heat-age.js';
import { KeyLoads } from '../../src/placement/ranges/key-loads.js';
import { MoveEstimator } from '../../src/placement/ranges/move-estimator.js';
import { worthOf } from '../../src/placement/ranges/move-worth.js';
import { divideSpan, EVEN_GOAL, planMoves, RELIEF_GOAL } from '../../src/placement/ranges/range-planner.js';
import { type KeysLoad, type KeysOutcome, type MoveMode, MovingKeysModel } from './moving-keys-model.js';

const SEEDS = [1, 2, 3];
/** Random difference of two shares over the requests of one run. */
const RANDOM_DIFFERENCE = 0.005;
/** Maximum share of requests that weighing may cost where a handover makes moves cheap: one of a hundred. */
const MAX_WEIGHING_LOSS = 0.01;

/** Adjacent hot keys that change every `everyMillis`. */
function changingHotKeys(count: number, everyMillis: number): KeysLoad['hotKeys'] {
  return (now) => ({ from: (Math.floor(now / everyMillis) * 9973) % 60_000, count });
}

/** 120 owners of 4 slots at less than half of their capacity; a fifth of the load goes to 60 hot keys. */
const LOAD: KeysLoad = {
  seed: 1,
  owners: 120,
  slots: 4,
  speeds: [1],
  workMillis: 260,
  targetMillis: 820,
  perSecond: 855,
  hotShare: 0.2,
  hotKeys: changingHotKeys(60, 5000),
  seconds: 20,
  unownedMillis: 400,
  slowMillis: 5000,
  slowFactor: 5.2,
  handsOver: true,
};

/** Returns the mean outcome over the seeds. */
function meanOutcome(
  part: Partial<KeysLoad>,
  mode: MoveMode,
): Pick<KeysOutcome, 'inTime' | 'othersInTime' | 'moves'> {
  const outcomes = SEEDS.map((seed) => new MovingKeysModel({ ...LOAD, ...part, seed }, mode).run());
  const mean = (read: (outcome: KeysOutcome) => number): number =>
    outcomes.reduce((sum, outcome) => sum + read(outcome), 0) / outcomes.length;
  return {
    inTime: mean(({ inTime }) => inTime),
    othersInTime: mean(({ othersInTime }) => othersInTime),
    moves: mean(({ moves }) => moves),
  };
}

const LOADS: Readonly<Record<string, Partial<KeysLoad>>> = {
  '60 hot keys that change every 5 s': {},
  '200 hot keys that change every 5 s': { hotKeys: changingHotKeys(200, 5000) },
  '200 hot keys that change every second': { hotKeys: changingHotKeys(200, 1000) },
  '200 changing hot keys among owners of speed 0.7 to 1.7': {
    hotKeys: changingHotKeys(200, 5000),
    speeds: [0.7, 0.7, 1.7],
  },
  'owners of speed 0.5 to 1.7': { hotShare: 0, speeds: [0.5, 0.8, 1.2, 1.7] },
  'one oversized key': { hotShare: 0.05, hotKeys: () => ({ from: 5000, count: 1 }) },
  'one oversized key among owners of speed 0.5 to 1.7': {
    hotShare: 0.05,
    hotKeys: () => ({ from: 5000, count: 1 }),
    speeds: [0.5, 1, 1.7],
  },
  'owners that are temporarily slower': {
    hotShare: 0,
    perSecond: 600,
    noise: { share: 0.2, factor: 3, everyMillis: 400 },
  },
};

describe('weighed moves of keys', () => {
  for (const [name, part] of Object.entries(LOADS)) {
    it(`cost callers nothing without handover: ${name}`, () => {
      const without = { ...part, handsOver: false };
      const none = meanOutcome(without, 'none');
      const weighed = meanOutcome(without, 'weighed');
      expect(weighed.inTime).to.be.at.least(none.inTime - RANDOM_DIFFERENCE);
      expect(weighed.inTime).to.be.at.least(meanOutcome(without, 'unweighed').inTime - RANDOM_DIFFERENCE);
    });

    it(`help as much as unweighed moves with handover: ${name}`, () => {
      const weighed = meanOutcome(part, 'weighed');
      expect(weighed.inTime).to.be.at.least(meanOutcome(part, 'none').inTime - RANDOM_DIFFERENCE);
      expect(weighed.inTime).to.be.at.least(meanOutcome(part, 'unweighed').inTime - MAX_WEIGHING_LOSS);
    });
  }

  it('spread adjacent hot keys among owners with spare capacity', () => {
    expect(meanOutcome({}, 'weighed').inTime).to.be.at.least(0.9);
  });

  it('do not react to temporarily slower owners', () => {
    const calm = { hotShare: 0, perSecond: 840, handsOver: false };
    const noise = { share: 0.2, factor: 3, everyMillis: 400 };
    const noisy = meanOutcome({ ...calm, perSecond: 600, noise }, 'weighed');
    // At most one owner in ten may be taken for permanently slower; reacting to each slow period would move keys in every half second.
    expect(noisy.moves).to.be.at.most(LOAD.owners / 10);
    expect(meanOutcome(calm, 'weighed').moves).to.be.at.most(LOAD.owners / 10);
  });

  it('move an oversized key at most once', () => {
    for (const handsOver of [true, false]) {
      for (const seed of SEEDS) {
        const part = { hotShare: 0.05, hotKeys: () => ({ from: 5000, count: 1 }), speeds: [0.5, 1, 1.7] };
        const { movesOfKey } = new MovingKeysModel({ ...LOAD, ...part, handsOver, seed }, 'weighed').run();
        expect(movesOfKey.get(5000) ?? 0).to.be.at.most(1);
      }
    }
  });

  it('never move an oversized key to a slightly faster server', () => {
    const part = { hotShare: 0.05, hotKeys: () => ({ from: 5000, count: 1 }), speeds: [1, 1.25] };
    const { movesOfKey } = new MovingKeysModel({ ...LOAD, ...part }, 'weighed').run();
    expect(movesOfKey.has(5000)).to.equal(false);
  });

  it('keep the other requests of its owner in time', () => {
    const part = { hotShare: 0.05, hotKeys: () => ({ from: 5000, count: 1 }) };
    expect(meanOutcome(part, 'weighed').othersInTime).to.be.at.least(0.99);
  });

  it('cost callers more than no moves if they are weighed with a cost of 0 (sabotage)', () => {
    const part = { handsOver: false };
    const none = meanOutcome(part, 'none');
    const free = meanOutcome(part, 'free');
    expect(free.inTime).to.be.below(none.inTime - RANDOM_DIFFERENCE);
  });
});

describe('unweighed moves of keys', () => {
  it('are unaffected by weighing where speeds are equal', () => {
    const list = Array.from({ length: 6 }, (_, index) => ({
      upstream: `u${index}`,
      slots: 2 + (index % 2),
      speed: 1,
    }));
    const ranges = divideSpan({ from: 0, to: MAX_KEY }, list).map(({ from, to, target }) => ({
      service: 'menu',
      from,
      to,
      owner: target,
      fence: 1,
      former: null,
      revision: 1,
    }));
    const loads = new KeyLoads();
    for (let now = 0; now < 60_000; now += 1000) {
      for (let key = 1000; key < 1200; key += 1) {
        loads.add(key, 15, now);
      }
      loads.add(30_000, 1900, now);
      for (let key = 30_001; key < 30_050; key += 1) {
        loads.add(key, 12, now);
      }
    }
    expect(planMoves(ranges, loads, list, EVEN_GOAL)).to.deep.equal([
      { from: 1000, to: 1060, target: 'u1' },
      { from: 30_000, to: 30_000, target: 'u1' },
      { from: 1061, to: 1101, target: 'u4' },
      { from: 1102, to: 1135, target: 'u5' },
      { from: 1136, to: 1143, target: 'u3' },
    ]);
    expect(planMoves(ranges, loads, list, RELIEF_GOAL)).to.deep.equal([
      { from: 1000, to: 1073, target: 'u1' },
      { from: 30_000, to: 30_000, target: 'u1' },
      { from: 1074, to: 1119, target: 'u4' },
    ]);
  });
});

describe('the first division of keys', () => {
  it('is proportional to slots and speeds, and to slots alone while no speed is known', () => {
    const divided = (speeds: readonly number[]): number[] =>
      divideSpan(
        { from: 0, to: MAX_KEY },
        speeds.map((speed, index) => ({ upstream: `u${index}`, slots: 2, speed })),
      ).map(spanLength);
    expect(divided([0.5, 1, 0.5])).to.deep.equal([16_384, 32_768, 16_384]);
    expect(divided([1, 1])).to.deep.equal([32_768, 32_768]);
  });

  it('keeps requests in time from the start where speeds are known', () => {
    const part = { hotShare: 0, speeds: [0.5, 0.8, 1.2, 1.7], handsOver: false };
    const known = meanOutcome({ ...part, speedsKnown: true }, 'weighed');
    expect(known.inTime).to.be.at.least(0.99);
  });
});

describe('cost and gain of a move', () => {
  const busy = { upstream: 'busy', slots: 4, speed: 1 };
  const idle = { upstream: 'idle', slots: 4, speed: 1 };
  const move = { from: busy, fromLoad: 5000, to: idle, toLoad: 800, load: 1500, remainingMillis: 1000 };
  const terms = { slowMillis: 5000, unownedMillis: 400, workMillis: 260 };

  it('are a net gain for a second of overload with handover, and a net loss without', () => {
    const warm = worthOf(move, { ...terms, handoverShare: 1 });
    const cold = worthOf(move, { ...terms, handoverShare: 0 });
    expect(warm.gainMillis).to.be.above(warm.costMillis);
    expect(cold.gainMillis).to.be.below(cold.costMillis);
  });

  it('grow with the expected duration of the load in the gain, but not in the cost', () => {
    const short = worthOf(move, { ...terms, handoverShare: 0 });
    const long = worthOf({ ...move, remainingMillis: 8000 }, { ...terms, handoverShare: 0 });
    expect(long.gainMillis).to.be.closeTo(8 * short.gainMillis, 1e-6);
    expect(long.costMillis).to.equal(short.costMillis);
  });

  it('include a gain where a slow owner gives keys to an equally busy fast one', () => {
    const slow = { ...busy, speed: 0.5 };
    const fast = { ...idle, speed: 1.7 };
    const sides = { from: slow, fromLoad: 1000, to: fast, toLoad: 3400, load: 300, remainingMillis: 8000 };
    const { gainMillis } = worthOf(sides, { ...terms, handoverShare: 1 });
    expect(gainMillis).to.be.above(0);
  });
});

describe('heat age', () => {
  const halfLives = { recentMillis: 700, steadyMillis: 3000 };

  it('is estimated from two averages of a load that began as a step', () => {
    const steady = new KeyLoads(halfLives.steadyMillis);
    const recent = new KeyLoads(halfLives.recentMillis);
    for (let now = 0; now <= 24_000; now += 100) {
      const millis = now > 20_000 ? 100 : 0;
      for (const loads of [steady, recent]) {
        loads.add(1, 1, now);
        loads.add(2, millis, now);
      }
    }
    const seen = { recent: recent.loadOf(2), steady: steady.loadOf(2) };
    expect(heatAgeMillis(seen, halfLives)).to.be.within(3000, 5000);
  });

  it('is bounded, and so is the expected remaining time', () => {
    expect(heatAgeMillis({ recent: 1, steady: 1 }, halfLives)).to.equal(MAX_HEAT_MILLIS);
    expect(remainingMillis(10 * MAX_HEAT_MILLIS)).to.equal(MAX_HEAT_MILLIS);
    expect(heatAgeMillis({ recent: 0, steady: 1 }, halfLives)).to.equal(0);
  });
});

describe('move estimator', () => {
  it('estimates how long keys have no owner, and the share of handovers', () => {
    const evidence = new MoveEstimator();
    for (let moves = 0; moves < 50; moves += 1) {
      evidence.recordMove(900, false);
    }
    expect(evidence.estimate.unownedMillis).to.be.within(850, 900);
    expect(evidence.estimate.handoverShare).to.be.below(0.05);
  });
});
