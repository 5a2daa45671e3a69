/** `quarantine list`. */
import type { CrashSuspect } from '../../model/crash-suspect.js';
import type { SuspectsBody } from '../api-types.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { type Column, formatTable, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';
import { runWatched, WATCH_OPTIONS } from '../watch.js';

const COLUMNS: readonly Column<CrashSuspect>[] = [
  { title: 'REQUEST', value: ({ fingerprint }) => fingerprint },
  { title: 'SERVICE', value: ({ service }) => service },
  { title: 'STATE', value: ({ quarantinedAt }) => (quarantinedAt === null ? 'suspected' : 'refused') },
  { title: 'CRASHES', value: ({ crashes }) => crashes },
  { title: 'UNTIL', value: ({ until }) => new Date(until).toISOString() },
  { title: 'RUNS THAT ENDED', value: ({ runs }) => runs.join(',') },
  { title: 'REVISION', value: ({ revision }) => revision },
];

async function list(invocation: Invocation): Promise<ExitCode> {
  const { options, io } = invocation;
  const format = outputFormat(options);
  const client = createClient(options, io);
  return runWatched(invocation, format, async () => {
    const body = await client.read<SuspectsBody>('/v1/suspects');
    const suspects = body.suspects.filter(
      ({ quarantinedAt }) => options.on('suspected') || quarantinedAt !== null,
    );
    writeOutput(io, format, { ...body, suspects }, () => formatTable(COLUMNS, suspects));
    return EXIT_CODES.ok;
  });
}

export const quarantineList: CommandSpec = {
  name: 'quarantine list',
  summary: 'List requests that are refused because upstreams ended under them',
  options: [
    { name: 'suspected', summary: 'Also those under which too few have ended yet' },
    OUTPUT_OPTION,
    ...WATCH_OPTIONS,
    ...CLIENT_OPTIONS,
  ],
  examples: ['quarantine list', 'quarantine list --suspected --watch'],
  run: list,
};
