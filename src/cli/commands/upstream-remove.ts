/** `upstream remove`. */
import { upstreamDocument } from '../../settings/definition-writer.js';
import { CHANGE_OPTIONS, REVISION_OPTION } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { readUpstream, upstreamPath } from '../current.js';
import { DRY_RUN_OPTION, type Preview } from '../preview.js';
import { sendChange } from './simple-change.js';

async function previewRemove(client: ControlClient, id: string): Promise<Preview> {
  const record = await readUpstream(client, id);
  const before = record === null ? null : upstreamDocument(record.definition);
  return { before, after: null, revision: record?.revision ?? null };
}

export const upstreamRemove: CommandSpec = {
  name: 'upstream remove',
  arguments: '<id>',
  summary: 'Remove an upstream; drain it first',
  options: [...CHANGE_OPTIONS, REVISION_OPTION, DRY_RUN_OPTION],
  examples: ['upstream remove menu-7'],
  run: async (invocation) => {
    const [id = ''] = invocation.positionals;
    return sendChange(invocation, {
      what: `upstream/${id}`,
      request: { method: 'DELETE', path: upstreamPath(id) },
      preview: (client) => previewRemove(client, id),
    });
  },
};
