/** Settings files that are missing or incomplete for a moment, with real daemons; and no part is taken for the whole. */
import { readFileSync, renameSync, writeFileSync } from 'node:fs';
import { expect } from 'chai';
import { stringify } from 'yaml';
import { SettingsError } from '../../src/settings/settings-error.js';
import { readYaml } from '../../src/settings/yaml-source.js';
import { ProcessCluster } from './process-cluster.js';

const NETWORK = 125;
const NAME = 'router';
const END = '# end of settings';

describe('settings files that are being written', () => {
  let cluster: ProcessCluster;
  let text = '';

  beforeEach(() => {
    cluster = new ProcessCluster(NETWORK);
    const settings = {
      ...cluster.shared,
      router: 'router-1',
      listen: `${cluster.host(1)}:8000`,
      admin: `${cluster.host(1)}:8001`,
      control: [`${cluster.host(2)}:8002`],
      firstConfiguration: '0s',
    };
    text = `# ends with: ${END}\n${stringify(settings)}probeInterval: 0s\n${END}\n`;
  });
  afterEach(() => cluster.close());

  const path = (): string => cluster.file('router.yaml');

  async function logged(event: string): Promise<void> {
    await cluster.until(event, async () => {
      expect(cluster.isRunning(NAME), cluster.logs()).to.equal(true);
      return readFileSync(cluster.file(`${NAME}.log`), 'utf8').includes(`"event":"${event}"`) || undefined;
    });
  }

  function start(): void {
    cluster.start(NAME, 'router', 'run', '--settings', path());
  }

  const INCOMPLETE: Readonly<Record<string, () => void>> = {
    missing: () => {},
    empty: () => writeFileSync(path(), ''),
    'cut within a value': () => writeFileSync(path(), text.slice(0, text.indexOf('listen') + 12)),
    'cut at the end of a line': () => writeFileSync(path(), text.slice(0, text.indexOf('probeInterval'))),
  };
  for (const [what, prepare] of Object.entries(INCOMPLETE)) {
    it(`a router doesn't end because of one that is ${what} at its start`, async () => {
      prepare();
      start();
      await logged('settings-awaited');
      writeFileSync(`${path()}.new`, text);
      renameSync(`${path()}.new`, path());
      await logged('started');
      expect(await cluster.end(NAME, 'SIGTERM')).to.equal(0);
    });
  }

  it("a router doesn't end because its secret is gone for a moment", async () => {
    writeFileSync(path(), text);
    const secret = cluster.file('secret');
    renameSync(secret, `${secret}.gone`);
    start();
    await logged('settings-awaited');
    renameSync(`${secret}.gone`, secret);
    await logged('started');
    expect(await cluster.end(NAME, 'SIGTERM')).to.equal(0);
  });

  it('a reload takes no part for the whole, and the whole file is read once it is there', async () => {
    writeFileSync(path(), text);
    start();
    await logged('started');
    writeFileSync(path(), text.slice(0, text.indexOf('probeInterval')));
    cluster.signal(NAME, 'SIGHUP');
    await logged('settings-unusable');
    writeFileSync(path(), text);
    await logged('settings-reloaded');
    expect(await cluster.end(NAME, 'SIGTERM')).to.equal(0);
  });

  it('no cut of a file that announces its end is read, but the whole and files without that line are', () => {
    for (let length = text.indexOf('\n') + 1; length < text.trimEnd().length; length += 1) {
      writeFileSync(path(), text.slice(0, length));
      expect(() => readYaml(path()), text.slice(0, length)).to.throw(SettingsError, 'is cut short');
    }
    for (const whole of [text, text.trimEnd(), text.replaceAll('\n', '\r\n'), 'zone: a\n', '']) {
      writeFileSync(path(), whole);
      expect(readYaml(path())).to.have.length(1);
    }
  });
});
