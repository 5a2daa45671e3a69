/** What a daemon's start refuses: one line with the place, exit code 2, and nothing touched. */
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { stringify } from 'yaml';
import { createReplica, lockFolder } from '../../src/storage/index.js';
import { type CommandLineResult, runLine } from './command-line-run.js';

const EXIT_USAGE = 2;
const EXIT_REPLICA_LOST = 6;
const HOST = `127.62.${process.pid % 250}.1`;

const CONTROL = {
  cluster: 'demo',
  zone: 'zone-1',
  listen: `${HOST}:8002`,
  admin: `${HOST}:8001`,
};
const ROUTER = {
  cluster: 'demo',
  router: 'router-1',
  zone: 'zone-1',
  listen: `${HOST}:8000`,
  admin: `${HOST}:8001`,
  control: [`${HOST}:8002`],
};

interface WrongStart {
  readonly settings: object;
  readonly flags?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** Only seen by `control run`, which reads the file or opens the port. */
  readonly runOnly?: boolean;
  /** Parts of the line; `FILE` stands for the settings file. */
  readonly says: readonly string[];
}

/** Long enough for a secret. */
const SOME_FILE = fileURLToPath(new URL('../../../package.json', import.meta.url));

const WRONG_CONTROL: Record<string, WrongStart> = {
  'an unknown key': { settings: { ...CONTROL, colour: 'red' }, says: ['FILE:5:1: colour: unknown key'] },
  'a unit left out': {
    settings: { ...CONTROL, timings: { lease: 2000 } },
    says: ['FILE:6:10: timings.lease: duration 2000 has no unit'],
  },
  'an unknown unit': {
    settings: { ...CONTROL, replaceAfter: '5 fortnights' },
    says: ['FILE:5:15: replaceAfter:', 'unknown unit'],
  },
  'a host name for an address': {
    settings: { ...CONTROL, listen: 'localhost:8002' },
    says: ['FILE:3:9: listen: "localhost:8002" isn\'t an IP number with a port'],
  },
  'an address without a port': { settings: { ...CONTROL, admin: HOST }, says: ['FILE:4:8: admin:'] },
  'an address for all without one to advertise': {
    settings: { ...CONTROL, listen: '0.0.0.0:8002' },
    says: ['advertise: is missing'],
  },
  'a missing value': { settings: { ...CONTROL, cluster: undefined }, says: ['cluster: is missing'] },
  'an unknown zone': {
    settings: { ...CONTROL, zones: ['zone-2', 'zone-3'] },
    says: ['zone: unknown zone "zone-1" (zones: zone-2, zone-3)'],
  },
  'a heartbeat too long': {
    settings: { ...CONTROL, timings: { heartbeat: '200ms', electionTimeout: '300ms' } },
    says: ['timings.heartbeat', 'at most half of electionTimeout'],
  },
  'an open admin address without tokens': {
    settings: { ...CONTROL, admin: '203.0.113.1:8001' },
    says: ['tokensFile: is missing'],
  },
  'a wrong value in the environment': {
    settings: CONTROL,
    environment: { TERNMOUNT_TIMINGS_LEASE: '2' },
    says: ['TERNMOUNT_TIMINGS_LEASE: duration 2 has no unit'],
  },
  'a wrong value of a flag, which stands above the environment': {
    settings: CONTROL,
    environment: { TERNMOUNT_LISTEN: `${HOST}:8002` },
    flags: ['--listen', 'here'],
    says: ['--listen: "here" isn\'t an IP number'],
  },
  'an unknown flag': { settings: CONTROL, flags: ['--colour', 'red'], says: ['colour'] },
  'a tokens file that is not there': {
    settings: { ...CONTROL, tokensFile: '/nowhere/tokens.yaml' },
    runOnly: true,
    says: ['/nowhere/tokens.yaml: no such file'],
  },
  'a secret file that is not there': {
    settings: { ...CONTROL, secretFile: '/nowhere/secret' },
    runOnly: true,
    says: ["/nowhere/secret: can't be read (ENOENT)"],
  },
  "an address that isn't the machine's": {
    settings: { ...CONTROL, listen: '203.0.113.1:8002', secretFile: SOME_FILE },
    runOnly: true,
    says: ["203.0.113.1:8002 isn't an address of this machine"],
  },
};

const WRONG_ROUTER: Record<string, WrongStart> = {
  'an unknown key': { settings: { ...ROUTER, dataFolder: 'x' }, says: ['FILE:8:1: dataFolder: unknown key'] },
  'a host name among the control addresses': {
    settings: { ...ROUTER, control: [`${HOST}:8002`, 'control-2:8002'] },
    says: ['FILE:8:5: control[1]: "control-2:8002" isn\'t an IP number with a port'],
  },
  'no control address': { settings: { ...ROUTER, control: [] }, says: ['control: needs one or more'] },
  'a size without a unit': {
    settings: { ...ROUTER, requestBody: 1000 },
    says: ['requestBody: size 1000 has no unit'],
  },
  'another scheme of a URL': { settings: { ...ROUTER, platformUrl: 'ftp://x/' }, says: ['platformUrl:'] },
  'the same port twice': { settings: { ...ROUTER, admin: ROUTER.listen }, says: ['admin: must differ'] },
};

