/** The daemons' bundles start with and without their compiled code, and V8 accepts that code. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';
import { expect } from 'chai';
import { SignalledDaemon } from '../contract/signalled-daemon.js';

const ROOT = resolve(fileURLToPath(new URL('../../..', import.meta.url)));
/** The flags of the deploy file; V8 accepts compiled code only with the same flags. */
const COMMON_FLAGS = [
  '--v8-pool-size=1',
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  '--liftoff-only',
  '--no-memory-reducer',
];
const FLAGS = {
  control: COMMON_FLAGS,
  router: [
    ...COMMON_FLAGS,
    '--interrupt-budget=135000',
    '--no-lazy-feedback-allocation',
    '--initial-old-space-size=64',
    '--min-semi-space-size=4',
  ],
};
const HOST = `127.122.${process.pid % 250}.1`;
const DAEMONS = ['router', 'control'] as const;
type Daemon = (typeof DAEMONS)[number];

interface ProcessResult {
  readonly status: number | null;
  readonly stderr: string;
}

describe('bundles of the daemons', function suite() {
  this.timeout(60_000);
  const folder = mkdtempSync(join(ROOT, 'build', 'bundle-'));

  before(() => {
    const built = spawnSync(process.execPath, ['scripts/bundle/bundle.mjs', folder], { cwd: ROOT });
    expect(built.status, String(built.stderr)).to.equal(0);
  });

  after(() => rmSync(folder, { recursive: true, force: true }));

  function start(daemon: Daemon, ...words: string[]): ProcessResult {
    const program = [...FLAGS[daemon], join(folder, 'ternmount.cjs'), ...words];
    const { status, stderr } = spawnSync(process.execPath, program, { encoding: 'utf8' });
    return { status, stderr };
  }

  function expectUnusableSettings(daemon: Daemon): void {
    const file = join(folder, 'settings.yaml');
    writeFileSync(file, 'cluster: 7\n');
    const { status, stderr } = start(daemon, daemon, 'run', '--settings', file);
    expect(stderr).to.match(/^ternmount: .*settings\.yaml:\d+:\d+: [^\n]+\n$/);
    expect(status).to.equal(2);
  }

  for (const daemon of DAEMONS) {
    it(`start ${daemon}, and name the invalid setting`, () => {
      expectUnusableSettings(daemon);
    });

    it(`have compiled code of ${daemon} that V8 accepts with the flags of the deploy file`, () => {
      const check = `
        const { readFileSync } = require('node:fs');
        const { Script } = require('node:vm');
        const [source, cachedData] = [readFileSync(${JSON.stringify(join(folder, `${daemon}.js`))}, 'latin1'),
          readFileSync(${JSON.stringify(join(folder, `${daemon}.compiled`))})];
        process.exit(new Script(source, { cachedData }).cachedDataRejected ? 1 : 0);`;
      const { status, stderr } = spawnSync(process.execPath, [...FLAGS[daemon], '-e', check], {
        encoding: 'utf8',
      });
      expect(status, stderr).to.equal(0);
    });
  }

  for (const daemon of DAEMONS) {
    it(`keep signals that ${daemon} gets before it has read its settings`, async () => {
      const program = [...FLAGS[daemon], join(folder, 'ternmount.cjs'), daemon, 'run'];
      const early = new SignalledDaemon(program, join(folder, `${daemon}-signals.yaml`));
      try {
        await early.listens();
        early.send('SIGHUP');
        await early.giveSettings(settingsOf(daemon));
        await early.until('reload', () => early.records('settings-reloaded')[0]);
        await early.until('start', () => early.records('started')[0]);
        early.send('SIGTERM');
        expect(await early.end(), early.logs()).to.deep.equal({ code: 0, signal: null });
      } finally {
        early.close();
      }
    });
  }

  function settingsOf(daemon: Daemon): object {
    const address = { listen: `${HOST}:8002`, admin: `${HOST}:8001` };
    const shared = { cluster: 'bundle', zone: 'zone', trustedNetwork: true, ...address };
    const own = {
      router: { router: 'router', control: [`${HOST}:8003`], firstConfiguration: '0s' },
      control: {
        replicaName: 'control',
        dataFolder: join(folder, 'data'),
        seeds: [`${HOST}:8001`],
        bootstrap: true,
        toleratedLosses: 0,
      },
    };
    return { ...shared, ...own[daemon] };
  }

  it('start without compiled code, or with code that V8 rejects', () => {
    rmSync(join(folder, 'control.compiled'));
    expectUnusableSettings('control');
    writeFileSync(join(folder, 'router.compiled'), 'not compiled code');
    const source = readFileSync(join(folder, 'router.js'), 'latin1');
    const cachedData = readFileSync(join(folder, 'router.compiled'));
    expect(new Script(source, { cachedData }).cachedDataRejected).to.equal(true);
    expectUnusableSettings('router');
  });

  it('are named by the deploy file with the flags that they were compiled with', () => {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const runs = [...deploy.matchAll(/run = "node ([^"]+)"/g)].map(([, words = '']) => words.split(' '));
    expect(runs).to.have.length(2);
    for (const [index, words] of runs.entries()) {
      const daemon = DAEMONS[index] as Daemon;
      const start = [...FLAGS[daemon], 'target/ternmount.cjs', daemon, 'run'];
      expect(words.slice(0, start.length)).to.deep.equal(start);
    }
  });

  it('run nothing else', () => {
    const { status, stderr } = start('router', 'service', 'list');
    expect(status).to.equal(2);
    expect(stderr).to.contain('router run');
  });
});
