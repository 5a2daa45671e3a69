/** `ternmount-dev scale`: simulated routers and upstreams with real control members and a few real routers. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { CAC } from 'cac';
import { runScale } from '../scale/scale-run.js';
import { formatResult } from '../scale/scale-table.js';
import type { DevCommand } from './dev-command.js';

interface ScaleCommandOptions {
  readonly daemons: number;
  readonly shards: number;
  readonly seconds: number;
  readonly election?: number;
  readonly out?: string;
  /** Folder for CPU profiles of the control members. */
  readonly profile?: string;
}

async function scale(options: ScaleCommandOptions): Promise<void> {
  const result = await runScale({
    daemons: options.daemons,
    shards: options.shards,
    seconds: options.seconds,
    electionMillis: options.election,
    controlFlags: options.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`],
    progress: (phase) => process.stderr.write(`scale: ${phase}\n`),
  });
  const text = formatResult(result);
  if (options.out !== undefined) {
    mkdirSync(options.out, { recursive: true });
    const name = `scale-${result.daemons}-${result.shards}`;
    writeFileSync(join(options.out, `${name}.json`), `${JSON.stringify(result, null, 2)}\n`);
    writeFileSync(join(options.out, `${name}.txt`), text);
  }
  process.stdout.write(text);
}

export const command: DevCommand = {
  register(cli: CAC): void {
    cli
      .command(
        'scale',
        'Measure control traffic at a given size: simulated routers and upstreams, real control members',
      )
      .option('--daemons <count>', 'Number of control members and routers together', { default: 300 })
      .option('--shards <count>', 'Number of shards; one upstream server for each 75', { default: 22_500 })
      .option('--seconds <count>', 'Duration of the steady state', { default: 8 })
      .option('--election <ms>', "Election timeout of the control members; default: the daemon's own")
      .option('--out <folder>', 'Write the result here as JSON and text')
      .option('--profile <folder>', 'Write CPU profiles of the control members here')
      .action(scale);
  },
};
