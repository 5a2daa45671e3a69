/** When snapshots are taken, and how they leave room for other work. */
import { expect } from 'chai';
import type { RaftAdapter } from '../../src/control/raft-adapter.js';
import { SnapshotTaker } from '../../src/control/snapshot-taker.js';

const SLICES = 4;
const DATA = new Uint8Array([1]);

/** A registry whose snapshots take `SLICES` slices, and what Raft was fed. */
class World {
  revision = 0;
  recordCount = 0;
  readonly fed: { readonly lastIndex: number }[] = [];
  readonly taker: SnapshotTaker;

  constructor(snapshotEntries: number, snapshotIndex = 0) {
    this.revision = snapshotIndex;
    const world = this;
    const raft = {
      get registry() {
        return {
          revision: world.revision,
          recordCount: world.recordCount,
          beginEncode: () => world.#encoder(),
        };
      },
      feed: (input: { readonly lastIndex: number }) => world.fed.push(input),
    } as unknown as RaftAdapter;
    this.taker = new SnapshotTaker({ raft, snapshotEntries, snapshotIndex });
  }

  /** Runs from deadline to deadline; gives the times at which a slice was due. */
  runOut(now: number): number[] {
    const times: number[] = [];
    for (let at = now; at < Number.POSITIVE_INFINITY; at = this.taker.nextDeadline()) {
      times.push(at);
      this.taker.run(at);
    }
    return times;
  }

  #encoder() {
    let left = SLICES;
    return {
      revision: this.revision,
      step: () => {
        left -= 1;
        return left === 0 ? DATA : null;
      },
    };
  }
}

describe('snapshot taker', () => {
  it('takes one each so many entries, in slices with pauses between', () => {
    const world = new World(100, 50);
    world.revision = 149;
    expect(world.runOut(0)).to.deep.equal([0]);
    world.revision = 150;
    expect(world.runOut(1000)).to.deep.equal([1000, 1005, 1010, 1015]);
    expect(world.fed).to.deep.equal([{ type: 'snapshot-taken', lastIndex: 150, data: DATA }]);
    world.revision = 249;
    world.runOut(2000);
    expect(world.fed).to.have.length(1);
  });

  it('writes no slice before its time', () => {
    const world = new World(1);
    world.revision = 1;
    for (let now = 0; now < 15; now += 1) {
      world.taker.run(now);
    }
    expect(world.fed).to.have.length(0);
    world.taker.run(15);
    expect(world.fed).to.have.length(1);
  });

  it('takes them less often while the state is large', () => {
    const world = new World(100);
    world.recordCount = 4000;
    world.revision = 999;
    world.runOut(0);
    expect(world.fed).to.have.length(0);
    world.revision = 1000;
    world.runOut(0);
    expect(world.fed).to.have.length(1);
  });

  it('answers a request once the snapshot is taken, at once if there is nothing new', () => {
    const world = new World(100);
    world.revision = 5;
    const taken: string[] = [];
    world.taker.request(0, () => taken.push('first'));
    world.taker.run(0);
    world.revision = 6;
    world.taker.request(1, () => taken.push('second'));
    expect(taken).to.deep.equal([]);
    world.runOut(5);
    expect(taken).to.deep.equal(['first', 'second']);
    expect(world.fed.map(({ lastIndex }) => lastIndex)).to.deep.equal([5]);
    world.revision = 5;
    world.taker.request(100, () => taken.push('third'));
    expect(taken).to.deep.equal(['first', 'second', 'third']);
  });

  it('gives up when the state is replaced by that of the leader', () => {
    const world = new World(100);
    world.revision = 120;
    const taken: string[] = [];
    world.taker.request(0, () => taken.push('asked'));
    world.taker.run(0);
    world.revision = 500;
    world.taker.restored();
    expect(world.runOut(5)).to.deep.equal([5]);
    expect(world.fed).to.deep.equal([]);
    expect(taken).to.deep.equal(['asked']);
  });
});
