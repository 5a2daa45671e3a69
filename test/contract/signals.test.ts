/** Signals to real daemons at any moment between their first statements and their exit. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../src/dev/bench/proxy/control-standin.js';
import { Random } from '../../src/dev/sim/random.js';
import { type LogRecord, SignalledDaemon } from './signalled-daemon.js';

const PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const HOST = `127.121.${process.pid % 250}`;
const SEEDS = [1, 2, 3, 4, 5, 6];
/** Longest pause between two signals, and between a start and the first. */
const MAX_PAUSE_MILLIS = 250;
const MAX_RELOADS = 6;
const STOPPED = { code: 0, signal: null };
const EMPTY = {
  revision: 1,
  services: [],
  upstreams: [],
  shards: [],
  routes: [],
  declaration: null,
  ranges: [],
  suspects: [],
};

describe('signals to a daemon', function suite() {
  this.timeout(60_000);
  let folder = '';
  const daemons: SignalledDaemon[] = [];

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-signals-'));
    writeFileSync(join(folder, 'secret'), BENCH_IDENTITY.secret);
  });
  afterEach(() => {
    for (const daemon of daemons.splice(0)) {
      daemon.close();
    }
    rmSync(folder, { recursive: true, force: true });
  });

  const shared = () => ({
    cluster: BENCH_IDENTITY.cluster,
    zone: 'zone-1',
    secretFile: join(folder, 'secret'),
  });
  const settingsOf = {
    router: (): object => ({
      ...shared(),
      router: 'router-1',
      listen: `${HOST}.1:8000`,
      admin: `${HOST}.1:8001`,
      control: [`${HOST}.3:8002`],
      firstConfiguration: '0s',
      probeInterval: '0s',
    }),
    control: (): object => ({
      ...shared(),
      replicaName: 'control-1',
      dataFolder: join(folder, 'data'),
      listen: `${HOST}.2:8002`,
      admin: `${HOST}.2:8001`,
      seeds: [`${HOST}.2:8001`],
      bootstrap: true,
      toleratedLosses: 0,
    }),
  };
  type Kind = keyof typeof settingsOf;
  const KINDS = Object.keys(settingsOf) as Kind[];

  function start(kind: Kind): SignalledDaemon {
    const daemon = new SignalledDaemon([PROGRAM, kind, 'run'], join(folder, `${kind}.yaml`));
    daemons.push(daemon);
    return daemon;
  }

  for (const kind of KINDS) {
    it(`SIGHUP before ${kind} has read its settings doesn't end it, and its reload isn't lost`, async () => {
      const daemon = start(kind);
      await daemon.listens();
      daemon.send('SIGHUP');
      await daemon.giveSettings(settingsOf[kind]());
      await daemon.until('reload', () => daemon.records('settings-reloaded').find(isBySignal));
      await daemon.until('start', () => daemon.records('started')[0]);
      expect(daemon.records('signal-received').map((record) => record.signal)).to.deep.equal(['SIGHUP']);
      daemon.send('SIGTERM');
      expect(await daemon.end()).to.deep.equal(STOPPED);
    });

    it(`SIGTERM before ${kind} has read its settings ends it with 0, before it serves`, async () => {
      const daemon = start(kind);
      await daemon.listens();
      daemon.send('SIGTERM');
      await daemon.giveSettings(settingsOf[kind]());
      expect(await daemon.end(), daemon.logs()).to.deep.equal(STOPPED);
      expect(daemon.records('started')).to.deep.equal([]);
      expect(daemon.records('process-ended')[0]).to.include({ exitCode: 0, signal: 'SIGTERM' });
    });

    for (const seed of SEEDS) {
      it(`of any order don't end ${kind} otherwise than with 0 after a SIGTERM, seed ${seed}`, async () => {
        const random = new Random(seed);
        const pause = (): Promise<void> => sleep(random.integer(0, MAX_PAUSE_MILLIS));
        const daemon = start(kind);
        await daemon.listens();
        await daemon.giveSettings(settingsOf[kind]());
        for (let reloads = random.integer(0, MAX_RELOADS); reloads > 0; reloads -= 1) {
          await pause();
          daemon.send('SIGHUP');
        }
        await pause();
        expect(daemon.hasEnded, daemon.logs()).to.equal(false);
        daemon.send('SIGTERM');
        while (!daemon.hasEnded) {
          daemon.send(random.shuffle(['SIGHUP', 'SIGTERM', 'SIGINT'] as const)[0] as NodeJS.Signals);
          await sleep(random.integer(0, 2));
        }
        expect(await daemon.end(), daemon.logs()).to.deep.equal(STOPPED);
      });
    }
  }

  it('SIGTERM while a router waits for its first configuration ends it with 0', async () => {
    const daemon = start('router');
    await daemon.giveSettings({ ...settingsOf.router(), firstConfiguration: '1h' });
    await daemon.until('open admin port', () => isOpen(`${HOST}.1:8001`));
    daemon.send('SIGTERM');
    expect(await daemon.end(), daemon.logs()).to.deep.equal(STOPPED);
    expect(daemon.records('started')).to.deep.equal([]);
  });

  it('SIGHUP before the settings were read leads a router to the control members of the later settings', async () => {
    const control = new ControlStandin(EMPTY);
    try {
      const first = { ...settingsOf.router(), firstConfiguration: '1h' };
      const daemon = start('router');
      await daemon.listens();
      daemon.send('SIGHUP');
      await daemon.giveSettings(first, { ...first, control: [await control.start()] });
      await daemon.until('start with a configuration', () => daemon.records('started')[0]);
      expect(daemon.records('settings-reloaded').some(isBySignal)).to.equal(true);
    } finally {
      await control.stop();
    }
  });

  it('settings that change after a router has read them are noticed without a signal', async () => {
    const control = new ControlStandin(EMPTY);
    try {
      const first = { ...settingsOf.router(), firstConfiguration: '1h' };
      const daemon = start('router');
      await daemon.giveSettings(first, { ...first, control: [await control.start()] });
      await daemon.until('start with a configuration', () => daemon.records('started')[0]);
      expect(daemon.records('settings-reloaded').map((record) => record.why)).to.deep.equal(['file']);
    } finally {
      await control.stop();
    }
  });
});

function isBySignal(record: LogRecord): boolean {
  return record.why === 'signal';
}

async function isOpen(address: string): Promise<true | undefined> {
  return fetch(`http://${address}/healthz`).then(
    () => true,
    () => undefined,
  );
}