describe('start of a daemon', () => {
  let folder: string;
  let file: string;
  let dataFolder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-start-'));
    file = join(folder, 'settings.yaml');
    dataFolder = join(folder, 'data');
  });
  afterEach(() => rmSync(folder, { recursive: true, force: true }));

  function start(words: readonly string[], wrong: Omit<WrongStart, 'says'>): Promise<CommandLineResult> {
    writeFileSync(file, stringify(wrong.settings));
    return runLine([...words, '--settings', file, ...(wrong.flags ?? [])], wrong.environment);
  }

  function expectRefusal(result: CommandLineResult, says: readonly string[]): void {
    expect(result.exitCode, result.errors).to.equal(EXIT_USAGE);
    expect(result.errors.trimEnd().split('\n'), 'one line').to.have.length(1);
    for (const part of says) {
      expect(result.errors).to.contain(part.replace('FILE', file));
    }
    expect(result.output).to.equal('');
  }

  for (const [name, wrong] of Object.entries(WRONG_CONTROL)) {
    for (const verb of ['init', 'run']) {
      if (verb === 'run' || !wrong.runOnly) {
        it(`control ${verb} refuses ${name}`, async () => {
          const settings = { ...wrong.settings, dataFolder };
          expectRefusal(await start(['control', verb], { ...wrong, settings }), wrong.says);
          expect(readdirSync(folder)).to.deep.equal(['settings.yaml']);
        });
      }
    }
  }
  for (const [name, wrong] of Object.entries(WRONG_ROUTER)) {
    it(`router run refuses ${name}`, async () => {
      expectRefusal(await start(['router', 'run'], wrong), wrong.says);
    });
  }

  it('refuses a settings file that is not there, or is no map', async () => {
    expectRefusal(await runLine(['router', 'run', '--settings', '/nowhere.yaml']), [
      '/nowhere.yaml: no such file',
    ]);
    writeFileSync(file, '[1, 2]\n');
    expectRefusal(await runLine(['router', 'run', '--settings', file]), ['FILE:1:1: must be a map']);
    writeFileSync(file, 'cluster: [demo\n');
    expectRefusal(await runLine(['router', 'run', '--settings', file]), ['FILE:']);
  });

  describe('with a data folder', () => {
    let before: Record<string, string>;

    function contents(): Record<string, string> {
      const names = readdirSync(dataFolder);
      return Object.fromEntries(names.map((name) => [name, readFileSync(join(dataFolder, name), 'base64')]));
    }

    beforeEach(async () => {
      const replica = { cluster: 'demo', address: CONTROL.listen, role: 'first' } as const;
      await createReplica(dataFolder, replica);
      before = contents();
    });

    function run(settings: object = CONTROL): Promise<CommandLineResult> {
      return start(['control', 'run'], { settings: { ...settings, dataFolder } });
    }

    for (const port of ['listen', 'admin'] as const) {
      it(`refuses a port in use: ${port}`, async () => {
        const server = await occupy(CONTROL[port]);
        try {
          expectRefusal(await run(), [`${CONTROL[port]} is in use by another process`]);
          expect(contents()).to.deep.equal(before);
        } finally {
          await new Promise((resolve) => server.close(resolve));
        }
      });
    }

    it('refuses a folder that a living process holds', async () => {
      const lock = lockFolder(dataFolder);
      before = contents();
      expectRefusal(await run(), [dataFolder, `locked by process ${process.pid}`]);
      expect(contents()).to.deep.equal(before);
      lock.release();
      expect(readdirSync(dataFolder)).to.not.include('lock');
    });

    it('refuses the folder of another cluster', async () => {
      expectRefusal(await run({ ...CONTROL, cluster: 'other' }), ['belongs to cluster demo, not to other']);
      expect(contents()).to.deep.equal(before);
    });

    it('makes no replica over one that is there', async () => {
      for (const verb of ['init', 'join']) {
        const result = await start(['control', verb], { settings: { ...CONTROL, dataFolder } });
        expectRefusal(result, [dataFolder, 'holds a replica already']);
        expect(contents()).to.deep.equal(before);
      }
    });

    it('refuses a folder without a replica', async () => {
      rmSync(dataFolder, { recursive: true });
      expectRefusal(await run(), [dataFolder, 'holds no replica', 'control init']);
      mkdirSync(dataFolder);
      writeFileSync(join(dataFolder, 'notes.txt'), 'mine');
      const result = await start(['control', 'init'], { settings: { ...CONTROL, dataFolder } });
      expectRefusal(result, ["isn't empty (notes.txt)"]);
    });

    it('says that the replica is lost when its files are damaged, with an exit code of its own', async () => {
      rmSync(join(dataFolder, 'log-000000000001.wal'));
      const result = await run();
      expect(result.exitCode).to.equal(EXIT_REPLICA_LOST);
      expect(result.errors)
        .to.contain('there is no log; this replica is lost')
        .and.to.contain('control join');
    });
  });

  describe('lock of a data folder', () => {
    it('is taken over from a process that is gone, or whose id another process has by now', () => {
      for (const holder of [
        { pid: 2 ** 22 + 1, startTime: '1' },
        { pid: process.pid, startTime: '1' },
        'x',
      ]) {
        writeFileSync(join(folder, 'lock'), JSON.stringify(holder));
        lockFolder(folder).release();
        expect(readdirSync(folder)).to.deep.equal([]);
      }
    });
  });
});

function occupy(address: string): Promise<Server> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(Number(port), host, () => resolve(server));
  });
}
