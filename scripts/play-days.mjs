/**
 * Plays the days of `deploy/days/` on a deployment of the users' bench and prints a table, a row a day:
 * `play-days.mjs BENCH SITE [DAY...]`, with the paths of the bench's program and of the site's file.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';

const FOLDER = 'deploy/days';
/** Days that are played at once. */
const AT_ONCE = 3;

const [bench, site, ...named] = process.argv.slice(2);
if (bench === undefined || site === undefined) {
  console.error('usage: play-days.mjs BENCH SITE [DAY...]');
  process.exit(2);
}
const days = named.length > 0 ? named : readdirSync(FOLDER).map((file) => basename(file, '.toml'));
const reports = mkdtempSync(join(tmpdir(), 'days-'));

/** Plays one day; gives its row. */
async function play(day) {
  const report = join(reports, `${day}.json`);
  const words = ['run', site, `${FOLDER}/${day}.toml`, '--report', report, '--why', `own day ${day}`];
  const output = [];
  const child = spawn(bench, words, { stdio: ['ignore', 'pipe', 'pipe'] });
  child.stdout.on('data', (text) => output.push(text));
  child.stderr.on('data', (text) => output.push(text));
  const status = await new Promise((resolve) => child.on('exit', resolve));
  try {
    const { G, served, breaks, fault } = JSON.parse(readFileSync(report, 'utf8'));
    const rules = Object.entries(breaks).map(([rule, count]) => `${rule} ${count}`);
    return [day, G.toFixed(3), served.toFixed(3), rules.join(', ') || 'none', fault ?? 'none'];
  } catch {
    const said = Buffer.concat(output).toString('utf8').trim().split('\n').at(-1);
    return [day, '-', '-', '-', `not played (status ${status}): ${said}`];
  }
}

const rows = new Map();
const waiting = [...days];
async function work() {
  for (let day = waiting.shift(); day !== undefined; day = waiting.shift()) {
    rows.set(day, await play(day));
  }
}
await Promise.all(Array.from({ length: AT_ONCE }, work));
rmSync(reports, { recursive: true, force: true });
console.log('| day | worth | served | rules broken | fault |\n|---|---|---|---|---|');
for (const day of days) {
  console.log(`| ${rows.get(day).join(' | ')} |`);
}
