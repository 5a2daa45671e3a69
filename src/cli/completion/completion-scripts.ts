/** Completion scripts for shells. They contain every word, so that completion starts no process. */
import type { CommandSpec } from '../command-spec.js';
import { PROGRAM_NAME } from '../dispatcher.js';
import { type CompletionEntry, completionEntries } from './completion-words.js';

export const COMPLETION_SHELLS = ['bash', 'zsh', 'fish'] as const;
export type CompletionShell = (typeof COMPLETION_SHELLS)[number];

const FUNCTION_NAME = '_ternmount';

/** Returns one `case` branch for bash and zsh. */
function caseBranch({ path, words, isCommand }: CompletionEntry): string {
  const pattern = path === '' ? '""' : `"${path}"`;
  const files = isCommand ? 1 : 0;
  return `    ${pattern}) words="${words.join(' ')}"; files=${files} ;;`;
}

/** Returns the bash script, which finds the longest known path of the line and completes the words after it. */
function bashScript(entries: readonly CompletionEntry[]): string {
  return `# bash completion of ${PROGRAM_NAME}
${FUNCTION_NAME}_words() {
  case "$1" in
${entries.map(caseBranch).join('\n')}
    *) return 1 ;;
  esac
}

${FUNCTION_NAME}() {
  local current="\${COMP_WORDS[COMP_CWORD]}" path="" longer words="" files=0 index
  for ((index = 1; index < COMP_CWORD; index++)); do
    longer="\${path:+$path }\${COMP_WORDS[index]}"
    ${FUNCTION_NAME}_words "$longer" || break
    path="$longer"
  done
  ${FUNCTION_NAME}_words "$path"
  COMPREPLY=()
  if [[ $files == 0 || $current == -* ]]; then
    COMPREPLY=($(compgen -W "$words" -- "$current"))
  else
    COMPREPLY=($(compgen -f -- "$current"))
  fi
}

complete -o filenames -F ${FUNCTION_NAME} ${PROGRAM_NAME}
`;
}

function zshScript(entries: readonly CompletionEntry[]): string {
  return `#compdef ${PROGRAM_NAME}
${FUNCTION_NAME}_words() {
  case "$1" in
${entries.map(caseBranch).join('\n')}
    *) return 1 ;;
  esac
}

${FUNCTION_NAME}() {
  local path_words="" longer words_line="" index
  local -i files=0
  local words_of_line=("\${words[@]}") current_index=$CURRENT
  for ((index = 2; index < current_index; index++)); do
    longer="\${path_words:+$path_words }\${words_of_line[index]}"
    () { local words; ${FUNCTION_NAME}_words "$longer" } || break
    path_words="$longer"
  done
  () { local words; ${FUNCTION_NAME}_words "$path_words"; words_line="$words" }
  if [[ $files == 0 || "\${words_of_line[current_index]}" == -* ]]; then
    compadd -- \${=words_line}
  else
    _files
  fi
}

compdef ${FUNCTION_NAME} ${PROGRAM_NAME}
`;
}

function quoteFish(text: string): string {
  return `'${text.replaceAll('\\', '\\\\').replaceAll("'", "\\'")}'`;
}

/** Returns the fish script. Each word is a separate rule with a condition on the preceding words. */
function fishScript(commands: readonly CommandSpec[], entries: readonly CompletionEntry[]): string {
  const rules = entries
    .filter(({ isCommand }) => !isCommand)
    .flatMap(({ path, words }) =>
      words.map((word) => `complete -c ${PROGRAM_NAME} -f -n '${FUNCTION_NAME}_at "${path}"' -a ${word}`),
    );
  const options = commands.flatMap(({ name, options: specs }) =>
    specs.map((spec) => {
      const value = spec.value === undefined ? '' : ' -r';
      const description = quoteFish(spec.summary);
      const condition = `-n '${FUNCTION_NAME}_in "${name}"'`;
      return `complete -c ${PROGRAM_NAME} ${condition} -l ${spec.name}${value} -d ${description}`;
    }),
  );
  return `# fish completion of ${PROGRAM_NAME}
function ${FUNCTION_NAME}_line
  set -l words (commandline -opc)
  string join ' ' $words[2..-1]
end

function ${FUNCTION_NAME}_at
  test (${FUNCTION_NAME}_line) = "$argv[1]"
end

function ${FUNCTION_NAME}_in
  string match -q -- "$argv[1]*" (${FUNCTION_NAME}_line)
end

${[...rules, ...options].join('\n')}
`;
}

/** Returns the script that completes `commands` in a shell. */
export function completionScript(shell: CompletionShell, commands: readonly CommandSpec[]): string {
  const entries = completionEntries(commands);
  switch (shell) {
    case 'bash':
      return bashScript(entries);
    case 'zsh':
      return zshScript(entries);
    case 'fish':
      return fishScript(commands, entries);
  }
}
