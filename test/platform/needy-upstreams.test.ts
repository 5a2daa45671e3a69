/**
 * Real control members and routers with servers that send notices (rate limit, back-off, draining). Counts the arriving
 * requests by router.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { AnnouncedUpstream, Arrival } from './announced-upstream.js';
import { callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 96;
const ROUTERS = 3;
const KEY = 7;
const WINDOW_MILLIS = 4000;
const SHARING_MILLIS = 3000;
const LIMIT_PER_SECOND = 3;
const BACKOFF_SECONDS = 1.5;
const GRACE_MILLIS = 500;
const MAX_DURING_BACKOFF = 2;
const DRAIN_MILLIS = 2000;

describe('servers that send notices', function suite() {
  this.timeout(90_000);
  const cluster = new DeclaredCluster(NETWORK, 3);
  const routers: string[] = [];
  let first: AnnouncedUpstream;
  let requests = 0;

  /** Sends requests for the key through all routers at a rate of `perSecond`, of which late timers take nothing, and returns the statuses. */
  async function load(perSecond: number, millis: number): Promise<number[]> {
    const answers: Promise<number>[] = [];
    const begin = performance.now();
    const total = (perSecond * millis) / 1000;
    while (answers.length < total) {
      requests += 1;
      const router = routers[requests % ROUTERS] as string;
      const options = { key: KEY, id: `request-${requests}`, deadline: 800 };
      answers.push(callRouter(router, `/sheets/${requests}`, options).then(({ status }) => status));
      await sleep(begin + (1000 * answers.length) / perSecond - performance.now());
    }
    return Promise.all(answers);
  }

  function servedOf(statuses: readonly number[]): number {
    return statuses.filter((status) => status === 200).length;
  }

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    first = await cluster.addUpstream({ id: 'menu-1', service: 'menu', keyed: true });
    for (let number = 0; number < ROUTERS; number += 1) {
      routers.push(await cluster.startRouter());
    }
    await cluster.untilHeld([first]);
    await load(20, 1000);
  });

  after(() => cluster.close());

  it('with a rate limit get most of it, and little more, from all routers together', async () => {
    first.words = { 'ternmount-limit': String(LIMIT_PER_SECOND) };
    const from = performance.now();
    const statuses = await load(40, SHARING_MILLIS + WINDOW_MILLIS + 2000);
    const counted = first.arrivals.filter(({ at }) => at >= from + SHARING_MILLIS);
    const worst = Math.max(
      ...counted.map(({ at }) => counted.filter((one) => one.at >= at && one.at < at + WINDOW_MILLIS).length),
    );
    expect(worst).to.be.at.most(1.5 * LIMIT_PER_SECOND * (WINDOW_MILLIS / 1000) + 5);
    expect(worst).to.be.at.least(LIMIT_PER_SECOND * (WINDOW_MILLIS / 1000) * 0.5);
    expect(statuses.every((status) => status === 200 || status === 503)).to.equal(true);
    first.words = {};
    await load(20, 3000);
    expect(servedOf(await load(20, 1000))).to.be.above(15);
  });

  it('with a back-off get almost no requests from each router that received it', async () => {
    first.backoffSeconds = BACKOFF_SECONDS;
    const begin = first.arrivals.length;
    await load(60, 5000);
    first.backoffSeconds = null;
    const since = first.arrivals.slice(begin);
    for (const { at, router } of since) {
      const duringBackoff = since.filter((one) => one.router === router && isDuringBackoff(one, at));
      expect(duringBackoff.length).to.be.at.most(MAX_DURING_BACKOFF);
    }
    expect(since.length).to.be.at.least(ROUTERS);
    await load(20, 2500);
    expect(servedOf(await load(20, 1000))).to.be.above(15);
  });

  it('that are draining get no new requests, and their keys move to others', async () => {
    const second = await cluster.addUpstream({ id: 'menu-2', service: 'menu', keyed: true });
    first.words = { 'ternmount-leaving': '1' };
    const from = performance.now();
    await load(30, DRAIN_MILLIS + 1000);
    expect(first.arrivals.filter(({ at }) => at > from + DRAIN_MILLIS)).to.deep.equal([]);
    expect(servedOf(await load(20, 1000))).to.be.above(15);
    expect(second.holds(KEY)).to.equal(true);
  });
});

/** Whether a request arrived during the back-off requested by a response at `answeredAt`. */
function isDuringBackoff({ at }: Arrival, answeredAt: number): boolean {
  return at >= answeredAt + GRACE_MILLIS && at < answeredAt + BACKOFF_SECONDS * 1000;
}
