/** Compiles the sources and tests into `build/` from nothing, so that no file of a removed module stays behind. */
import { spawnSync } from 'node:child_process';
import { rmSync, writeFileSync } from 'node:fs';

rmSync('build', { recursive: true, force: true });
const result = spawnSync('node', ['node_modules/typescript/bin/tsc', '-p', 'tsconfig.json'], {
  stdio: 'inherit',
});
if (result.status !== 0) {
  process.exit(result.status ?? 1);
}
writeFileSync('build/.stamp', `${new Date().toISOString()}\n`);
