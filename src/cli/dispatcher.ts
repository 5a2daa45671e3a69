/**
 * Finds the subcommand of a command line and parses it with cac. cac supports only one-word commands, so the words of
 * `service apply` are passed to it as one.
 */
import { type CAC, cac } from 'cac';
import { toError } from '../errors/ternmount-error.js';
import { UsageError } from './cli-error.js';
import type { CommandSpec, OptionSpec } from './command-spec.js';
import { ParsedOptions } from './parsed-options.js';

export const PROGRAM_NAME = 'ternmount';

/** The parsed command line. */
export type Dispatch =
  | {
      readonly type: 'run';
      readonly command: CommandSpec;
      readonly positionals: readonly string[];
      readonly options: ParsedOptions;
    }
  /** cac has printed the help. */
  | { readonly type: 'help' }
  | { readonly type: 'version' };

/** Formats an option for help. */
function optionUsage(option: OptionSpec): string {
  return option.value === undefined ? `--${option.name}` : `--${option.name} <${option.value}>`;
}

function registerCommand(cli: CAC, spec: CommandSpec, onMatch: (values: readonly unknown[]) => void): void {
  const usage = spec.arguments === undefined ? spec.name : `${spec.name} ${spec.arguments}`;
  const command = cli.command(usage, spec.summary, { ignoreOptionDefaultValue: true });
  for (const option of spec.options) {
    command.option(optionUsage(option), option.summary);
    if (option.onByDefault) {
      command.option(`--no-${option.name}`, `Turn --${option.name} off`);
    }
  }
  for (const example of spec.examples ?? []) {
    command.example(`  $ ${PROGRAM_NAME} ${example}`);
  }
  command.action((...values: unknown[]) => onMatch(values.slice(0, -1)));
}

/** Returns the longest command whose words `words` start with. */
function findCommand(commands: readonly CommandSpec[], words: readonly string[]): CommandSpec | undefined {
  const isPrefix = (spec: CommandSpec) => {
    const parts = spec.name.split(' ');
    return parts.every((part, index) => words[index] === part);
  };
  return commands.filter(isPrefix).sort((left, right) => right.name.length - left.name.length)[0];
}

/** Returns the message for an unknown command, with the known alternatives. */
function describeUnknown(commands: readonly CommandSpec[], words: readonly string[]): string {
  const [noun = '', verb] = words;
  const commandsOfNoun = commands.filter((spec) => spec.name.split(' ')[0] === noun);
  if (commandsOfNoun.length === 0) {
    const nouns = [...new Set(commands.map((spec) => spec.name.split(' ')[0]))];
    return `unknown command ${JSON.stringify(noun)}; known: ${nouns.join(', ')}`;
  }
  const verbs = commandsOfNoun.map((spec) => spec.name.split(' ')[1]).join(', ');
  return verb === undefined || verb.startsWith('-')
    ? `${noun} needs one of: ${verbs}`
    : `unknown command "${noun} ${verb}"; ${noun} has: ${verbs}`;
}

function wantsHelp(words: readonly string[]): boolean {
  return words.includes('--help') || words.includes('-h');
}

/** Returns the commands of the noun in `words`, or all commands if there is none. */
function commandsForHelp(commands: readonly CommandSpec[], words: readonly string[]): readonly CommandSpec[] {
  const commandsOfNoun = commands.filter((spec) => spec.name.split(' ')[0] === words[0]);
  return commandsOfNoun.length > 0 ? commandsOfNoun : commands;
}

function createCli(commands: readonly CommandSpec[], matched: (values: readonly unknown[]) => void): CAC {
  const cli = cac(PROGRAM_NAME);
  cli.help();
  for (const spec of commands) {
    registerCommand(cli, spec, matched);
  }
  return cli;
}

function flatten(values: readonly unknown[]): string[] {
  return values
    .flat()
    .filter((value) => value !== undefined)
    .map(String);
}

/** Replaces the camel-case option names in cac's messages by hyphenated ones, as the user types them. */
function withHyphenatedNames(message: string): string {
  return message.replace(/--\w+/g, (name) => name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`));
}

/** Parses a command line without the program's name. Throws `UsageError`. */
export function dispatch(commands: readonly CommandSpec[], words: readonly string[]): Dispatch {
  if (words[0] === '--version' || words[0] === '-v') {
    return { type: 'version' };
  }
  const command = findCommand(commands, words);
  if (command === undefined) {
    if (words.length === 0 || wantsHelp(words)) {
      createCli(commandsForHelp(commands, words), () => {}).globalCommand.outputHelp();
      return { type: 'help' };
    }
    throw new UsageError(describeUnknown(commands, words));
  }
  const rest = words.slice(command.name.split(' ').length);
  let positionals: string[] | undefined;
  const cli = createCli([command], (values) => {
    positionals = flatten(values);
  });
  try {
    cli.parse(['node', PROGRAM_NAME, command.name, ...rest]);
  } catch (thrown) {
    const message = withHyphenatedNames(toError(thrown).message);
    throw new UsageError(`${message}; see ${PROGRAM_NAME} ${command.name} --help`);
  }
  if (positionals === undefined) {
    return { type: 'help' };
  }
  return { type: 'run', command, positionals, options: new ParsedOptions(command.options, rest) };
}
