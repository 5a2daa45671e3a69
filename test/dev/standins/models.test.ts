import { expect } from 'chai';
import fc from 'fast-check';
import got from 'got';
import { judgeAnswerBody, makeAnswerBody } from '../../../src/dev/standins/answer-body.js';
import { ArrivalSchedule } from '../../../src/dev/standins/caller/arrival-schedule.js';
import { makeUuidV7 } from '../../../src/dev/standins/caller/uuid-v7.js';
import { ZipfKeys } from '../../../src/dev/standins/caller/zipf-keys.js';
import { PlatformStandin } from '../../../src/dev/standins/platform/platform-standin.js';
import { StandinRandomSource } from '../../../src/dev/standins/random-source.js';
import { FaultSwitchboard } from '../../../src/dev/standins/upstream/fault-switchboard.js';
import { LoadReporter } from '../../../src/dev/standins/upstream/work-model.js';

describe('answer bodies', () => {
  const body = makeAnswerBody('caller-1-7', 'sheet/7', 'up-1', 500);
  const cases = [
    { title: 'its own', text: body, verdict: 'whole' },
    { title: 'cut off', text: body.slice(0, -20), verdict: 'damaged' },
    { title: 'altered', text: body.replace('"payload":"c', '"payload":"d'), verdict: 'damaged' },
    { title: 'twice', text: body + body, verdict: 'damaged' },
    { title: 'empty', text: '', verdict: 'damaged' },
    { title: "another's", text: makeAnswerBody('caller-1-8', 'sheet/7', 'up-1', 500), verdict: 'foreign' },
    {
      title: "another key's",
      text: makeAnswerBody('caller-1-7', 'sheet/8', 'up-1', 500),
      verdict: 'foreign',
    },
  ] as const;
  for (const { title, text, verdict } of cases) {
    it(`${title}: ${verdict}`, () => {
      expect(judgeAnswerBody(text, 'caller-1-7', 'sheet/7')).to.equal(verdict);
    });
  }

  it('accepts the answer to any request for the key where answers are shared', () => {
    expect(judgeAnswerBody(body, null, 'sheet/7')).to.equal('whole');
    expect(judgeAnswerBody(body, null, 'sheet/8')).to.equal('foreign');
  });

  it('takes no prefix of an answer for the whole', () => {
    fc.assert(
      fc.property(fc.nat(body.length - 1), (length) => {
        expect(judgeAnswerBody(body.slice(0, length), 'caller-1-7', 'sheet/7')).to.equal('damaged');
      }),
    );
  });
});

describe('ArrivalSchedule', () => {
  it('follows its rates and returns each arrival once', () => {
    const rates = [
      { fromSeconds: 0, requestsPerSecond: 0 },
      { fromSeconds: 1, requestsPerSecond: 1000 },
      { fromSeconds: 2, requestsPerSecond: 0 },
    ];
    const schedule = new ArrivalSchedule(rates, new StandinRandomSource(1));
    const arrivals = [...schedule.takeDue(1500), ...schedule.takeDue(3000)];
    expect(arrivals.length).to.be.within(800, 1200);
    expect(arrivals.every((at) => at >= 1000 && at < 2000)).to.equal(true);
    expect([...arrivals].sort((left, right) => left - right)).to.deep.equal(arrivals);
    expect(schedule.takeDue(3000)).to.deep.equal([]);
  });

  it('starts at its rate, whatever the seed', () => {
    const rates = [{ fromSeconds: 0, requestsPerSecond: 6 }];
    const seeds = Array.from({ length: 50 }, (_, index) => index);
    const arrivals = seeds.flatMap((seed) =>
      new ArrivalSchedule(rates, new StandinRandomSource(seed)).takeDue(1000),
    );
    expect(arrivals.length).to.be.within(240, 360);
  });

  it('is the same for the same seed', () => {
    const rates = [{ fromSeconds: 0, requestsPerSecond: 50 }];
    const draw = (seed: number) => new ArrivalSchedule(rates, new StandinRandomSource(seed)).takeDue(1000);
    expect(draw(4)).to.deep.equal(draw(4));
    expect(draw(4)).not.to.deep.equal(draw(5));
  });
});

describe('ZipfKeys', () => {
  it('picks the first rank most often and assigns the first ranks to hot keys', () => {
    const keys = new ZipfKeys('map/', 5, 1.2, new StandinRandomSource(3), ['final']);
    const counts = new Map<string, number>();
    for (let draw = 0; draw < 2000; draw += 1) {
      const key = keys.pick();
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    expect([...counts.keys()]).to.have.members(['final', 'map/2', 'map/3', 'map/4', 'map/5']);
    expect(counts.get('final')).to.be.greaterThan(counts.get('map/2') ?? 0);
    expect(counts.get('map/2')).to.be.greaterThan(counts.get('map/5') ?? 0);
  });
});

describe('makeUuidV7', () => {
  it('holds the time, the version and the variant', () => {
    const uuid = makeUuidV7(0x0123456789ab);
    expect(uuid).to.match(/^01234567-89ab-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/);
    expect(makeUuidV7(0x0123456789ab)).not.to.equal(uuid);
  });
});

describe('LoadReporter', () => {
  const cases = [
    { title: 'true', lag: 0, factor: 1, now: 100, expected: 7 },
    { title: 'nothing known yet', lag: 1000, factor: 1, now: 100, expected: 0 },
    { title: 'lagging', lag: 50, factor: 1, now: 100, expected: 3 },
    { title: 'lying', lag: 0, factor: 0, now: 100, expected: 0 },
  ];
  for (const { title, lag, factor, now, expected } of cases) {
    it(title, () => {
      const reporter = new LoadReporter(lag, factor);
      reporter.observe(3, 40);
      reporter.observe(7, 100);
      expect(reporter.report(now)).to.equal(expected);
    });
  }
});

describe('FaultSwitchboard', () => {
  it('injects a fault until its share is 0', () => {
    const faults = new FaultSwitchboard(new StandinRandomSource(1));
    expect(faults.draw()).to.equal(null);
    faults.set({ kind: 'stall', share: 1 });
    expect(faults.draw()).to.equal('stall');
    faults.set({ kind: 'stall', share: 0 });
    expect(faults.draw()).to.equal(null);
  });
});

describe('PlatformStandin', () => {
  it('shows a change only after its lag', () => {
    const platform = new PlatformStandin({ listen: '127.0.0.1:0', lagMillis: 1000, machines: ['a', 'b'] });
    platform.change('a', 'leaving', 100);
    platform.change('b', 'gone', 100);
    expect(platform.list(1000)).to.deep.equal({ live: ['a', 'b'], leaving: [] });
    expect(platform.list(1100)).to.deep.equal({ live: [], leaving: ['a'] });
  });

  it('shows a change with `listed` at once', async () => {
    const platform = new PlatformStandin({ listen: '127.0.0.1:0', lagMillis: 30_000, machines: ['a', 'b'] });
    const address = await platform.start();
    await got.put(`http://${address}/machines/a`, { json: { state: 'gone', listed: true } });
    const list = await got(`http://${address}/machines`).json();
    await platform.stop();
    expect(list).to.deep.equal({ live: ['b'], leaving: [] });
  });
});
