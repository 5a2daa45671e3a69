/** `shard move`. */
import { CHANGE_OPTIONS } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { readShard } from '../current.js';
import { DRY_RUN_OPTION, type Preview } from '../preview.js';
import { sendChange } from './simple-change.js';

const NO_OWNER = 'nobody';

async function previewMove(client: ControlClient, shard: string, to: string): Promise<Preview> {
  const record = await readShard(client, shard);
  const before = { owner: record?.owner ?? NO_OWNER };
  return { before, after: { owner: to }, revision: record?.revision ?? null };
}

export const shardMove: CommandSpec = {
  name: 'shard move',
  arguments: '<shard> <upstream>',
  summary: 'Start a planned move of a shard to an upstream',
  options: [
    ...CHANGE_OPTIONS,
    {
      name: 'revision',
      value: 'number',
      summary: 'Move only if the record of the shard is at this revision',
    },
    DRY_RUN_OPTION,
  ],
  examples: ['shard move menu/all@12/5 menu-7'],
  run: async (invocation) => {
    const [shard = '', to = ''] = invocation.positionals;
    const body = { shard, to, expected: invocation.options.count('revision') ?? null };
    return sendChange(invocation, {
      what: `shard/${shard}`,
      request: { method: 'POST', path: '/v1/shards/move', body, expected: null },
      preview: (client) => previewMove(client, shard, to),
    });
  },
};
