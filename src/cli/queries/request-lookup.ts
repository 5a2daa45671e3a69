/** `request lookup`: shows the ledger record of a request that must not run twice. */
import type { LedgerBody, ServicesBody } from '../api-types.js';
import { ControlAnswerError, NotFoundError } from '../cli-error.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { formatFacts, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';

const ADVICE: Readonly<Record<LedgerBody['state'], string>> = {
  running: 'an attempt has claimed the key and is not finished; no other attempt runs',
  ran: 'it ran once; a resend gets the stored answer',
  unknown: 'it may have run: check the upstream itself before repeating it under another key',
};

async function readRecord(
  client: ControlClient,
  service: string,
  key: string,
): Promise<LedgerBody | undefined> {
  try {
    return await client.read<LedgerBody>(
      `/v1/ledger/${encodeURIComponent(service)}/${encodeURIComponent(key)}`,
    );
  } catch (thrown) {
    if (thrown instanceof ControlAnswerError && thrown.adminCode === 'not-found') {
      return undefined;
    }
    throw thrown;
  }
}

async function servicesToSearch(
  client: ControlClient,
  requestedService: string | undefined,
): Promise<string[]> {
  if (requestedService !== undefined) {
    return [requestedService];
  }
  const { services } = await client.read<ServicesBody>('/v1/services');
  return services.filter(({ definition }) => !definition.repeatable).map(({ definition }) => definition.name);
}

function recordText(record: LedgerBody): string {
  return formatFacts([
    ['idempotency key', record.key],
    ['service', record.service],
    ['state', record.state],
    ['claimed at', new Date(record.claimedAt).toISOString()],
    ['claimant', record.claimant],
    ['answer', record.answer === null ? '-' : `status ${record.answer.status}`],
    ['revision', String(record.revision)],
    ['so', ADVICE[record.state]],
  ]);
}

async function lookup(invocation: Invocation): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [key = ''] = positionals;
  const format = outputFormat(options);
  const client = createClient(options, io);
  const services = await servicesToSearch(client, options.text('service'));
  const records: LedgerBody[] = [];
  for (const service of services) {
    const record = await readRecord(client, service, key);
    if (record !== undefined) {
      records.push(record);
    }
  }
  if (records.length === 0) {
    const searched = services.join(', ') || 'none: no service is declared with repeatable: false';
    throw new NotFoundError(
      `the ledger has no request ${JSON.stringify(key)} (services searched: ${searched}); ` +
        'it never ran, is proven not to have run, or is older than the retention of its service',
    );
  }
  writeOutput(io, format, records, () => records.map(recordText).join('\n'));
  return EXIT_CODES.ok;
}

export const requestLookup: CommandSpec = {
  name: 'request lookup',
  arguments: '<idempotency-key>',
  summary: 'Show whether a request that must not run twice has run',
  options: [
    {
      name: 'service',
      value: 'name',
      summary: 'Service of the request; default: each that is not repeatable',
    },
    OUTPUT_OPTION,
    ...CLIENT_OPTIONS,
  ],
  examples: ['request lookup 0191e2c4-7d2a-7b3f-9a51-0c8e4d1f6b22 --service checkout'],
  run: lookup,
};
