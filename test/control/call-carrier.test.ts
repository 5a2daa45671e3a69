/** Covers when grants and releases are sent to the owners of ranges. */
import { expect } from 'chai';
import { CallCarrier } from '../../src/control/ranges/call-carrier.js';
import type { HolderCall, HolderOutcome } from '../../src/control/ranges/holder-call.js';
import { HolderTable } from '../../src/control/ranges/holder-table.js';
import type { PlannedCall } from '../../src/control/ranges/range-carrier.js';
import { RangeReleases } from '../../src/control/ranges/range-releases.js';
import type { KeyRange } from '../../src/model/key-range.js';
import type { UpstreamRecord } from '../../src/registry/types.js';

const TIMINGS = { holdMillis: 6000, renewMillis: 1000, lateMillis: 12_000, clockRateError: 0.02 };
/** Longest wait for the next batch of due renewals. */
const LONGEST_GAP_MILLIS = 20;
const ACCEPTED: HolderOutcome = { type: 'accepted', handover: null };

function rangeOf(from: number, to: number, owner: string | null, fence: number): KeyRange {
  const former = owner === null ? 'u1' : null;
  return { service: 'menu', from, to, owner, fence, former, revision: fence };
}

/** A carrier over ranges that a test replaces. */
class Bench {
  ranges: readonly KeyRange[];
  readonly releases = new RangeReleases();
  readonly #holders = new HolderTable(TIMINGS, 0);
  readonly carrier: CallCarrier;
  #nextId = 1;

