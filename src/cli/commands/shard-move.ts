/** `shard move`. */
import { CHANGE_OPTIONS } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import { sendChange } from './simple-change.js';

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
  ],
  examples: ['shard move menu/all@12/5 menu-7'],
  run: async (invocation) => {
    const [shard = '', to = ''] = invocation.positionals;
    const body = { shard, to, expected: invocation.options.count('revision') ?? null };
    const request = { method: 'POST', path: '/v1/shards/move', body, expected: null } as const;
    return sendChange(invocation, `shard/${shard}`, request);
  },
};
