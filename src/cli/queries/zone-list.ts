/** `zone list`. */
import type { EvacuationRecord } from '../../model/evacuation.js';
import type { EvacuationsBody } from '../api-types.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { type Column, formatTable, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';
import { runWatched, WATCH_OPTIONS } from '../watch.js';

const COLUMNS: readonly Column<EvacuationRecord>[] = [
  { title: 'ZONE', value: ({ zone }) => zone },
  { title: 'EVACUATED SINCE', value: ({ since }) => new Date(since).toISOString() },
  { title: 'REVISION', value: ({ revision }) => revision },
];

async function list(invocation: Invocation): Promise<ExitCode> {
  const { options, io } = invocation;
  const format = outputFormat(options);
  const client = createClient(options, io);
  return runWatched(invocation, format, async () => {
    const body = await client.read<EvacuationsBody>('/v1/evacuations');
    writeOutput(io, format, body, () => formatTable(COLUMNS, body.evacuations));
    return EXIT_CODES.ok;
  });
}

export const zoneList: CommandSpec = {
  name: 'zone list',
  summary: 'List zones whose upstreams are sent nothing new',
  options: [OUTPUT_OPTION, ...WATCH_OPTIONS, ...CLIENT_OPTIONS],
  examples: ['zone list'],
  run: list,
};
