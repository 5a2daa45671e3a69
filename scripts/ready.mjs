/**
 * Installs and builds what is missing or stale, then runs the command given as arguments.
 * Lets `npm run demo` and `npm test` work on a fresh clone without a step before them.
 */
import { spawn, spawnSync } from 'node:child_process';
import { existsSync, readdirSync, statSync } from 'node:fs';
import { join } from 'node:path';

/** Runs a program to its end with this terminal's streams; ends this process if it fails. */
function run(program, args) {
  const result = spawnSync(program, args, { stdio: 'inherit' });
  if (result.status !== 0) {
    process.exit(result.status ?? 1);
  }
}

/** Time in milliseconds of the newest change to any file below `folder`. */
function newestChange(folder) {
  const entries = readdirSync(folder, { recursive: true, withFileTypes: true });
  const times = entries
    .filter((entry) => entry.isFile())
    .map((entry) => statSync(join(entry.parentPath, entry.name)).mtimeMs);
  return Math.max(0, ...times);
}

/** Whether the compiled output is older than any source file. */
function isStale() {
  const stamp = 'build/.stamp';
  if (!existsSync(stamp)) {
    return true;
  }
  const built = statSync(stamp).mtimeMs;
  return ['src', 'test'].some((folder) => newestChange(folder) > built);
}

if (!existsSync('node_modules/typescript')) {
  run('npm', ['ci', '--no-audit', '--no-fund']);
}
if (isStale()) {
  run('node', ['scripts/build.mjs']);
}
const [program, ...args] = process.argv.slice(2);
if (program) {
  const child = spawn(program, args, { stdio: 'inherit' });
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, () => child.kill(signal));
  }
  child.on('exit', (code, signal) => process.exit(code ?? (signal ? 1 : 0)));
}
