/** Routers that lose their own paths to upstreams, while callers, control and the other routers reach them, serve their callers as well as the others. */
import { expect } from 'chai';
import { CutFleet, type CutFleetOptions, cutOf } from './cut-fleet.js';
import type { Cut, CutMode } from './cut-network.js';
import { randomCuts, shareOf } from './random-cuts.js';

const CUT_FROM = 3000;
const CUT_TO = 15_000;
const END = 18_000;
/** From this long after a cut begins or ends, blind routers serve this share of what the others serve. */
const GRACE_MILLIS = 1000;
const SERVED_SHARE = 0.95;
const LARGE = { routers: { a: 26, b: 25, c: 25 }, requestsPerSecond: 608 } as const;
const SMALL = { routers: { a: 5, b: 3, c: 3 }, requestsPerSecond: 400, millis: END } as const;

type Concerns = (router: string, upstream: string) => boolean;

/** Most routers of one zone, all of another: 7 of 11. */
const BLIND = new Set(['r-a-1', 'r-a-2', 'r-a-3', 'r-b-1', 'r-b-2', 'r-b-3', 'r-c-1']);
const isBlind = (router: string): boolean => BLIND.has(router);
/** One zone and half of another. */
const isInBlindZones = (router: string): boolean =>
  router.startsWith('r-a') || (router.startsWith('r-b') && Number(router.slice('r-b-'.length)) % 2 === 0);
const isKeyOwner = (upstream: string): boolean => Number(upstream.slice(1)) <= 14;

function expectServedAlike(fleet: CutFleet, from: number, to: number, concerns: Concerns = isBlind): void {
  const isCut = (router: string): boolean => concerns(router, 'u1');
  const others = fleet.servedShare(from, to, (router) => !isCut(router));
  const blind = fleet.servedShare(from, to, isCut);
  expect(others, `share served by the others from ${from} to ${to}`).to.be.at.least(0.95);
  expect(blind, `share served by blind routers from ${from} to ${to}`).to.be.at.least(others * SERVED_SHARE);
}

function expectTruth({ calls }: CutFleet): void {
  const lies = calls.filter(
    ({ end, runs }) => end?.type === 'refused' && end.outcome === 'not-run' && runs.length > 0,
  );
  expect(lies, 'requests that ran although their callers were told that they did not').to.deep.equal([]);
  const repeated = calls.filter(({ repeatable, runs }) => !repeatable && runs.length > 1);
  expect(repeated, 'requests that ran twice though they must not').to.deep.equal([]);
}

/** Runs a fleet and counts the connections that its routers open in a span. */
function runCounting(
  options: Parameters<typeof run>[0],
  from: number,
  to: number,
): { readonly fleet: CutFleet; readonly opened: number } {
  const counts: number[] = [];
  const count = (fleet: CutFleet): void => void counts.push(openedIn(fleet));
  const events = [from, to].map((at) => ({ at, run: count }));
  const fleet = run({ ...options, events, millis: to });
  return { fleet, opened: Number(counts[1]) - Number(counts[0]) };
}

function linesOf({ log }: CutFleet, event: string): number {
  return log.filter((line) => line.event === event).length;
}

function pathTriesOf({ routers }: CutFleet, kind: 'direct' | 'relayed'): number {
  return routers.reduce((sum, { pathTries }) => sum + pathTries[kind], 0);
}

function expectNobodyBlamed(fleet: CutFleet): void {
  expect(linesOf(fleet, 'request-suspected'), 'accused requests').to.equal(0);
  expect(linesOf(fleet, 'run-ended'), 'runs taken for ended').to.equal(0);
}

function openedIn({ routers }: CutFleet): number {
  return routers.reduce((sum, { opened }) => sum + opened, 0);
}

/** The class of requests that a modelled upstream serves. */
function classOf(upstream: string, factor: number): string {
  const number = Number(upstream.slice(1));
  return ['seats', 'orders', 'lists'][[14, 20].filter((last) => number > last * factor).length] as string;
}

/** Each router loses each service with an even chance. */
function hasLostService(router: string, className: string): boolean {
  return shareOf(`${router} ${className}`) < 0.5;
}

function run(options: Partial<CutFleetOptions> & Pick<CutFleetOptions, 'cuts'>): CutFleet {
  return new CutFleet({ seed: 1, ...SMALL, ...options }).run();
}

