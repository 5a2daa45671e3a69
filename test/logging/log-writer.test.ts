/** A reader who stops reading neither blocks the process nor makes it grow; records of one event are bounded. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { RecordBudget } from '../../src/logging/record-budget.js';

const LOGGER = new URL('../../src/logging/logger.js', import.meta.url).href;
/** Logs some 30 MB and says on standard error how long that took and what was dropped. */
const PROGRAM = `
  const { createLogger, droppedLogLines, enableLogs } = await import('${LOGGER}');
  enableLogs('ternmount:*');
  const log = createLogger('test', { always: true });
  const began = performance.now();
  let longest = 0;
  for (let turn = 0; turn < 300; turn += 1) {
    const start = performance.now();
    for (let line = 0; line < 100; line += 1) log.info('line', { text: 'x'.repeat(1000) });
    await new Promise((resolve) => setImmediate(resolve));
    longest = Math.max(longest, performance.now() - start);
  }
  const { rss } = process.memoryUsage();
  console.error(JSON.stringify({ longest, dropped: droppedLogLines(), rss }));
  process.exit(0);
`;

describe('log writer', () => {
  it('goes on when nobody reads, and counts what it drops', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pause();
    let told = '';
    child.stderr.on('data', (chunk: Buffer) => {
      told += chunk;
    });
    const ended = await Promise.race([once(child, 'exit'), sleep(20_000)]);
    child.kill('SIGKILL');
    expect(ended, told).to.be.an('array');
    const { dropped, rss } = JSON.parse(told);
    expect(dropped).to.be.above(20_000);
    expect(rss).to.be.below(150 * 1024 * 1024);
  });

  it('writes whole lines to one who reads', async () => {
    const program = PROGRAM.replace('turn < 300', 'turn < 1');
    const child = spawn(process.execPath, ['--input-type=module', '-e', program], {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    let text = '';
    child.stdout.on('data', (chunk: Buffer) => {
      text += chunk;
    });
    await once(child, 'close');
    const lines = text.trim().split('\n');
    expect(lines.length).to.be.above(0);
    for (const line of lines) {
      expect(JSON.parse(line)).to.include({ event: 'line', namespace: 'test' });
    }
  });
});

describe('budget of records', () => {
  it('counts what is above the bound by event, second by second', () => {
    const budget = new RecordBudget(2);
    budget.turn(0);
    const taken = ['a', 'a', 'a', 'b', 'a'].map((event) => budget.take(event));
    expect(taken).to.deep.equal([true, true, false, true, false]);
    expect(budget.turn(999)).to.equal(null);
    expect(budget.turn(1000)).to.deep.equal({ a: 2 });
    expect(budget.take('a')).to.equal(true);
    expect(budget.turn(2000)).to.equal(null);
  });

  it('counts no sample as dropped, and takes samples within the bound on all', () => {
    const budget = new RecordBudget(3);
    budget.turn(0);
    const samples = [1, 2, 3, 4].map(() => budget.takeSample('a', 2));
    expect(samples).to.deep.equal([true, true, false, false]);
    expect([budget.take('a'), budget.take('a')]).to.deep.equal([true, false]);
    expect(budget.turn(1000)).to.deep.equal({ a: 1 });
    expect(budget.takeSample('a', 2)).to.equal(true);
  });
});
