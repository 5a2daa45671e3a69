/** Help is complete, and every command line in it is accepted. */
import { expect } from 'chai';
import { COMMANDS } from '../../src/cli/command-list.js';
import { dispatch, PROGRAM_NAME } from '../../src/cli/dispatcher.js';
import { runCli } from './cli-harness.js';

/** Captures what cac prints. */
function captureOutput(words: readonly string[]): string {
  const lines: unknown[] = [];
  const info = console.info;
  const log = console.log;
  console.info = (...parts) => void lines.push(...parts);
  console.log = (...parts) => void lines.push(...parts);
  try {
    expect(dispatch(COMMANDS, words).type).to.equal('help');
  } finally {
    console.info = info;
    console.log = log;
  }
  return lines.join('\n');
}

/** Splits an example into words, without its redirection. */
function wordsOf(example: string): string[] {
  return (example.split(/ [>|] /, 1)[0] ?? '').split(' ');
}

describe('help', () => {
  it('names every command', () => {
    const help = captureOutput(['--help']);
    for (const { name, summary } of COMMANDS) {
      expect(help).to.contain(name);
      expect(help).to.contain(summary);
    }
  });

  it('gives each command a different name', () => {
    const names = COMMANDS.map(({ name }) => name);
    expect(new Set(names).size).to.equal(names.length);
  });

  for (const spec of COMMANDS) {
    it(`${spec.name} --help names arguments, options and examples`, () => {
      const help = captureOutput([...spec.name.split(' '), '--help']);
      expect(help).to.contain(`${PROGRAM_NAME} ${spec.name}${spec.arguments ? ` ${spec.arguments}` : ''}`);
      for (const option of spec.options) {
        expect(help).to.contain(`--${option.name}`);
        expect(help).to.contain(option.summary);
      }
      expect(spec.examples ?? [], 'examples').not.to.have.length(0);
      for (const example of spec.examples ?? []) {
        expect(help).to.contain(example);
      }
    });

    for (const example of spec.examples ?? []) {
      it(`the example "${example}" is accepted`, () => {
        const dispatched = dispatch(COMMANDS, wordsOf(example));
        expect(dispatched.type === 'run' && dispatched.command.name).to.equal(spec.name);
      });
    }

    it(`${spec.name}: lists each option once`, () => {
      const names = spec.options.map(({ name }) => name);
      expect(new Set(names).size, names.join()).to.equal(names.length);
    });
  }

  const wrong: readonly (readonly [string, string])[] = [
    ['nothing', 'known: status, control'],
    ['service', 'service needs one of'],
    ['service aply x.yaml', 'service has: apply'],
    ['service apply', 'missing'],
    ['service list --colour', 'colour'],
    ['upstream drain m-1 --until-emptied', '--until-emptied'],
    ['service get a b', 'nused'],
    ['upstream add m-1', '--service is missing'],
    ['completion tcsh', 'bash, zsh, fish'],
    ['service list --output xml --control 127.0.0.1:1', 'xml'],
    ['service list', 'say where control is'],
    ['service list --control host:80', 'host:80'],
  ];
  for (const [line, expectedText] of wrong) {
    it(`"${line}": exits with 2 and lists the alternatives`, async () => {
      const { exitCode, errors } = await runCli(line.split(' '));
      expect(exitCode, errors).to.equal(2);
      expect(errors).to.contain(expectedText);
    });
  }
});
