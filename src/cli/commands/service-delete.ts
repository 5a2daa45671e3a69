/** `service delete`. */
import { serviceDocument } from '../../settings/definition-writer.js';
import { CHANGE_OPTIONS, REVISION_OPTION } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { readService, servicePath } from '../current.js';
import { DRY_RUN_OPTION, type Preview } from '../preview.js';
import { sendChange } from './simple-change.js';

async function previewDelete(client: ControlClient, name: string): Promise<Preview> {
  const record = await readService(client, name);
  const before = record === null ? null : serviceDocument(record.definition);
  return { before, after: null, revision: record?.revision ?? null };
}

export const serviceDelete: CommandSpec = {
  name: 'service delete',
  arguments: '<name>',
  summary: 'Delete a service; refused while it has upstreams',
  options: [...CHANGE_OPTIONS, REVISION_OPTION, DRY_RUN_OPTION],
  examples: ['service delete old-menu --dry-run', 'service delete old-menu --revision 1042'],
  run: async (invocation) => {
    const [name = ''] = invocation.positionals;
    return sendChange(invocation, {
      what: `service/${name}`,
      request: { method: 'DELETE', path: servicePath(name) },
      preview: (client) => previewDelete(client, name),
    });
  },
};
