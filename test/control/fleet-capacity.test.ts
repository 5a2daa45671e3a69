/** Speeds and zone demand that the control leader derives from routers' reports of upstreams without keys. */
import { expect } from 'chai';
import { FleetCapacity, type KeylessUpstream } from '../../src/control/fleet-capacity/fleet-capacity.js';
import { planSpill } from '../../src/control/fleet-capacity/spill-plan.js';
import type { FleetUpdate, LoadReport } from '../../src/control/messages.js';
import {
  type FleetReport,
  type FleetViewVersion,
  INITIAL_FLEET_VERSION,
} from '../../src/model/fleet-view.js';
import { Random } from '../../src/routing/random.js';

const WORK_MILLIS = 100;

function upstreamsOf(zones: readonly string[], each: number): KeylessUpstream[] {
  return zones.flatMap((zone) =>
    Array.from({ length: each }, (_, index) => ({
      id: `${zone}${index}`,
      service: 'menu',
      zone,
      slots: 4,
      isUsable: true,
    })),
  );
}

class Reports {
  readonly capacity: FleetCapacity;
  now = 0;
  number = 0;
  readonly logged: string[] = [];

  constructor(upstreams: readonly KeylessUpstream[], term = 1) {
    const log = (event: string): void => {
      this.logged.push(event);
    };
    this.capacity = new FleetCapacity({ term, upstreams: () => upstreams, log }, 0);
  }

  report(changes: Partial<FleetReport> = {}, from = 'c1'): LoadReport {
    this.number += 1;
    const fleet = {
      zone: 'a',
      number: this.number,
      have: INITIAL_FLEET_VERSION,
      upstreams: [],
      demand: [],
      ...changes,
    };
    const report: LoadReport = { type: 'load-report', intervalMillis: 1000, shards: [], fleet };
    this.update = this.capacity.recordReport(report, from, this.now);
    return report;
  }

  update: FleetUpdate | null = null;

  /** Reports a second in which each upstream answered `requests` requests of `millisOf` milliseconds each. */
  second(
    millisOf: (id: string) => number,
    requests = 5,
    have: FleetViewVersion = INITIAL_FLEET_VERSION,
  ): void {
    this.now += 1000;
    for (const zone of ['a', 'b']) {
      const upstreams = Array.from({ length: 3 }, (_, index) => `${zone}${index}`).map((upstream) => ({
        upstream,
        kind: 'sheets',
        requests,
        workMillis: requests * millisOf(upstream),
        isOut: false,
      }));
      const demand = [{ service: 'menu', kind: 'sheets', requests: 3 * requests }];
      this.report({ zone, upstreams, demand, have }, `c-${zone}`);
    }
  }

  speeds(): Record<string, number> {
    this.report({ have: INITIAL_FLEET_VERSION }, 'reader');
    return Object.fromEntries((this.update?.speeds ?? []).map(({ upstream, speed }) => [upstream, speed]));
  }
}

const SPEEDS: Readonly<Record<string, number>> = { a0: 0.7, a1: 0.7, a2: 1.6, b0: 0.7, b1: 0.7, b2: 1.6 };

function millisAtSpeed(id: string): number {
  return WORK_MILLIS / (SPEEDS[id] ?? 1);
}

describe('speeds of upstreams', () => {
  it('are derived from the reports of all routers', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    for (let second = 0; second < 30; second += 1) {
      reports.second(millisAtSpeed);
    }
    const speeds = reports.speeds();
    for (const [id, speed] of Object.entries(SPEEDS)) {
      expect(speeds[id], id).to.be.closeTo(speed, speed * 0.15);
    }
  });

  it('are not lower for heavy requests', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    const sample = (upstream: string, kind: string, millis: number) => ({
      upstream,
      kind,
      requests: 5,
      workMillis: 5 * millis,
      isOut: false,
    });
    for (let second = 1; second <= 30; second += 1) {
      reports.now = second * 1000;
      const light = ['a0', 'a1', 'b0', 'b1', 'b2'].map((id) => sample(id, 'light', WORK_MILLIS));
      const both = [sample('a0', 'heavy', 8 * WORK_MILLIS), sample('a2', 'heavy', 8 * WORK_MILLIS)];
      reports.report({ upstreams: [...light, ...both] });
    }
    expect(reports.speeds()).to.deep.equal({});
  });

  it('stay close to 1 if upstreams differ only by noise', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    const random = new Random(3);
    for (let second = 0; second < 120; second += 1) {
      // Each second, a fifth of the upstreams is three times slower for less than half of the second.
      reports.second(() => WORK_MILLIS * (random.share() < 0.2 ? 1.8 : 1));
    }
    for (const speed of Object.values(reports.speeds())) {
      expect(speed).to.be.within(0.8, 1.25);
    }
  });

  it('are sent only when they change', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    for (let second = 0; second < 60; second += 1) {
      reports.second(millisAtSpeed);
    }
    const knownVersion = reports.update?.version as FleetViewVersion;
    for (let second = 0; second < 60; second += 1) {
      reports.second(millisAtSpeed, 5, knownVersion);
      expect(reports.update).to.deep.include({ isWhole: false, speeds: [], zones: [] });
    }
  });

  it('are sent completely to a router with a version of another leader', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3), 2);
    for (let second = 0; second < 30; second += 1) {
      reports.second(millisAtSpeed, 5, { term: 1, number: 1000 });
    }
    expect(reports.update?.isWhole).to.equal(true);
    expect(reports.update?.speeds.length).to.be.above(3);
  });
});

