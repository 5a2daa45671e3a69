/** A reader that stops reading neither blocks the process nor lets its memory grow; records per event are limited. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { RecordBudget } from '../../src/logging/record-budget.js';

const LOGGER = new URL('../../src/logging/logger.js', import.meta.url).href;
/** Logs about 30 MB and prints to standard error the longest iteration and the number of dropped lines. */
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
  it('keeps running without a reader, and counts dropped lines', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pause();
    let output = '';
    child.stderr.on('data', (chunk: Buffer) => {
      output += chunk;
    });
    const ended = await Promise.race([once(child, 'exit'), sleep(20_000)]);
    child.kill('SIGKILL');
    expect(ended, output).to.be.an('array');
    const { dropped, rss } = JSON.parse(output);
    expect(dropped).to.be.above(20_000);
    expect(rss).to.be.below(150 * 1024 * 1024);
  });

  it('writes whole lines to an active reader', async () => {
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
  it('counts records above the limit per event and second', () => {
    const budget = new RecordBudget(2);
    budget.startSecond(0);
    const taken = ['a', 'a', 'a', 'b', 'a'].map((event) => budget.tryTake(event));
    expect(taken).to.deep.equal([true, true, false, true, false]);
    expect(budget.startSecond(999)).to.equal(null);
    expect(budget.startSecond(1000)).to.deep.equal({ a: 2 });
    expect(budget.tryTake('a')).to.equal(true);
    expect(budget.startSecond(2000)).to.equal(null);
  });

  it('does not count samples as dropped, and counts them against the limit of the event', () => {
    const budget = new RecordBudget(3);
    budget.startSecond(0);
    const samples = [1, 2, 3, 4].map(() => budget.tryTakeSample('a', 2));
    expect(samples).to.deep.equal([true, true, false, false]);
    expect([budget.tryTake('a'), budget.tryTake('a')]).to.deep.equal([true, false]);
    expect(budget.startSecond(1000)).to.deep.equal({ a: 1 });
    expect(budget.tryTakeSample('a', 2)).to.equal(true);
  });
});
