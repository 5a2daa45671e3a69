/** The command line of `ternmount-dev`: every file of `commands/` that exports a `command` adds one. */
import { readdirSync } from 'node:fs';
import { type CAC, cac } from 'cac';
import type { DevCommand } from './commands/dev-command.js';

const COMMANDS_FOLDER = new URL('./commands/', import.meta.url);

/** Loads every command, in file name order. */
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

/** Creates the command line with all commands, without parsing any arguments. */
export async function createDevCli(): Promise<CAC> {
  const cli = cac('ternmount-dev');
  for (const command of await loadCommands()) {
    command.register(cli);
  }
  cli.help();
  return cli;
}
