/** `policy try`: evaluates a policy on a recorded trace, without a running cluster. */
import { readFileSync } from 'node:fs';
import { toError } from '../../errors/ternmount-error.js';
import {
  compilePolicy,
  type PolicyTraceRecord,
  type PolicyTrial,
  parsePolicyTrace,
  type RuleCount,
  type TriedRecord,
  tryPolicy,
} from '../../policy/index.js';
import { loadPolicy } from '../../settings/policy-file.js';
import { rethrowAsUsageError, UsageError } from '../cli-error.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { type Column, formatTable, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';

const PERCENT = 100;

function readTrace(file: string): PolicyTraceRecord[] {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (thrown) {
    throw new UsageError(`${file}: ${toError(thrown).message}`);
  }
  return parsePolicyTrace(file, text);
}

/** Returns the records of `service`, which may be omitted if the trace has a single service. */
function recordsOf(records: readonly PolicyTraceRecord[], service: string | undefined): PolicyTraceRecord[] {
  const services = [...new Set(records.map(({ context }) => context.request.service))].sort();
  if (service === undefined && services.length > 1) {
    throw new UsageError(
      `the trace contains several services, ${services.join(', ')}: choose one with --service`,
    );
  }
  const chosen = service ?? services[0];
  return records.filter(({ context }) => context.request.service === chosen);
}

const RULE_COLUMNS: readonly Column<RuleCount>[] = [
  { title: 'RULE', value: ({ rule }) => rule },
  { title: 'DECIDES', value: ({ action }) => action },
  { title: 'RECORDS', value: ({ records }) => records },
];

function share(part: number, whole: number): string {
  return `${part} (${whole === 0 ? 0 : Math.round((part / whole) * PERCENT)} %)`;
}

function summaryOf(trial: PolicyTrial): string {
  const { length } = trial.tried;
  const hasPreferences = trial.tried.some(({ preferred }) => preferred !== null);
  const lines = [
    `records: ${length}, passed: ${share(trial.passed, length)}`,
    `decided otherwise than recorded: ${share(trial.changed, length)}`,
    ...(hasPreferences ? [`another upstream preferred: ${share(trial.preferredChanged, length)}`] : []),
    ...[...trial.errors].map(([rule, count]) => `errors of rule ${rule}, taken as no match: ${count}`),
  ];
  const table = trial.byRule.length === 0 ? '' : formatTable(RULE_COLUMNS, trial.byRule);
  return `${lines.join('\n')}\n${table}`;
}

function documentOf({ record, decision, preferred }: TriedRecord): object {
  const { at, decision: recorded } = record;
  return { at, recorded, decision, preferred };
}

async function run({ options, io, positionals }: Invocation): Promise<ExitCode> {
  const [file = ''] = positionals;
  const format = outputFormat(options);
  const program = compilePolicy(rethrowAsUsageError(() => loadPolicy(file)));
  const records = recordsOf(readTrace(options.required('trace')), options.text('service'));
  const trial = tryPolicy(program, records);
  const document = {
    passed: trial.passed,
    changed: trial.changed,
    preferredChanged: trial.preferredChanged,
    rules: trial.byRule,
    errors: Object.fromEntries(trial.errors),
    records: trial.tried.map(documentOf),
  };
  writeOutput(io, format, document, () => summaryOf(trial));
  return EXIT_CODES.ok;
}

export const policyTry: CommandSpec = {
  name: 'policy try',
  arguments: '<file>',
  summary: 'Show what a policy file would have decided on a trace that a router recorded; nothing is sent',
  options: [
    { name: 'trace', value: 'file', summary: 'Trace from a router: GET /v1/policy-trace on its admin port' },
    { name: 'service', value: 'name', summary: 'Service of the trace; needed if it has several' },
    OUTPUT_OPTION,
  ],
  examples: ['policy try menu-policy.yaml --trace rush.jsonl --service menu'],
  run,
};
