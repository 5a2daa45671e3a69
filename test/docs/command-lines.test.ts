/** Every command line on the pages is one that the programs take: known command, known options. */
import type { CAC } from 'cac';
import { expect } from 'chai';
import { COMMANDS } from '../../src/cli/command-list.js';
import { dispatch } from '../../src/cli/dispatcher.js';
import { createDevCli } from '../../src/dev/dev-cli.js';
import { blocksOf, proseOf, readPages } from './pages.js';
import { type ShellLine, shellLinesOf } from './shell-lines.js';

const SHELL_LANGUAGES = new Set(['sh', 'bash', 'console']);
const GLOBAL_FLAGS = new Set(['--help', '--version']);

function checkTernmount({ words }: ShellLine): void {
  if (words.length === 1 && GLOBAL_FLAGS.has(words[0] ?? '')) {
    return;
  }
  const dispatched = dispatch(COMMANDS, words);
  if (dispatched.type !== 'run') {
    return;
  }
  const { command, options } = dispatched;
  for (const spec of command.options) {
    for (const value of spec.value === undefined ? [] : options.all(spec.name)) {
      expect(value, `--${spec.name} has a value`).to.match(/^[^-]/);
    }
  }
}

function checkDev(cli: CAC, { words }: ShellLine): void {
  if (words.length === 1 && GLOBAL_FLAGS.has(words[0] ?? '')) {
    return;
  }
  cli.parse(['node', 'ternmount-dev', ...words], { run: false });
  const { matchedCommand } = cli;
  expect(matchedCommand, 'a known command').not.to.equal(undefined);
  matchedCommand?.checkUnknownOptions();
  matchedCommand?.checkOptionValue();
  matchedCommand?.checkRequiredArgs();
}

describe('command lines on the pages', () => {
  const pages = readPages();
  const lines = pages
    .flatMap(blocksOf)
    .filter(({ language }) => SHELL_LANGUAGES.has(language))
    .flatMap(shellLinesOf);
  let cli: CAC;
  before(async () => {
    cli = await createDevCli();
  });

  it('are found', () => {
    expect(lines.length).to.be.greaterThan(20);
  });

  for (const line of lines) {
    it(`${line.place}: ${line.program} ${line.words.join(' ')}`, () => {
      if (line.program === 'ternmount') {
        checkTernmount(line);
      } else {
        checkDev(cli, line);
      }
    });
  }

  it('within sentences of ternmount-dev name commands and options that there are', () => {
    for (const page of pages) {
      for (const [, rest = ''] of proseOf(page).matchAll(/`(?:npx )?ternmount-dev ([^`]+)`/g)) {
        const words = rest.split(/\s+/).filter((word) => word !== '...');
        const placeholder = words.findIndex((word) => /[A-Z|<]/.test(word));
        const known = placeholder < 0 ? words : words.slice(0, placeholder + 1);
        checkDev(cli, { place: page.name, program: 'ternmount-dev', words: known });
      }
    }
  });

  it('within sentences name commands that there are', () => {
    const names = new Set(COMMANDS.flatMap(({ name }) => [name, name.split(' ')[0]]));
    for (const page of pages) {
      for (const [, first = '', second] of proseOf(page).matchAll(
        /`ternmount\s+([a-z]+)(?:\s+([a-z-]+))?/g,
      )) {
        const known = names.has(`${first} ${second}`) || (names.has(first) && second === undefined);
        const takesArgument = COMMANDS.some(({ name }) => name === first);
        expect(known || takesArgument, `${page.name}: ternmount ${first} ${second ?? ''}`).to.equal(true);
      }
    }
  });
});
