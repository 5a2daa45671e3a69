/** Keys of an owner that reports a rate limit or requests back-off. */
import { expect } from 'chai';
import { UpstreamBackoffs } from '../../src/control/constraints/upstream-backoffs.js';
import { formatShardId } from '../../src/model/identifiers.js';
import { MAX_KEY, RANGE_KEYSPACE } from '../../src/model/key-range.js';
import { RangeWorld, SERVICE } from './range-world.js';

const OWNERS = 6;
const ROUTERS = 10;
const WORK_MILLIS = 60;
/** Evenly spaced keys, each with `PER_KEY` requests per second. */
const KEY_COUNT = 240;
const PER_KEY = 0.5;
const REPORT_MILLIS = 500;
const LIMIT = 4;

class LimitedOwners {
  readonly world = new RangeWorld();

  constructor() {
    this.world.elect();
    for (let number = 1; number <= OWNERS; number += 1) {
      this.world.addHolder(`u${number}`);
    }
    this.world.run(4000);
    this.run(6000);
  }

  run(millis: number): void {
    for (let passed = 0; passed < millis; passed += REPORT_MILLIS) {
      this.world.run(REPORT_MILLIS);
      this.world.report({ type: 'load-report', intervalMillis: REPORT_MILLIS, shards: this.#loads() });
    }
  }

  /** Requests per second for the keys of an owner. */
  demandOf(owner: string): number {
    return this.#keys().filter((key) => this.world.servedBy(key) === owner).length * PER_KEY;
  }

  moves(): number {
    return this.world.calls.filter(({ kind }) => kind === 'release').length;
  }

  #keys(): number[] {
    return Array.from({ length: KEY_COUNT }, (_, index) => Math.floor((index * MAX_KEY) / KEY_COUNT));
  }

  #loads() {
    const requests = (PER_KEY * REPORT_MILLIS) / 1000;
    return this.#keys().map((number) => ({
      shard: formatShardId({ service: SERVICE, keyspace: RANGE_KEYSPACE, generation: 0, number }),
      workMillis: requests * WORK_MILLIS,
      requests,
    }));
  }
}

describe('an owner with a limit', () => {
  it('keeps keys for about its limit within seconds, and the others own the rest', () => {
    const owners = new LimitedOwners();
    expect(owners.demandOf('u1')).to.be.above(2 * LIMIT);
    owners.world.capacityLimits.set('u1', { perSecond: LIMIT });
    owners.run(4000);
    expect(owners.demandOf('u1')).to.be.at.most(1.5 * LIMIT);
    expect(owners.world.servedShare()).to.equal(1);
  });

  it('receives no keys of draining owners', () => {
    const owners = new LimitedOwners();
    owners.world.capacityLimits.set('u1', { perSecond: LIMIT });
    owners.run(6000);
    const before = owners.demandOf('u1');
    const drained = owners.world.holders.get('u2');
    if (drained !== undefined) {
      drained.leaving = true;
      owners.world.announce(drained);
    }
    owners.run(4000);
    expect(owners.demandOf('u2')).to.equal(0);
    expect(owners.demandOf('u1')).to.be.at.most(before);
  });

  it('keeps the same keys while its limit is constant', () => {
    const owners = new LimitedOwners();
    owners.world.capacityLimits.set('u1', { perSecond: LIMIT });
    owners.run(6000);
    const before = owners.moves();
    owners.run(6000);
    expect(owners.moves() - before).to.be.at.most(2);
  });

  it('still owns keys if all owners have a limit, and all keys have an owner', () => {
    const owners = new LimitedOwners();
    for (let number = 1; number <= OWNERS; number += 1) {
      owners.world.capacityLimits.set(`u${number}`, { perSecond: LIMIT });
    }
    owners.run(4000);
    expect(owners.world.servedShare()).to.equal(1);
  });
});

describe('an owner that rejects requests and requests back-off', () => {
  it('loses keys in demand once half of the routers report it, and regains some later', () => {
    const owners = new LimitedOwners();
    const backoffs = new UpstreamBackoffs();
    const share = (): number => backoffs.capacityShares(ROUTERS).get('u1') ?? 1;
    const before = owners.demandOf('u1');
    backoffs.recordBackoff('u1', 'c1', 3000, owners.world.now);
    owners.world.capacityLimits.set('u1', { share: share() });
    owners.run(2000);
    expect(owners.demandOf('u1'), 'one of many routers').to.be.above(before * 0.75);
    for (let router = 1; router <= ROUTERS / 2; router += 1) {
      backoffs.recordBackoff('u1', `c${router}`, 3000, owners.world.now);
    }
    owners.world.capacityLimits.set('u1', { share: share() });
    owners.run(4000);
    expect(owners.demandOf('u1'), 'half of the routers').to.be.at.most(before * 0.2);
    expect(owners.world.servedShare()).to.equal(1);
    backoffs.removeExpired(owners.world.now + 10_000);
    expect(share()).to.equal(1);
    owners.world.capacityLimits.delete('u1');
    owners.run(8000);
    expect(owners.demandOf('u1'), 'after the back-offs').to.be.above(before * 0.3);
  });
});
