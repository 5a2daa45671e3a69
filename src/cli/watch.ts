/** Repeats a query until it is interrupted. */
import type { CliIo } from './cli-io.js';
import type { Invocation, OptionSpec } from './command-spec.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

const DEFAULT_INTERVAL_MILLIS = 2000;
const CLEAR_SCREEN = '\u001b[2J\u001b[H';

export const WATCH_OPTIONS: readonly OptionSpec[] = [
  { name: 'watch', summary: 'Repeat until interrupted' },
  { name: 'interval', value: 'duration', summary: 'Time between two repeats with --watch; default 2s' },
];

function clearScreen(io: CliIo, format: string): void {
  if (format === 'table') {
    io.write(CLEAR_SCREEN);
  }
}

/** Runs `query` once, or repeatedly with `--watch`. A failed repeat is printed and doesn't end the watch. */
export async function runWatched(
  invocation: Invocation,
  format: string,
  query: () => Promise<ExitCode>,
): Promise<ExitCode> {
  const { options, io } = invocation;
  if (!options.on('watch')) {
    return query();
  }
  const interval = options.duration('interval') ?? DEFAULT_INTERVAL_MILLIS;
  while (!io.stopSignal.aborted) {
    clearScreen(io, format);
    await query().catch((error: Error) => {
      if (!io.stopSignal.aborted) {
        io.writeError(`ternmount: ${error.message}\n`);
      }
    });
    await io.sleep(interval);
  }
  return EXIT_CODES.ok;
}
