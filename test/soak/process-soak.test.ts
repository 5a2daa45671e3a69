/** Real processes under seeded disturbances end only when they are meant to, and lose neither requests nor configurations. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { GROUP, type Group } from './disturber.js';
import { VIOLATION, type ViolationKind } from './judge.js';
import { ROOT } from './machine-fleet.js';
import { ProcessSoak, type RouterSabotage, type SoakPlan, type SoakReport } from './process-soak.js';
import type { TrafficKind } from './soak-traffic.js';

const NETWORK = 150;
const SABOTAGE_NETWORK = 151;
const LATE_NETWORK = 152;
const LATE_SABOTAGE_NETWORK = 153;
const HELD_UP_NETWORK = 154;
const STOP_SABOTAGE_NETWORK = 159;
const SECONDS = 30;
const SEED = Number(process.env.SOAK_SEED ?? 1);
const LIMIT_MILLIS = 600_000;
/** All disturbances but those that a sabotage needs. */
const CALM: readonly Group[] = Object.values(GROUP).filter((group) => group !== GROUP.pipedOrders);

/** What may come in the first moments of a process, and nothing else. */
const STARTS: readonly Group[] = [GROUP.early, GROUP.stops, GROUP.reloads];
const STARTS_SECONDS = 8;

/** Two routers in each zone. */
const LATE_ROUTERS = 6;
const LATE_SECONDS = 20;
const LATE_SABOTAGE_SECONDS = 10;
const LATE_SABOTAGE_CALLERS = 32;
/** Far beyond the grace time of the platform. */
const LATE_STOP_GRACE = '60s';

/** As seen where processes share a processor with many others. */
const HELD_UP_MILLIS = 900;
const HELD_UP_SECONDS = 8;

interface Sabotage {
  /** Module that is loaded before the routers. */
  readonly module: string;
  readonly disturbance: Group | null;
  /** What the judge has to see. */
  readonly seen: readonly ViolationKind[];
}

const SABOTAGES: readonly Sabotage[] = [
  { module: 'drops-answers', disturbance: null, seen: [VIOLATION.fault, VIOLATION.lostAtAnyTime] },
  { module: 'stops-at-once', disturbance: GROUP.stops, seen: [VIOLATION.lostByPlannedWork] },
];

interface StopSabotage extends RouterSabotage {
  /** Requests by which it is seen. */
  readonly seen: (report: SoakReport) => readonly string[];
}

const STOP_SABOTAGE_SECONDS = 6;
const STOP_SABOTAGE_HELD_UP_MILLIS = 3000;

/** Each breaks one router; another one stays sound. */
const STOP_SABOTAGES: readonly StopSabotage[] = [
  {
    load: pathOf('keeps-connections'),
    heldUpMillis: 0,
    seen: ({ keptInStops }) => keptInStops,
  },
  { load: pathOf('ignores-late'), heldUpMillis: 0, seen: lostByPlannedWork },
  {
    load: pathOf('counts-from-hearing'),
    heldUpMillis: STOP_SABOTAGE_HELD_UP_MILLIS,
    seen: lostByPlannedWork,
  },
];

function lostByPlannedWork({ violations }: SoakReport): readonly string[] {
  return violations.filter(({ kind }) => kind === VIOLATION.lostByPlannedWork).map(({ subject }) => subject);
}

/** Whether a subject is a router, or one of its requests. */
function isOf(router: string): (subject: string) => boolean {
  return (subject) => subject === router || subject.startsWith(`${router}-`);
}

/** Path of a module that is loaded before a router. */
function pathOf(module: string): string {
  return fileURLToPath(new URL(`./${module}.js`, import.meta.url));
}

