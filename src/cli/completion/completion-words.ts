/** Derives completion words from the command specs. */
import type { CommandSpec } from '../command-spec.js';

/** The words that may follow a partial command line. */
export interface CompletionEntry {
  /** Preceding words, e.g. `service apply`; empty for the first word. */
  readonly path: string;
  /** Next words, or the options of a complete command. */
  readonly words: readonly string[];
  /** Whether `path` is a complete command, whose arguments may be files. */
  readonly isCommand: boolean;
}

const HELP_OPTION = '--help';

function optionWords(spec: CommandSpec): string[] {
  const words = spec.options.flatMap(({ name, onByDefault }) =>
    onByDefault ? [`--${name}`, `--no-${name}`] : [`--${name}`],
  );
  return [...new Set([...words, HELP_OPTION])];
}

/** Returns an entry for every path that can be completed. */
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
