/** `completion`: prints the script that completes commands and options in a shell. */
import { UsageError } from '../cli-error.js';
import type { CommandSpec } from '../command-spec.js';
import { COMPLETION_SHELLS, completionScript } from '../completion/completion-scripts.js';
import { EXIT_CODES } from '../exit-codes.js';

/** Creates the command; `commands` returns all commands, including this one. */
export function createCompletion(commands: () => readonly CommandSpec[]): CommandSpec {
  return {
    name: 'completion',
    arguments: '<shell>',
    summary: `Print the completion script of a shell: ${COMPLETION_SHELLS.join(', ')}`,
    options: [],
    examples: ['completion bash > /etc/bash_completion.d/ternmount', 'completion fish | source'],
    run: async ({ io, positionals }) => {
      const [word = ''] = positionals;
      const shell = COMPLETION_SHELLS.find((candidate) => candidate === word);
      if (shell === undefined) {
        throw new UsageError(`${JSON.stringify(word)} isn't one of ${COMPLETION_SHELLS.join(', ')}`);
      }
      io.write(completionScript(shell, commands()));
      return EXIT_CODES.ok;
    },
  };
}
