/** When snapshots are taken, and the pauses that they leave for other work. */
import { expect } from 'chai';
import type { RaftAdapter } from '../../src/control/raft-adapter.js';
import { SnapshotTaker } from '../../src/control/snapshot-taker.js';

const SLICES = 4;
const DATA = new Uint8Array([1]);

/** A registry whose snapshots take `SLICES` slices, and the inputs passed to Raft. */
class TakerHarness {
  revision = 0;
  recordCount = 0;
  appliedBytes = 0;
  readonly inputs: { readonly lastIndex: number }[] = [];
  readonly taker: SnapshotTaker;

  constructor(snapshotEntries: number, snapshotIndex = 0, snapshotBytes = Number.POSITIVE_INFINITY) {
    this.revision = snapshotIndex;
    const harness = this;
    const raft = {
      get registry() {
        return {
          revision: harness.revision,
          recordCount: harness.recordCount,
          beginEncode: () => harness.#encoder(),
        };
      },
      get appliedBytes() {
        return harness.appliedBytes;
      },
      feed: (input: { readonly lastIndex: number }) => harness.inputs.push(input),
    } as unknown as RaftAdapter;
    this.taker = new SnapshotTaker({ raft, snapshotEntries, snapshotBytes, snapshotIndex, previousBytes: 0 });
  }

  /** Runs from deadline to deadline; returns the times at which a slice was due. */
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
  it('takes one per number of entries, in slices with pauses in between', () => {
    const harness = new TakerHarness(100, 50);
    harness.revision = 149;
    expect(harness.runOut(0)).to.deep.equal([0]);
    harness.revision = 150;
    expect(harness.runOut(1000)).to.deep.equal([1000, 1005, 1010, 1015]);
    expect(harness.inputs).to.deep.equal([{ type: 'snapshot-taken', lastIndex: 150, data: DATA }]);
    harness.revision = 249;
    harness.runOut(2000);
    expect(harness.inputs).to.have.length(1);
  });

  it('encodes no slice before it is due', () => {
    const harness = new TakerHarness(1);
    harness.revision = 1;
    for (let now = 0; now < 15; now += 1) {
      harness.taker.run(now);
    }
    expect(harness.inputs).to.have.length(0);
    harness.taker.run(15);
    expect(harness.inputs).to.have.length(1);
  });

  it('takes them less often if the state is large', () => {
    const harness = new TakerHarness(100);
    harness.recordCount = 4000;
    harness.revision = 999;
    harness.runOut(0);
    expect(harness.inputs).to.have.length(0);
    harness.revision = 1000;
    harness.runOut(0);
    expect(harness.inputs).to.have.length(1);
  });

  it('takes one per bytes of entries, however few they are, so that a new replica has little to apply', () => {
    const harness = new TakerHarness(10_000, 0, 1000);
    harness.revision = 1;
    harness.appliedBytes = 999;
    harness.runOut(0);
    expect(harness.inputs).to.have.length(0);
    harness.revision = 2;
    harness.appliedBytes = 1000;
    harness.runOut(0);
    harness.revision = 3;
    harness.appliedBytes = 1999;
    harness.runOut(1000);
    expect(harness.inputs.map(({ lastIndex }) => lastIndex)).to.deep.equal([2]);
  });

  it('takes them after more bytes if the previous one was large', () => {
    const harness = new TakerHarness(10_000, 0, 1000);
    harness.taker.restored(1000);
    harness.revision = 1;
    harness.appliedBytes = 3999;
    harness.runOut(0);
    expect(harness.inputs).to.have.length(0);
    harness.appliedBytes = 4000;
    harness.runOut(0);
    expect(harness.inputs).to.have.length(1);
  });

  it('answers a request once the snapshot is taken, or at once if nothing changed', () => {
    const harness = new TakerHarness(100);
    harness.revision = 5;
    const taken: string[] = [];
    harness.taker.request(0, () => taken.push('first'));
    harness.taker.run(0);
    harness.revision = 6;
    harness.taker.request(1, () => taken.push('second'));
    expect(taken).to.deep.equal([]);
    harness.runOut(5);
    expect(taken).to.deep.equal(['first', 'second']);
    expect(harness.inputs.map(({ lastIndex }) => lastIndex)).to.deep.equal([5]);
    harness.revision = 5;
    harness.taker.request(100, () => taken.push('third'));
    expect(taken).to.deep.equal(['first', 'second', 'third']);
  });

  it('aborts when the state is replaced by that of the leader', () => {
    const harness = new TakerHarness(100);
    harness.revision = 120;
    const taken: string[] = [];
    harness.taker.request(0, () => taken.push('asked'));
    harness.taker.run(0);
    harness.revision = 500;
    harness.taker.restored(1);
    expect(harness.runOut(5)).to.deep.equal([5]);
    expect(harness.inputs).to.deep.equal([]);
    expect(taken).to.deep.equal(['asked']);
  });
});
