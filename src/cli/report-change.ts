/** Reports the outcome of a change. */
import type { ChangeBody } from './api-types.js';
import type { Invocation } from './command-spec.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';

/** Prints the outcome and returns the exit code, which is 4 with `--wait` if the change isn't confirmed to be in force. */
export function reportChange(invocation: Invocation, subject: string, change: ChangeBody): ExitCode {
  const { options, io } = invocation;
  if (change.inForce) {
    io.write(`${subject}: in force everywhere, revision ${change.revision}\n`);
    return EXIT_CODES.ok;
  }
  if (!options.on('wait')) {
    io.write(`${subject}: accepted, revision ${change.revision}\n`);
    return EXIT_CODES.ok;
  }
  io.write(`${subject}: accepted, revision ${change.revision}\n`);
  io.writeError(`${subject}: not yet known to be in force on every router; see ternmount status\n`);
  return EXIT_CODES.unreachable;
}
