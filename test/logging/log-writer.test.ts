/** A reader that stops reading neither blocks the process nor lets its memory grow; records per event are limited. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
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

/** Logs lines and exits as a daemon does, while the only thread that writes files is busy for a while. */
const EXITING_PROGRAM = `
  const { createLogger, flushLogs } = await import('${LOGGER}');
  const { pbkdf2 } = await import('node:crypto');
  const log = createLogger('test', { always: true });
  log.info('first');
  await new Promise((resolve) => setTimeout(resolve, 50));
  pbkdf2('a', 'b', 150_000, 64, 'sha512', () => {});
  for (let line = 0; line < LINES; line += 1) log.info('line', { text: 'x'.repeat(1000) });
  log.info('last');
  await flushLogs();
  process.exit(0);
`;
const EXIT_LIMIT_MILLIS = 10_000;

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

describe('the last lines of a process that exits', () => {
  const folder = mkdtempSync(join(tmpdir(), 'ternmount-log-'));
  after(() => rmSync(folder, { recursive: true }));

  function spawnExiting(lines: number, output: 'pipe' | number): ChildProcess {
    const program = EXITING_PROGRAM.replace('LINES', String(lines));
    return spawn(process.execPath, ['--input-type=module', '-e', program], {
      stdio: ['ignore', output, 'inherit'],
      env: { ...process.env, UV_THREADPOOL_SIZE: '1' },
    });
  }

  function lastEvent(text: string): string {
    return (JSON.parse(text.trim().split('\n').at(-1) ?? '{}') as { event: string }).event;
  }

  // Guards against a process that ends without the line that says why.
  it('are written to a file that takes them late', async () => {
    const path = join(folder, 'log');
    await once(spawnExiting(10, openSync(path, 'a')), 'exit');
    expect(lastEvent(readFileSync(path, 'utf8'))).to.equal('last');
  });

  // Guards against the same where a reader is slow.
  it('are written to a reader that takes them late', async () => {
    const child = spawnExiting(240, 'pipe');
    const stdout = child.stdout as Readable;
    let text = '';
    await once(stdout, 'readable');
    await sleep(200);
    stdout.on('data', (chunk: Buffer) => {
      text += chunk;
    });
    await once(child, 'close');
    expect(lastEvent(text)).to.equal('last');
  });

  it('do not keep it if nobody reads them', async () => {
    const child = spawnExiting(240, 'pipe');
    const ended = await Promise.race([once(child, 'exit'), sleep(EXIT_LIMIT_MILLIS)]);
    child.kill('SIGKILL');
    expect(ended).to.deep.equal([0, null]);
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
