/** What a shell may complete, read off the commands. */
import type { CommandSpec } from '../command-spec.js';

/** Words that may follow the words of a command line so far. */
export interface CompletionEntry {
  /** Words before, e.g. `service apply`; empty for the first word. */
  readonly path: string;
  /** Next words, or options of a whole command. */
  readonly words: readonly string[];
  /** Whether `path` is a whole command, whose arguments may be files. */
  readonly isCommand: boolean;
}

const HELP_OPTION = '--help';

function optionWords(spec: CommandSpec): string[] {
  const words = spec.options.flatMap(({ name, onByDefault }) =>
    onByDefault ? [`--${name}`, `--no-${name}`] : [`--${name}`],
  );
  return [...new Set([...words, HELP_OPTION])];
}

/** Every place at which something can be completed. */
export function completionEntries(commands: readonly CommandSpec[]): CompletionEntry[] {
  const next = new Map<string, Set<string>>([['', new Set()]]);
  for (const { name } of commands) {
    const parts = name.split(' ');
    parts.forEach((part, index) => {
      const path = parts.slice(0, index).join(' ');
      next.set(path, (next.get(path) ?? new Set()).add(part));
    });
  }
  const partial = [...next].map(([path, words]) => ({ path, words: [...words], isCommand: false }));
  const whole = commands.map((spec) => ({ path: spec.name, words: optionWords(spec), isCommand: true }));
  return [...partial, ...whole];
}
