#!/usr/bin/env node
/** `ternmount-dev`: stand-ins, the fleet runner and other development tools. */
import { toError } from '../errors/ternmount-error.js';
import { createDevCli } from './dev-cli.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

async function main(): Promise<void> {
  const cli = await createDevCli();
  cli.parse(process.argv, { run: false });
  if (cli.matchedCommand) {
    await cli.runMatchedCommand();
    return;
  }
  if (!cli.options.help) {
    cli.outputHelp();
    process.exitCode = EXIT_USAGE;
  }
}

main().catch((thrown: unknown) => {
  const error = toError(thrown);
  const usage = error.name === 'CACError';
  process.stderr.write(`ternmount-dev: ${usage ? error.message : (error.stack ?? error.message)}\n`);
  process.exit(usage ? EXIT_USAGE : EXIT_FAILURE);
});
