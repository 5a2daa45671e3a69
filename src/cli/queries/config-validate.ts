/** `config validate`: checks files without a running cluster. */
import { readTokenFile } from '../../security/token-file.js';
import { loadControlSettings } from '../../settings/control-settings.js';
import { loadDefinitions } from '../../settings/definition-documents.js';
import { loadDeployment } from '../../settings/deployment.js';
import { loadPolicy } from '../../settings/policy-file.js';
import { loadRouterSettings } from '../../settings/router-settings.js';
import { formatProblem, SettingsError } from '../../settings/settings-error.js';
import { readYaml } from '../../settings/yaml-source.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { findDocumentProblems } from '../declaration-plan.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';

/** Kinds of files that can be validated. */
const FILE_KINDS = ['declarations', 'policy', 'control', 'router', 'tokens', 'deployment'] as const;
type FileKind = (typeof FILE_KINDS)[number];

const AUTOMATIC = 'auto';

/** Top-level keys that identify a kind of file, in order of precedence. */
const IDENTIFYING_KEYS: readonly (readonly [string, FileKind])[] = [
  ['kind', 'declarations'],
  ['tokens', 'tokens'],
  ['workload', 'deployment'],
  ['network', 'deployment'],
  ['dataFolder', 'control'],
  ['router', 'router'],
  ['policy', 'policy'],
];

function throwIfAny(problems: SettingsError['problems']): void {
  if (problems.length > 0) {
    throw new SettingsError(problems);
  }
}

const CHECKS: Readonly<Record<FileKind, (file: string) => void>> = {
  declarations: (file) => throwIfAny(findDocumentProblems(loadDefinitions(file))),
  policy: (file) => void loadPolicy(file),
  control: (file) => void loadControlSettings({ file, environment: {}, flags: {} }),
  router: (file) => void loadRouterSettings({ file, environment: {}, flags: {} }),
  tokens: (file) => void readTokenFile(file),
  deployment: (file) => void loadDeployment(file),
};

function guessKind(file: string): FileKind {
  const [source] = readYaml(file);
  const value = source?.value;
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return 'declarations';
  }
  return IDENTIFYING_KEYS.find(([key]) => key in value)?.[1] ?? 'declarations';
}

/** Returns the problems of one file, one line each. */
function problemsOf(file: string, requestedKind: FileKind | typeof AUTOMATIC): string[] {
  try {
    const kind = requestedKind === AUTOMATIC ? guessKind(file) : requestedKind;
    CHECKS[kind](file);
    return [];
  } catch (thrown) {
    if (thrown instanceof SettingsError) {
      return thrown.problems.map(formatProblem);
    }
    throw thrown;
  }
}

async function validate({ options, io, positionals }: Invocation): Promise<ExitCode> {
  const kind = options.choice('as', [AUTOMATIC, ...FILE_KINDS], AUTOMATIC);
  let exitCode: ExitCode = EXIT_CODES.ok;
  for (const file of positionals) {
    const problems = problemsOf(file, kind);
    if (problems.length === 0) {
      io.write(`${file}: valid\n`);
    } else {
      io.writeError(problems.map((problem) => `${problem}\n`).join(''));
      exitCode = EXIT_CODES.usage;
    }
  }
  return exitCode;
}

export const configValidate: CommandSpec = {
  name: 'config validate',
  arguments: '<...files>',
  summary: 'Check files and name file, line and column of each fault; nothing is sent',
  options: [
    {
      name: 'as',
      value: 'kind',
      summary: `${FILE_KINDS.join(', ')}; default: ${AUTOMATIC}, by the keys of the file`,
    },
  ],
  examples: ['config validate menu.yaml', 'config validate control.yaml --as control'],
  run: validate,
};
