/** Tests what `request explain` finds in log files. */
import { expect } from 'chai';
import { runCli, ScratchFolder } from './cli-harness.js';

function record(second: number, event: string, fields: object): string {
  const time = `2026-01-01T00:00:0${second}.000Z`;
  return `${JSON.stringify({ time, level: 'info', process: 'p', zone: 'a', namespace: 'n', event, ...fields })}\n`;
}

const RANGES = [
  record(1, 'range-changed', { service: 'seats', from: 0, to: 99, owner: 'u1', fence: 3, former: null }),
  record(2, 'range-changed', { service: 'seats', from: 0, to: 99, owner: 'u2', fence: 4, former: null }),
  record(3, 'range-changed', { service: 'cards', from: 0, to: 99, owner: 'u9', fence: 5, former: null }),
].join('');

describe('request explain', () => {
  let folder: ScratchFolder;

  beforeEach(() => {
    folder = new ScratchFolder();
  });

  afterEach(() => folder.remove());

  async function explain(request: object): Promise<string> {
    const control = folder.write('control.log', RANGES);
    const router = folder.write('router.log', record(4, 'request-refused', { id: 'q1', ...request }));
    const { output } = await runCli(['request', 'explain', 'q1', router, control]);
    return output;
  }

  it('prints the last change of the range that contains the key', async () => {
    const output = await explain({ service: 'seats', key: '7' });
    expect(output).to.include('"fence":4').and.not.include('"fence":3').and.not.include('"fence":5');
  });

  it('prints no range for a service without keys, even if clients send a key', async () => {
    expect(await explain({ service: 'orders', key: '7' })).not.to.include('range-changed');
  });

  it('prints no range for a request without a service', async () => {
    expect(await explain({ key: '7' })).not.to.include('range-changed');
  });

  it('reports that there is no record', async () => {
    const log = folder.write('router.log', RANGES);
    const { exitCode, errors } = await runCli(['request', 'explain', 'q2', log]);
    expect(exitCode).not.to.equal(0);
    expect(errors).to.include('no record of request "q2"');
  });
});