  constructor(ranges: readonly KeyRange[]) {
    this.ranges = ranges;
    const parts = {
      ranges: () => this.ranges,
      record: (id: string) => ({ definition: { id, address: `${id}:80`, leaving: false } }) as UpstreamRecord,
      releases: this.releases,
      isLeaving: () => false,
      isBeingRevoked: () => false,
    };
    this.carrier = new CallCarrier(parts, this.#holders, TIMINGS, 0);
  }

  take(now: number): HolderCall[] {
    return this.carrier.dequeueCalls(now).map((wanted) => this.#begin(wanted, now));
  }

  end(call: HolderCall, outcome: HolderOutcome, now: number): void {
    this.#holders.ended(call, outcome, now);
    this.carrier.onCallEnd(call, outcome, now);
  }

  #begin(wanted: PlannedCall, now: number): HolderCall {
    const call = { ...wanted, id: this.#nextId };
    this.#nextId += 1;
    this.#holders.onCallSent(call, now);
    return call;
  }
}

function spansOf(calls: readonly HolderCall[]): string[] {
  return calls.map(({ kind, from, to }) => `${kind} ${from}-${to}`);
}

/** Ranges of ten keys, each with a different owner. */
function manyRanges(count: number): KeyRange[] {
  return Array.from({ length: count }, (_, place) =>
    rangeOf(place * 10, place * 10 + 9, `u${place}`, place + 1),
  );
}

describe('calls to the owners of ranges', () => {
  it('renew what is left of a cut range when the whole would have been, and grant the rest at once', () => {
    const bench = new Bench([rangeOf(0, 99, 'u1', 5)]);
    const [first] = bench.take(0) as [HolderCall];
    bench.end(first, ACCEPTED, 10);
    bench.ranges = [rangeOf(0, 39, 'u1', 5), rangeOf(40, 59, 'u2', 6), rangeOf(60, 99, 'u1', 5)];
    expect(spansOf(bench.take(100))).to.deep.equal(['grant 40-59']);
    expect(bench.carrier.nextCallAt()).to.equal(1010);
    expect(spansOf(bench.take(1010))).to.have.members(['grant 0-39', 'grant 60-99']);
  });

  it('grant the rest of a cut range at once if the whole had not been answered yet', () => {
    const bench = new Bench([rangeOf(0, 99, 'u1', 5)]);
    bench.take(0);
    bench.ranges = [rangeOf(0, 39, 'u1', 5), rangeOf(40, 99, 'u2', 6)];
    expect(spansOf(bench.take(1))).to.have.members(['grant 0-39', 'grant 40-99']);
  });

  it('begin a few renewals at a time, after first grants, and the rest soon', () => {
    const bench = new Bench(manyRanges(50));
    const due = 2000;
    const inherited = bench.take(due);
    expect(inherited.length).to.be.within(12, 30);
    for (const call of inherited) {
      bench.end(call, ACCEPTED, due);
    }
    bench.ranges = [...manyRanges(49), rangeOf(490, 499, 'u0', 99)];
    const next = bench.take(due);
    expect(spansOf(next)[0]).to.equal('grant 490-499');
    expect(next.length).to.be.at.most(20);
    expect(bench.carrier.nextCallAt()).to.be.within(due + 1, due + LONGEST_GAP_MILLIS);
  });

  it('begin no renewals more for each answer that comes, and the rest in their turn', () => {
    const bench = new Bench(manyRanges(50));
    const due = 2000;
    const begun = bench.take(due);
    for (const call of begun) {
      bench.end(call, ACCEPTED, due + 1);
      expect(bench.take(due + 1)).to.deep.equal([]);
    }
    for (let turn = 0; begun.length < 50 && turn < 5; turn += 1) {
      const next = bench.take(bench.carrier.nextCallAt());
      expect(next.length).to.be.within(1, 20);
      begun.push(...next);
    }
    expect(new Set(spansOf(begun)).size).to.equal(50);
    expect(bench.carrier.nextCallAt()).to.be.at.least(due + TIMINGS.renewMillis);
  });

  it('renew all ranges in time although few begin at a time', () => {
    const bench = new Bench(manyRanges(400));
    const renewedAt = new Map<number, number>();
    for (let now = 0; now < 5000; now += 1) {
      for (const call of now >= bench.carrier.nextCallAt() ? bench.take(now) : []) {
        const before = renewedAt.get(call.from) ?? now;
        expect(now - before).to.be.at.most(TIMINGS.renewMillis + 50);
        renewedAt.set(call.from, now);
        bench.end(call, ACCEPTED, now);
      }
    }
    expect(renewedAt.size).to.equal(400);
  });

  it('try an upstream that left a call unanswered by one call at a time, and all once it answers', () => {
    const bench = new Bench([rangeOf(0, 9, 'u1', 1), rangeOf(10, 19, 'u2', 2), rangeOf(20, 29, 'u1', 3)]);
    const silent = bench.take(0).filter(({ upstream }) => upstream === 'u1');
    for (const call of silent) {
      bench.end(call, { type: 'silent' }, 300);
    }
    const tries = [450, 600, 750]
      .flatMap((now) => bench.take(now))
      .filter(({ upstream }) => upstream === 'u1');
    expect(tries.length).to.equal(1);
    bench.end(tries[0] as HolderCall, ACCEPTED, 800);
    const after = [900, 1000].flatMap((now) => bench.take(now)).filter(({ upstream }) => upstream === 'u1');
    expect(after.length).to.equal(1);
    expect(after[0]?.from).not.to.equal(tries[0]?.from);
  });

  it('ask for no release of keys that the same upstream has got back since', () => {
    const bench = new Bench([rangeOf(0, 99, null, 5)]);
    bench.releases.piecesOf(bench.ranges[0] as KeyRange, 0, () => [{ from: 0, to: 99, target: 'u1' }]);
    bench.ranges = [rangeOf(0, 99, 'u1', 6)];
    expect(spansOf(bench.take(100))).to.deep.equal(['grant 0-99']);
  });

  it('ask again for a release that failed', () => {
    const bench = new Bench([rangeOf(0, 99, null, 5)]);
    bench.releases.piecesOf(bench.ranges[0] as KeyRange, 0, () => [{ from: 0, to: 99, target: 'u2' }]);
    const [release] = bench.take(bench.carrier.nextCallAt()) as [HolderCall];
    bench.end(release, { type: 'rejected', status: 500 }, 100);
    expect(bench.carrier.nextCallAt()).to.equal(250);
    expect(spansOf(bench.take(250))).to.deep.equal(['release 0-99']);
  });
});