describe('routers without a path to upstreams', function () {
  this.timeout(60_000);
  const modes: readonly CutMode[] = ['silent', 'reset', 'refused', 'living', 'answers-lost'];
  for (const mode of modes) {
    it(`serve their callers nearly as often as the others do (${mode})`, () => {
      const cuts = [cutOf(mode, CUT_FROM, CUT_TO, isBlind)];
      const routers = { a: 5, b: 3, c: 3 };
      const fleet = new CutFleet({ seed: 1, routers, requestsPerSecond: 400, cuts, millis: END }).run();
      expectServedAlike(fleet, CUT_FROM + GRACE_MILLIS, CUT_TO);
      expectServedAlike(fleet, CUT_TO + GRACE_MILLIS, END);
      expectTruth(fleet);
      expectNobodyBlamed(fleet);
    });
  }

  const parts: readonly { readonly name: string; readonly concerns: Concerns }[] = [
    { name: 'a whole zone', concerns: (router) => router.startsWith('r-a') },
    { name: 'all but one router', concerns: (router) => router !== 'r-c-3' },
    {
      name: 'the upstreams of one service',
      concerns: (router, upstream) => isBlind(router) && isKeyOwner(upstream),
    },
    {
      name: 'half of the upstreams',
      concerns: (router, upstream) => isBlind(router) && Number(upstream.slice(1)) % 2 === 1,
    },
    { name: 'one upstream', concerns: (router, upstream) => isBlind(router) && upstream === 'u1' },
  ];
  for (const { name, concerns } of parts) {
    for (const mode of ['silent', 'refused'] as const) {
      it(`serve alike if the cut concerns ${name} (${mode})`, () => {
        const fleet = run({ cuts: [cutOf(mode, CUT_FROM, CUT_TO, concerns)], seed: 2 });
        expectServedAlike(fleet, CUT_FROM + GRACE_MILLIS, CUT_TO, concerns);
        expectServedAlike(fleet, CUT_TO + GRACE_MILLIS, END, concerns);
        expectTruth(fleet);
        expectNobodyBlamed(fleet);
      });
    }
  }

  for (const mode of ['silent', 'refused'] as const) {
    it(`serve alike among 76 routers with 8 requests a second each (${mode})`, () => {
      const fleet = run({
        routers: { a: 26, b: 25, c: 25 },
        requestsPerSecond: 608,
        upstreamFactor: 2,
        cuts: [cutOf(mode, 4000, 12_000, isInBlindZones)],
        millis: 15_000,
      });
      expectServedAlike(fleet, 4000 + GRACE_MILLIS, 12_000, isInBlindZones);
      expectServedAlike(fleet, 12_000 + GRACE_MILLIS, 15_000, isInBlindZones);
      expectTruth(fleet);
      expectNobodyBlamed(fleet);
    });

    it(`serve alike among 300 routers with 8 requests a second each (${mode})`, () => {
      const fleet = run({
        routers: { a: 100, b: 100, c: 100 },
        requestsPerSecond: 2400,
        upstreamFactor: 8,
        cuts: [cutOf(mode, 4000, 8000, isInBlindZones)],
        millis: 10_000,
      });
      expectServedAlike(fleet, 4000 + GRACE_MILLIS, 8000, isInBlindZones);
      expectServedAlike(fleet, 8000 + GRACE_MILLIS, 10_000, isInBlindZones);
      expectTruth(fleet);
      expectNobodyBlamed(fleet);
    });
  }

  for (const many of [false, true]) {
    it(`serve alike, with few connections, where each router lost other services (${many ? 76 : 11} routers)`, () => {
      const size = many ? { ...LARGE, upstreamFactor: 8 } : {};
      const cut = cutOf('silent', 4000, 9000, (router, upstream) =>
        hasLostService(router, classOf(upstream, many ? 8 : 1)),
      );
      const { fleet, opened } = runCounting({ ...size, cuts: [cut] }, 5000, 9000);
      const { opened: openedInCalm } = runCounting({ ...size, cuts: [] }, 5000, 9000);
      expect(fleet.servedShare(5000, 9000, () => true)).to.be.at.least(0.95);
      const relayed = fleet.calls.filter(
        ({ sentAt, router, className }) => sentAt >= 5000 && hasLostService(router, className),
      );
      expect(opened, 'one connection more for each relayed request').to.be.at.most(
        openedInCalm + relayed.length,
      );
      expectTruth(fleet);
      expectNobodyBlamed(fleet);
    });
  }

  it('serve alike while control has no leader', () => {
    const fleet = run({
      cuts: [cutOf('silent', CUT_FROM, CUT_TO, isBlind)],
      events: [{ at: CUT_FROM - 500, run: (running) => running.loseLeader() }],
    });
    expectServedAlike(fleet, CUT_FROM + GRACE_MILLIS, CUT_TO);
  });

  for (const mode of ['silent', 'refused'] as const) {
    for (const before of [1000, 200, 20]) {
      it(`serve alike and accuse nobody if control's leader changes ${before} ms before (${mode})`, () => {
        const fleet = run({
          cuts: [cutOf(mode, CUT_FROM, CUT_TO, isBlind)],
          events: [{ at: CUT_FROM - before, run: (running) => running.changeLeader() }],
        });
        expectServedAlike(fleet, CUT_FROM + GRACE_MILLIS, CUT_TO);
        expectTruth(fleet);
        expectNobodyBlamed(fleet);
      });
    }
  }

  it('serve alike while the routers that carry for them restart or are cut off too', () => {
    const isCarrier = (router: string): boolean => router === 'r-c-2' || router === 'r-a-4';
    const fleet = run({
      cuts: [cutOf('silent', CUT_FROM, CUT_TO, isBlind), cutOf('silent', 9000, 11_000, isCarrier)],
      events: [
        { at: 6000, run: (running) => running.restart('r-c-3') },
        { at: 7500, run: (running) => running.restart('r-a-5') },
      ],
    });
    const isBlindOrCarrier = (router: string): boolean => isBlind(router) || isCarrier(router);
    expectServedAlike(fleet, CUT_FROM + GRACE_MILLIS, 9000);
    expectServedAlike(fleet, 9000 + GRACE_MILLIS, 11_000, isBlindOrCarrier);
    expectServedAlike(fleet, 11_000 + GRACE_MILLIS, CUT_TO);
    expectTruth(fleet);
  });

  it('serve alike through cuts in series that overlap', () => {
    const cuts: readonly Cut[] = [
      cutOf('silent', 3000, 6000, isBlind),
      cutOf('refused', 8000, 11_000, isBlind),
      cutOf('silent', 12_000, 14_000, (router) => router.startsWith('r-c')),
      cutOf('reset', 13_000, 15_000, (router) => router.startsWith('r-a')),
    ];
    const fleet = run({ cuts });
    expectServedAlike(fleet, 4000, 6000);
    expectServedAlike(fleet, 9000, 11_000);
    expectServedAlike(fleet, 14_000, 15_000, (router) => router.startsWith('r-a'));
    expectServedAlike(fleet, 16_000, END);
    expectTruth(fleet);
  });
});

