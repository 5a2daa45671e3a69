/** The log of a real daemon says why it ended, and with which exit code. */
import { type StdioOptions, spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { ProcessCluster } from './process-cluster.js';

const PROGRAM = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const NETWORK = 120;
const EXIT_USAGE = 2;

interface LogRecord {
  readonly event: string;
  readonly [field: string]: unknown;
}

describe('end of a daemon', () => {
  let cluster: ProcessCluster;

  beforeEach(() => {
    cluster = new ProcessCluster(NETWORK);
  });
  afterEach(() => cluster.close());

  function startRouter(settings: object = {}): void {
    const file = cluster.write('router.yaml', {
      ...cluster.shared,
      router: 'router-1',
      listen: `${cluster.host(1)}:8000`,
      admin: `${cluster.host(1)}:8001`,
      control: [`${cluster.host(2)}:8002`],
      firstConfiguration: '0s',
      ...settings,
    });
    cluster.start('router', 'router', 'run', '--settings', file);
  }

  function records(event: string): LogRecord[] {
    return readFileSync(cluster.file('router.log'), 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line) as LogRecord)
      .filter((record) => record.event === event);
  }

  it('by a signal is logged with the signal and its time', async () => {
    startRouter();
    await cluster.until('a start', async () => records('started')[0]);
    expect(await cluster.end('router', 'SIGTERM')).to.equal(0);
    const [received] = records('signal-received');
    expect(received).to.include({ signal: 'SIGTERM' });
    const [ended] = records('process-ended');
    expect(ended).to.include({ exitCode: 0, signal: 'SIGTERM', signalUptimeMillis: received?.uptimeMillis });
    expect(ended?.uptimeMillis).to.be.at.least(received?.uptimeMillis as number);
  });

  it('at its start is logged with the error and the exit code, beside the line on standard error', async () => {
    startRouter({ zone: undefined });
    const exited = await cluster.until('an end', async () =>
      cluster.isRunning('router') ? undefined : { log: readFileSync(cluster.file('router.log'), 'utf8') },
    );
    expect(exited.log).to.match(/^ternmount: .*zone: is missing \(expected string\)$/m);
    const [ended] = records('process-ended');
    expect(ended).to.include({ level: 'error', exitCode: EXIT_USAGE });
    expect(ended?.error).to.have.property('message').that.contains('zone: is missing');
  });

  it('at its start keeps its exit code if nobody reads standard error', async () => {
    const file = cluster.write('unusable.yaml', { ...cluster.shared, router: 'router-1' });
    const stdio: StdioOptions = ['ignore', 'ignore', 'pipe'];
    const child = spawn(process.execPath, [PROGRAM, 'router', 'run', '--settings', file], { stdio });
    child.stderr?.destroy();
    expect(await once(child, 'exit')).to.deep.equal([EXIT_USAGE, null]);
  });
});
