/** Tests shell completion. The bash script runs in bash; the others are searched for every word. */
import { spawnSync } from 'node:child_process';
import { expect } from 'chai';
import { COMMANDS } from '../../src/cli/command-list.js';
import { COMPLETION_SHELLS, completionScript } from '../../src/cli/completion/completion-scripts.js';

/** Returns the completions of bash for a line; the last word may be empty. */
function completeInBash(line: string): string[] {
  const words = line.split(' ');
  const quoted = words.map((word) => `'${word}'`).join(' ');
  const script = [
    completionScript('bash', COMMANDS),
    `COMP_WORDS=(${quoted})`,
    `COMP_CWORD=${words.length - 1}`,
    '_ternmount',
    `printf "%s\\n" "\${COMPREPLY[@]}"`,
  ].join('\n');
  const { stdout, stderr, status } = spawnSync('bash', ['-c', script], { encoding: 'utf8', timeout: 10_000 });
  expect(status, stderr).to.equal(0);
  return stdout.split('\n').filter((word) => word !== '');
}

describe('completion', () => {
  for (const [line, includes, excludes] of [
    ['ternmount ', ['control', 'service', 'completion'], ['apply']],
    ['ternmount se', ['service'], ['control']],
    ['ternmount service ', ['apply', 'get', 'list', 'delete'], ['drain', 'service']],
    ['ternmount service apply --', ['--dry-run', '--request-id', '--no-wait', '--help'], ['apply']],
    ['ternmount upstream drain menu-1 --un', ['--undo', '--until-empty'], ['--wait']],
  ] as const) {
    it(`bash after "${line}"`, () => {
      const words = completeInBash(line);
      expect(words).to.include.members([...includes]);
      expect(words).not.to.include.members([...excludes]);
    });
  }

  for (const shell of COMPLETION_SHELLS) {
    it(`${shell}: the script contains every command and option`, () => {
      const script = completionScript(shell, COMMANDS);
      for (const { name, options } of COMMANDS) {
        expect(script).to.contain(name);
        for (const option of options) {
          expect(script).to.contain(shell === 'fish' ? `-l ${option.name}` : `--${option.name}`);
        }
      }
    });
  }
});
