/** `policy apply`: changes only the policy of a service. */

import type { PolicyRule } from '../../model/service.js';
import { serviceDocument } from '../../settings/definition-writer.js';
import { loadPolicy } from '../../settings/policy-file.js';
import { NotFoundError, rethrowAsUsageError } from '../cli-error.js';
import { CHANGE_OPTIONS, REVISION_OPTION } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { readService, servicePath } from '../current.js';
import { DRY_RUN_OPTION, type Preview } from '../preview.js';
import { sendChange } from './simple-change.js';

async function previewPolicy(
  client: ControlClient,
  name: string,
  policy: readonly PolicyRule[],
): Promise<Preview> {
  const record = await readService(client, name);
  if (record === null) {
    throw new NotFoundError(`there is no service ${JSON.stringify(name)}`);
  }
  const { definition, revision } = record;
  return {
    before: serviceDocument(definition),
    after: serviceDocument({ ...definition, policy }),
    revision,
  };
}

export const policyApply: CommandSpec = {
  name: 'policy apply',
  arguments: '<service> <file>',
  summary: 'Make the rules of a file the policy of a service; an empty list takes all rules away',
  options: [...CHANGE_OPTIONS, REVISION_OPTION, DRY_RUN_OPTION],
  examples: ['policy apply menu menu-policy.yaml --dry-run', 'policy apply menu menu-policy.yaml'],
  run: async (invocation) => {
    const [name = '', file = ''] = invocation.positionals;
    const policy = rethrowAsUsageError(() => loadPolicy(file));
    return sendChange(invocation, {
      what: `policy/${name}`,
      request: { method: 'PUT', path: `${servicePath(name)}/policy`, body: { policy } },
      preview: (client) => previewPolicy(client, name, policy),
    });
  },
};
