/** Which routers receive permits and when, and the responses to routers that receive none. */
import { expect } from 'chai';
import { PermitIssuer } from '../../src/control/constraints/permit-issuer.js';
import type { UpstreamPermits } from '../../src/control/messages.js';
import { PERMIT_SHARE } from '../../src/model/limit-shares.js';
import type { ReportedUpstream } from '../../src/model/upstream-notice.js';

const DEPOSED_MILLIS = 600;
/** The time from which a new leader issues permits. */
const READY = DEPOSED_MILLIS + 500;
const PER_SECOND = 5;
/** Permits per second. */
const RATE = PER_SECOND * PERMIT_SHARE;

function reportOf(changes: Partial<ReportedUpstream> = {}): ReportedUpstream {
  const limit = { perSecond: PER_SECOND, heardAgoMillis: 0 };
  return {
    upstream: 'u1',
    run: 'u1',
    limit,
    restMillis: 0,
    isLeaving: false,
    wanted: 1,
    rank: 1,
    patienceMillis: 10_000,
    ...changes,
  };
}

class IssuerWorld {
  readonly sent: { readonly to: string; readonly message: UpstreamPermits }[] = [];
  readonly records: Readonly<Record<string, unknown>>[] = [];
  readonly issuer = new PermitIssuer(
    {
      send: (to, message) => this.sent.push({ to, message }),
      log: (event, fields) => this.records.push({ event, ...fields }),
      deposedMillis: DEPOSED_MILLIS,
    },
    0,
  );

  report(router: string, upstream: ReportedUpstream, now: number): void {
    const message = { type: 'upstream-report', stamp: now, upstreams: [upstream] } as const;
    this.issuer.recordReport(message, { connection: router, router }, now);
    this.issuer.run(now);
  }

  run(from: number, to: number): void {
    for (let now = from; now <= to; now += 10) {
      this.issuer.run(now);
    }
  }

  grantedTo(router: string): number {
    return this.sent
      .filter(({ to }) => to === router)
      .flatMap(({ message }) => message.upstreams)
      .reduce((sum, { granted }) => sum + granted, 0);
  }

  last(router: string) {
    return this.sent.filter(({ to }) => to === router).at(-1)?.message.upstreams[0];
  }
}

describe('permits of the leader', () => {
  let world: IssuerWorld;

  beforeEach(() => {
    world = new IssuerWorld();
  });

  it('are issued at the rate of the limit, regardless of which routers request them and how often', () => {
    for (let now = READY; now < READY + 10_000; now += 10) {
      for (const router of ['r1', 'r2', 'r3']) {
        world.report(router, reportOf({ wanted: 5 }), now);
      }
    }
    const all = ['r1', 'r2', 'r3'].reduce((sum, router) => sum + world.grantedTo(router), 0);
    expect(all).to.be.within(RATE * 10 - 1, RATE * 10 + RATE + 2);
  });

  it('are issued round-robin to waiting routers', () => {
    for (const router of ['r1', 'r2', 'r3', 'r4']) {
      world.report(router, reportOf({ wanted: 100 }), READY);
    }
    world.run(READY, READY + 5000);
    const counts = ['r1', 'r2', 'r3', 'r4'].map((router) => world.grantedTo(router));
    expect(Math.max(...counts) - Math.min(...counts)).to.be.at.most(1);
  });

  it('are issued to the most important requests first', () => {
    world.report('r1', reportOf({ wanted: 1 }), READY);
    world.report('r2', reportOf({ wanted: 1, rank: 2 }), READY);
    world.report('r3', reportOf({ wanted: 1, rank: 0 }), READY);
    world.run(READY, READY + 300);
    expect(world.grantedTo('r3')).to.equal(1);
    expect(world.grantedTo('r2')).to.equal(0);
  });

  it('aren’t issued before those of the previous leader expire; requests that expire earlier are rejected', () => {
    world.report('r1', reportOf({ wanted: 1 }), 100);
    world.report('r2', reportOf({ wanted: 1, patienceMillis: 50 }), 100);
    world.run(100, READY - 10);
    expect(world.grantedTo('r1')).to.equal(0);
    expect(world.last('r2')?.nextInMillis).to.equal(READY - 100);
    world.run(READY - 10, READY + 20);
    expect(world.grantedTo('r1')).to.equal(1);
  });

  it('that can’t be issued in time are rejected at once, with the time of the next permit', () => {
    world.report('r1', reportOf({ wanted: 50, patienceMillis: 100 }), READY);
    const { granted = 0, nextInMillis } = world.last('r1') ?? {};
    expect(granted).to.be.at.least(1);
    expect(nextInMillis).to.be.within(100, 1000 / RATE + 1);
  });

  it('aren’t issued to a disconnected router', () => {
    world.report('r1', reportOf({ wanted: 9 }), READY);
    world.report('r2', reportOf({ wanted: 9 }), READY);
    const before = world.grantedTo('r1');
    world.issuer.onRouterDisconnected('r1');
    world.run(READY, READY + 3000);
    expect(world.grantedTo('r1')).to.equal(before);
  });

  it('are issued at the rate of the latest report, and aren’t needed once the limit has ended', () => {
    world.report('r1', reportOf({ limit: { perSecond: 50, heardAgoMillis: 500 }, wanted: 0 }), READY);
    world.report('r2', reportOf({ limit: { perSecond: 1, heardAgoMillis: 100 }, wanted: 0 }), READY);
    world.report('r1', reportOf({ limit: { perSecond: 50, heardAgoMillis: 600 }, wanted: 90 }), READY + 1);
    world.run(READY, READY + 4000);
    expect(world.grantedTo('r1')).to.be.at.most(6);
    world.report('r2', reportOf({ limit: { perSecond: null, heardAgoMillis: 0 }, wanted: 0 }), READY + 4000);
    world.run(READY + 4000, READY + 4010);
    expect(world.last('r1')?.limit.perSecond).to.equal(null);
  });

  it('come with limits for placement, which apply for a while after the limit has ended', () => {
    world.report('r1', reportOf({ wanted: 0 }), READY);
    expect(world.issuer.limits.limitsForPlacement().get('u1')).to.equal(PER_SECOND);
    world.report('r1', reportOf({ limit: { perSecond: null, heardAgoMillis: 0 }, wanted: 0 }), READY + 100);
    world.run(READY + 100, READY + 9000);
    expect(world.issuer.limits.limitsForPlacement().get('u1')).to.equal(PER_SECOND);
    world.run(READY + 9000, READY + 12_000);
    expect(world.issuer.limits.limitsForPlacement().has('u1')).to.equal(false);
  });

  it('expire with a limit that isn’t reported any more, and a report of any age restores it', () => {
    world.report('r1', reportOf({ wanted: 0 }), READY);
    world.run(READY, READY + 7000);
    expect(world.issuer.limits.inForce(READY + 7000)).to.deep.equal([]);
    const old = { perSecond: PER_SECOND, heardAgoMillis: 7000 };
    world.report('r1', reportOf({ limit: old, wanted: 0 }), READY + 7000);
    expect(world.issuer.limits.inForce(READY + 7000)).to.have.length(1);
  });
});
