/** `policy check`: compiles the policies of files without a running cluster. */
import { loadPolicy } from '../../settings/policy-file.js';
import { formatProblem, SettingsError, type SettingsProblem } from '../../settings/settings-error.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';

/** The result of checking one file. */
interface CheckedFile {
  readonly file: string;
  readonly rules: number;
  /** Problems that make the file unusable; empty if it is valid. */
  readonly problems: readonly SettingsProblem[];
}

function check(file: string): CheckedFile {
  try {
    return { file, rules: loadPolicy(file).length, problems: [] };
  } catch (thrown) {
    if (thrown instanceof SettingsError) {
      return { file, rules: 0, problems: thrown.problems };
    }
    throw thrown;
  }
}

function summaryOf({ file, rules }: CheckedFile): string {
  return `${file}: valid, ${rules} ${rules === 1 ? 'rule' : 'rules'}\n`;
}

/** Prints problems on standard error; in JSON and YAML they are part of the document on standard output. */
async function run({ options, io, positionals }: Invocation): Promise<ExitCode> {
  const format = outputFormat(options);
  const checked = positionals.map(check);
  const valid = checked.filter(({ problems }) => problems.length === 0);
  if (format === 'table') {
    const problems = checked.flatMap((file) => file.problems);
    io.writeError(problems.map((problem) => `${formatProblem(problem)}\n`).join(''));
  }
  writeOutput(io, format, checked, () => valid.map(summaryOf).join(''));
  return valid.length === checked.length ? EXIT_CODES.ok : EXIT_CODES.usage;
}

export const policyCheck: CommandSpec = {
  name: 'policy check',
  arguments: '<...files>',
  summary: 'Compile policy files and name file, line and column of each fault; nothing is sent',
  options: [OUTPUT_OPTION],
  examples: ['policy check menu-policy.yaml', 'policy check *.yaml --output json'],
  run,
};