describe('demand of zones', () => {
  function spillOf(reports: Reports, zone: string): number {
    reports.report({ have: INITIAL_FLEET_VERSION }, 'reader');
    const capacity = reports.update?.zones.find((published) => published.zone === zone);
    return capacity?.spill.reduce((sum, { share }) => sum + share, 0) ?? 0;
  }

  /** Reports demand for the share `ofA` of the 12 slots of zone a, and for half of the slots of zone b. */
  function seconds(reports: Reports, count: number, ofA: number): void {
    const report = (zone: string, part: number): void => {
      const requests = (part * 12 * 1000) / WORK_MILLIS;
      const upstreams = [
        { upstream: `${zone}0`, kind: 'sheets', requests: 1, workMillis: WORK_MILLIS, isOut: false },
      ];
      const demand = [{ service: 'menu', kind: 'sheets', requests }];
      reports.report({ zone, upstreams, demand }, `c-${zone}`);
    };
    for (let second = 0; second < count; second += 1) {
      reports.now += 1000;
      report('a', ofA);
      report('b', 0.5);
    }
  }

  it('spills as far as, and as long as, it exceeds the capacity', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    seconds(reports, 20, 1.4);
    expect(spillOf(reports, 'a')).to.be.closeTo(0.4 / 1.4, 0.04);
    expect(spillOf(reports, 'b')).to.equal(0);
    seconds(reports, 20, 0.6);
    expect(spillOf(reports, 'a')).to.equal(0);
    expect(reports.logged.filter((event) => event === 'zone-spill-changed').length).to.be.within(2, 12);
  });

  it('has no capacity in a zone that must not receive new requests', () => {
    const upstreams = upstreamsOf(['a', 'b'], 3).map((upstream) => ({
      ...upstream,
      isUsable: upstream.zone === 'b',
    }));
    const reports = new Reports(upstreams);
    seconds(reports, 20, 0.4);
    expect(spillOf(reports, 'a')).to.be.closeTo(1, 0.01);
  });

  it('is counted once if reports are duplicated', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    for (let second = 0; second < 20; second += 1) {
      reports.now += 1000;
      const demand = [{ service: 'menu', kind: 'sheets', requests: 80 }];
      const upstreams = [
        { upstream: 'a0', kind: 'sheets', requests: 1, workMillis: WORK_MILLIS, isOut: false },
      ];
      const report = reports.report({ demand, upstreams }, 'c-a');
      reports.capacity.recordReport(report, 'c-a', reports.now + 300);
    }
    expect(spillOf(reports, 'a')).to.equal(0);
  });

  it('has no capacity at upstreams that routers of their zone report out of order', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    for (let second = 0; second < 10; second += 1) {
      seconds(reports, 1, 0.9);
      const upstreams = [{ upstream: 'a1', kind: '', requests: 0, workMillis: 0, isOut: true }];
      reports.report({ upstreams }, 'c-other');
    }
    expect(spillOf(reports, 'a')).to.be.above(0.2);
  });

  it('has capacity at upstreams that only routers of another zone report out of order', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    for (let second = 0; second < 10; second += 1) {
      seconds(reports, 1, 0.9);
      const upstreams = [{ upstream: 'a1', kind: '', requests: 0, workMillis: 0, isOut: true }];
      reports.report({ zone: 'b', upstreams }, 'c-other');
    }
    expect(spillOf(reports, 'a')).to.equal(0);
  });

  it('expires with routers that stop reporting', () => {
    const reports = new Reports(upstreamsOf(['a', 'b'], 3));
    seconds(reports, 20, 1.4);
    reports.now += 5000;
    reports.report({ zone: 'a' }, 'c-new');
    expect(spillOf(reports, 'a')).to.equal(0);
  });

  it('does not spill if no zone has free capacity', () => {
    const plans = planSpill([
      { zone: 'a', demand: 20, capacity: 10 },
      { zone: 'b', demand: 11, capacity: 10 },
    ]);
    expect(plans.flatMap(({ spill }) => spill)).to.deep.equal([]);
  });

  it('is divided among zones in proportion to their free capacity', () => {
    const [plan] = planSpill([
      { zone: 'a', demand: 12, capacity: 10 },
      { zone: 'b', demand: 1.7, capacity: 10 },
      { zone: 'c', demand: 5.7, capacity: 10 },
    ]);
    const [toB, toC] = plan?.spill ?? [];
    expect((toB?.share ?? 0) / (toC?.share ?? 1)).to.be.closeTo(2, 0.01);
  });
});
