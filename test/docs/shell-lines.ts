/** Command lines of `ternmount` and `ternmount-dev` in shell blocks, split as a shell would. */
import type { Block } from './pages.js';

/** One command line. */
export interface ShellLine {
  readonly place: string;
  readonly program: string;
  /** Words after the program's name. */
  readonly words: readonly string[];
}

const PROGRAMS = new Set(['ternmount', 'ternmount-dev']);
const TOKEN = /'[^']*'|"[^"]*"|\$\([^)]*\)|[^\s|&;<>()]+|[|&;<>()]/g;
const END_OF_COMMAND = /^[|&;<>()]$/;

function withoutComment(line: string): string {
  return line.replace(/(^|\s)#.*$/, '');
}

function unquote(word: string): string {
  return word.replace(/^(['"])(.*)\1$/, '$2');
}

/** Commands within one line, also those in `$(...)`. */
function commandsIn(line: string): string[][] {
  const commands: string[][] = [[]];
  for (const [token] of line.matchAll(TOKEN)) {
    const inner = /\$\((.*)\)$/.exec(token)?.[1];
    if (inner !== undefined) {
      commands.unshift(...commandsIn(inner));
    }
    if (END_OF_COMMAND.test(token)) {
      commands.push([]);
    } else {
      commands.at(-1)?.push(unquote(token));
    }
  }
  return commands.filter((words) => words.length > 0);
}

/** Drops a prompt and assignments before the program. */
function withoutPrefix(words: readonly string[]): string[] {
  const start = words.findIndex((word) => word !== '$' && !/^[A-Z_]+=/.test(word));
  return start < 0 ? [] : words.slice(start);
}

/** The project's command lines in a block. */
export function shellLinesOf(block: Block): ShellLine[] {
  const joined = block.text.replaceAll('\\\n', ' ');
  return joined.split('\n').flatMap((line, index) =>
    commandsIn(withoutComment(line))
      .map(withoutPrefix)
      .filter(([program]) => program !== undefined && PROGRAMS.has(program))
      .map(([program = '', ...words]) => ({ place: `${block.page}:${block.line + index}`, program, words })),
  );
}