describe('real processes under seeded disturbances', () => {
  let bundle = process.env.SOAK_BUNDLE ?? '';

  before(function bundleDaemons() {
    this.timeout(LIMIT_MILLIS);
    if (bundle === '') {
      bundle = mkdtempSync(join(ROOT, 'build', 'soak-'));
      const built = spawnSync(process.execPath, ['scripts/bundle/bundle.mjs', bundle], { cwd: ROOT });
      expect(built.status, String(built.stderr)).to.equal(0);
    }
  });

  after(() => {
    if (process.env.SOAK_BUNDLE === undefined) {
      rmSync(bundle, { recursive: true, force: true });
    }
  });

  function planned(): SoakPlan {
    const without = process.env.SOAK_WITHOUT ?? `${GROUP.busy},${GROUP.early}`;
    return {
      seed: SEED,
      network: Number(process.env.SOAK_NETWORK ?? NETWORK),
      seconds: Number(process.env.SOAK_SECONDS ?? SECONDS),
      routers: Number(process.env.SOAK_ROUTERS ?? 4),
      callersPerRouter: Number(process.env.SOAK_CALLERS ?? 8),
      bundle,
      without: new Set(without.split(',') as Group[]),
      traffic: (process.env.SOAK_TRAFFIC ?? 'mixed') as TrafficKind,
      isPlannedOnly: false,
    };
  }

  async function play(plan: SoakPlan): Promise<void> {
    const soak = new ProcessSoak(plan);
    const report = await soak.run();
    const lines = report.violations.map((violation) => {
      const { kind, subject, detail } = violation;
      return [`${kind} ${subject}: ${detail}`, ...soak.linesOf(violation)].join('\n  ');
    });
    if (process.env.SOAK_SEED !== undefined) {
      console.log(JSON.stringify({ seed: SEED, ...report, violations: lines.length }));
      console.log(lines.join('\n'));
    }
    expect(report.requests).to.be.above(0);
    expect(report.changes).to.be.above(0);
    expect(lines.join('\n'), `logs in ${report.folder}`).to.equal('');
    if (plan.isPlannedOnly) {
      expect(report.keptInStops, `logs in ${report.folder}`).to.deep.equal([]);
    }
    if (process.env.SOAK_KEEP === undefined) {
      soak.removeFolder();
    }
  }

  it(`end only when they are meant to and lose nothing, seed ${SEED}`, () => play(planned())).timeout(
    LIMIT_MILLIS,
  );

  it(`aren't ended by signals in the first moments after their start, seed ${SEED}`, () => {
    const without = new Set(Object.values(GROUP).filter((group) => !STARTS.includes(group)));
    return play({ ...planned(), seconds: STARTS_SECONDS, without });
  }).timeout(LIMIT_MILLIS);

  it(`answer late orders in planned stops, seed ${SEED}`, () => {
    const network = Number(process.env.SOAK_NETWORK ?? LATE_NETWORK);
    const routers = Number(process.env.SOAK_ROUTERS ?? LATE_ROUTERS);
    const seconds = Number(process.env.SOAK_SECONDS ?? LATE_SECONDS);
    return play({ ...planned(), network, routers, seconds, traffic: 'late', isPlannedOnly: true });
  }).timeout(LIMIT_MILLIS);

  it(`answer all orders in planned stops that they hear of late, seed ${SEED}`, () =>
    play({
      seed: SEED,
      network: Number(process.env.SOAK_NETWORK ?? HELD_UP_NETWORK),
      seconds: HELD_UP_SECONDS,
      routers: 2,
      callersPerRouter: LATE_SABOTAGE_CALLERS,
      bundle,
      without: new Set(Object.values(GROUP).filter((group) => group !== GROUP.stops)),
      traffic: 'late',
      mix: ['longBurst'],
      isPlannedOnly: true,
      heldUpMillis: HELD_UP_MILLIS,
    })).timeout(LIMIT_MILLIS);

  it('are seen to lose late orders when they take their time to stop for longer than it is', async () => {
    const soak = new ProcessSoak({
      seed: SEED,
      network: LATE_SABOTAGE_NETWORK,
      seconds: LATE_SABOTAGE_SECONDS,
      routers: 2,
      callersPerRouter: LATE_SABOTAGE_CALLERS,
      bundle,
      without: new Set(Object.values(GROUP).filter((group) => group !== GROUP.stops)),
      traffic: 'late',
      mix: ['longBurst'],
      isPlannedOnly: true,
      alterRouters: (settings) => settings.replace(/^stopGrace: .*$/m, `stopGrace: ${LATE_STOP_GRACE}`),
    });
    const { violations, overstayed } = await soak.run();
    soak.removeFolder();
    const lost = violations.filter(({ kind }) => kind === VIOLATION.lostByPlannedWork);
    if (process.env.SOAK_SEED !== undefined) {
      console.log(JSON.stringify({ seed: SEED, overstayed, lost: lost.length }));
    }
    expect(overstayed).to.not.be.empty;
    expect(lost).to.not.be.empty;
  }).timeout(LIMIT_MILLIS);

  it(`are seen to break what a planned stop promises with a sabotage of each router, seed ${SEED}`, async () => {
    const named = STOP_SABOTAGES.map((sabotage, index) => [`router-${index + 1}`, sabotage] as const);
    const soak = new ProcessSoak({
      seed: SEED,
      network: Number(process.env.SOAK_NETWORK ?? STOP_SABOTAGE_NETWORK),
      seconds: STOP_SABOTAGE_SECONDS,
      routers: named.length + 1,
      callersPerRouter: LATE_SABOTAGE_CALLERS,
      bundle,
      without: new Set(),
      traffic: 'late',
      mix: ['longTrain', 'longBurst', 'longTrain'],
      isPlannedOnly: true,
      sabotages: Object.fromEntries(named),
    });
    const report = await soak.run();
    const seen = named.map(([router, { seen: seenIn }]) => seenIn(report).filter(isOf(router)));
    const isOfSound = isOf(`router-${named.length + 1}`);
    const lost = report.violations.filter(({ subject }) => isOfSound(subject)).map(({ detail }) => detail);
    const ofSound = [...lost, ...report.keptInStops.filter(isOfSound)];
    if (process.env.SOAK_SEED !== undefined) {
      console.log(
        JSON.stringify({
          seed: SEED,
          requests: report.requests,
          seen: seen.map(({ length }) => length),
          ofSound,
        }),
      );
    }
    for (const [index, ids] of seen.entries()) {
      expect(ids, `${STOP_SABOTAGES[index]?.load}, logs in ${report.folder}`).to.not.be.empty;
    }
    expect(ofSound, `logs in ${report.folder}`).to.deep.equal([]);
    soak.removeFolder();
  }).timeout(LIMIT_MILLIS);

  for (const { module, disturbance, seen } of SABOTAGES) {
    it(`are seen to break a rule with the sabotage ${module}`, async () => {
      const soak = new ProcessSoak({
        seed: SEED,
        network: SABOTAGE_NETWORK,
        seconds: 5,
        routers: 2,
        callersPerRouter: 8,
        bundle,
        without: new Set(CALM.filter((group) => group !== disturbance)),
        traffic: 'mixed',
        isPlannedOnly: false,
        routersLoad: pathOf(module),
      });
      const { violations } = await soak.run();
      soak.removeFolder();
      expect(violations.map((violation) => violation.kind)).to.include.members([...seen]);
    }).timeout(LIMIT_MILLIS);
  }
});
