/** What is known of a process of a fleet that doesn't become ready. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import type { ProcessSpec } from '../../src/dev/fleet/process-spec.js';
import { ProcessFailedError, Supervisor } from '../../src/dev/fleet/supervisor.js';

/** Nobody listens there. */
const ADDRESS = '127.0.0.1:1';
const LOGGED = 'no address is free';

describe('a process of a fleet that ends before it is ready', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'ternmount-supervisor-test-'));
  });

  afterEach(() => {
    rmSync(folder, { recursive: true });
  });

  function specOf(script: string): ProcessSpec {
    return {
      name: 'reads-1',
      kind: 'upstream',
      zone: 'zone-a',
      host: '127.0.0.1',
      command: ['-e', `console.error('${LOGGED}'); ${script}`],
      readyAddress: ADDRESS,
      folder: join(folder, 'reads-1'),
    };
  }

  async function failureOf(run: Promise<void>): Promise<string> {
    const failure = await run.catch((thrown: unknown) => thrown);
    expect(failure).to.be.instanceOf(ProcessFailedError);
    return (failure as ProcessFailedError).message;
  }

  // Guards against failures of which nothing is known, since the folder with the log is removed with the run.
  for (const [script, end] of [
    ['process.exit(3)', 'status 3'],
    ["process.kill(process.pid, 'SIGKILL')", 'SIGKILL'],
  ] as const) {
    it(`is reported with its end and its last lines: ${end}`, async () => {
      const message = await failureOf(new Supervisor().start(specOf(script)));
      expect(message).to.include(`ended before it was ready, with ${end}`);
      expect(message).to.include(LOGGED);
    });
  }

  it('is reported with its end and its last lines when it is to run to its end', async () => {
    const message = await failureOf(new Supervisor().runToEnd(specOf('process.exit(3)')));
    expect(message).to.include('ended with status 3');
    expect(message).to.include(LOGGED);
  });
});
