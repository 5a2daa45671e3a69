/** `service delete`. */
import { CHANGE_OPTIONS, REVISION_OPTION } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import { sendChange } from './simple-change.js';

export const serviceDelete: CommandSpec = {
  name: 'service delete',
  arguments: '<name>',
  summary: 'Delete a service; refused while it has upstreams',
  options: [...CHANGE_OPTIONS, REVISION_OPTION],
  examples: ['service delete old-menu --revision 1042'],
  run: async (invocation) => {
    const [name = ''] = invocation.positionals;
    const path = `/v1/services/${encodeURIComponent(name)}`;
    return sendChange(invocation, `service/${name}`, { method: 'DELETE', path });
  },
};