describe('routers none of which reaches an upstream', () => {
  const KNOWN_FROM = CUT_FROM + 2000;
  const CUT_END = 9000;

  for (const mode of ['silent', 'refused'] as const) {
    it(`refuse at once, truthfully and with a time to come back, and serve again after the cut (${mode})`, () => {
      const fleet = run({ cuts: [cutOf(mode, CUT_FROM, CUT_END, () => true)], millis: 14_000 });
      const calls = fleet.calls.filter(({ sentAt }) => sentAt >= KNOWN_FROM && sentAt < CUT_END - 1500);
      const refused = calls.filter(({ end }) => end?.type === 'refused' && end.retryAfterMillis !== null);
      expect(refused.length).to.be.at.least(calls.length * 0.95);
      const waits = refused.map(({ sentAt, endedAt }) => (endedAt ?? Number.POSITIVE_INFINITY) - sentAt);
      const isQuick = (millis: number): boolean => millis <= 200;
      expect(waits.filter(isQuick).length).to.be.at.least(refused.length * 0.9);
      expectTruth(fleet);
      expect(fleet.servedShare(CUT_END + GRACE_MILLIS, 14_000, () => true)).to.be.at.least(0.95);
    });
  }
});

describe('what is no lost path', () => {
  const isUpstreamOf =
    (service: string) =>
    (upstream: { readonly service: string }): boolean =>
      upstream.service === service;

  it('a calm day changes no path', () => {
    expect(linesOf(run({ cuts: [] }), 'path-changed')).to.equal(0);
  });

  it('slow answers while others arrive are hardly ever checked with a connection', () => {
    const fleet = run({ cuts: [], slowShare: 0.1 });
    expect(pathTriesOf(fleet, 'direct')).to.be.at.most(fleet.calls.length * 0.01);
  });

  it('upstreams that are dead for all routers are not reached over any', () => {
    const fleet = run({
      cuts: [],
      events: [
        {
          at: CUT_FROM,
          run: ({ upstreams }) => {
            for (const upstream of [...upstreams.values()].filter(isUpstreamOf('lists'))) {
              upstream.kill();
            }
          },
        },
      ],
    });
    expect(linesOf(fleet, 'path-changed')).to.equal(0);
    expect(linesOf(fleet, 'run-ended')).to.be.above(0);
  });

  it('connections that are reset while new ones work change no path', () => {
    const fleet = run({ cuts: [cutOf('reset', CUT_FROM, CUT_FROM + 1, isBlind)] });
    expect(linesOf(fleet, 'path-changed')).to.equal(0);
    expectTruth(fleet);
  });

  it('lost packets change hardly any path', () => {
    const fleet = run({ cuts: [], lossShare: 0.03 });
    expect(linesOf(fleet, 'path-changed')).to.be.below(10);
  });
});

/** Number of seeded runs with random cuts; more by hand. */
const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 25);

describe('random cuts between routers and upstreams', function () {
  this.timeout(600_000);
  it(`keep every promise with seeds 1 to ${SEEDS}`, () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const fleet = run({ seed, ...randomCuts(seed) });
      expectTruth(fleet);
      expect(linesOf(fleet, 'request-quarantined'), `quarantined requests, seed ${seed}`).to.equal(0);
      expect(
        fleet.servedShare(16_000, END, () => true),
        `served at last, seed ${seed}`,
      ).to.be.above(0.95);
    }
  });
});
