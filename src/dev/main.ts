#!/usr/bin/env node
/**
 * `ternmount-dev`: stand-ins, the fleet runner and other tools of development. Every file of `commands/` that
 * exports a `command` is one of its commands.
 */
import { readdirSync } from 'node:fs';
import { cac } from 'cac';
import { toError } from '../errors/ternmount-error.js';
import type { DevCommand } from './commands/dev-command.js';

const COMMANDS_FOLDER = new URL('./commands/', import.meta.url);
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** Loads every command, in the order of file names. */
async function loadCommands(): Promise<DevCommand[]> {
  const files = readdirSync(COMMANDS_FOLDER)
    .filter((name) => name.endsWith('.js'))
    .sort();
  const commands: DevCommand[] = [];
  for (const file of files) {
    const module = (await import(new URL(file, COMMANDS_FOLDER).href)) as { command?: DevCommand };
    if (module.command) {
      commands.push(module.command);
    }
  }
  return commands;
}

async function main(): Promise<void> {
  const cli = cac('ternmount-dev');
  for (const command of await loadCommands()) {
    command.register(cli);
  }
  cli.help();
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
