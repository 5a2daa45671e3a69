/** `policy get`. */
import { stringify } from 'yaml';
import type { ServiceRecord } from '../../registry/types.js';
import { serviceDocument } from '../../settings/definition-writer.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import { EXIT_CODES } from '../exit-codes.js';
import { OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';

export const policyGet: CommandSpec = {
  name: 'policy get',
  arguments: '<service>',
  summary: 'Show the policy of a service as the YAML file that policy apply takes',
  options: [OUTPUT_OPTION, ...CLIENT_OPTIONS],
  examples: ['policy get menu > menu-policy.yaml'],
  run: async ({ options, io, positionals }) => {
    const [name = ''] = positionals;
    const format = outputFormat(options);
    const client = createClient(options, io);
    const record = await client.read<ServiceRecord>(`/v1/services/${encodeURIComponent(name)}`);
    const { policy = [] } = serviceDocument(record.definition);
    if (format === 'json') {
      writeOutput(io, format, { revision: record.revision, policy }, () => '');
    } else {
      io.write(`# service ${name}, revision ${record.revision}\n${stringify({ policy })}`);
    }
    return EXIT_CODES.ok;
  },
};
